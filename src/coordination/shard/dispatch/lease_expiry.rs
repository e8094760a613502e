//! Expiry of the workers' leases.
//!
//! The shard's tick calls this module. Once a worker's lease has certainly expired, the worker
//! has killed its tasks, and the leader may start them on other machines.

use std::time::Instant;

use crate::coordination::shard::Shard;
use crate::coordination::shard::reconciler::RemovalProof;
use crate::protocol::MachineId;

impl Shard {
    /// Ends the agent epoch of each worker whose lease has certainly expired and removes the
    /// attempts on its machine: the worker has killed and forgotten its tasks, so they may
    /// start elsewhere.
    pub(in crate::coordination::shard) fn expire_leases(&mut self, now: Instant) {
        let Some(known_at) = self.renewals_known_at(now) else {
            return;
        };
        for machine_id in self.machines_with_expired_lease(known_at) {
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.epochs.end_current();
                tracing::info!(machine = %machine_id, "worker lease expired");
            }
            self.empty_machine(&machine_id, RemovalProof::EpochEnded, known_at);
        }
    }

    /// The moment up to which this leader knows of every renewal of a worker lease, by itself
    /// or by another controller; None while a renewal by another controller may keep some
    /// lease valid. A lease that had expired by that moment stays expired, since no later
    /// answer can renew it.
    fn renewals_known_at(&self, now: Instant) -> Option<Instant> {
        if self.others_may_renew_leases() {
            return None;
        }
        let renewals = self.advance_renewals(now)?;
        let lease = self.policy.worker_lease_bound();
        let may_be_renewed = renewals
            .last
            .is_some_and(|last| renewals.known_at <= last + lease);
        (!may_be_renewed).then_some(renewals.known_at)
    }

    /// Machines whose worker lease expired before `known_at` and that hold attempts, or may
    /// hold attempts that this leader does not know of.
    fn machines_with_expired_lease(&self, known_at: Instant) -> Vec<MachineId> {
        self.machines.ids(|machine| {
            known_at > machine.lease.expires_at()
                && (!machine.load.is_idle() || self.unreconciled.contains(&machine.id))
        })
    }
}
