//! Expiry of the workers' leases.

use std::time::Instant;

use crate::coordination::shard::Shard;
use crate::protocol::MachineId;

impl Shard {
    /// Ends the agent epochs whose leases have surely expired: such a worker has killed and
    /// forgotten its tasks, which may start elsewhere.
    pub(in crate::coordination::shard) fn expire_leases(&mut self, now: Instant) {
        let Some(known_at) = self.renewals_known_at(now) else {
            return;
        };
        for id in self.machines_with_expired_lease(known_at) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.epochs.end_current();
                tracing::info!(machine = %id, "worker lease expired");
            }
            self.empty_machine(&id, known_at);
        }
    }

    /// The moment up to which no controller can have renewed a lease unknown to this leader;
    /// None while a renewal by another controller may keep any lease valid. A lease that had
    /// expired by that moment stays expired: no later answer revives it.
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

    /// Machines with an expired lease that hold attempts or may hold unknown ones.
    fn machines_with_expired_lease(&self, known_at: Instant) -> Vec<MachineId> {
        self.machines.ids(|machine| {
            known_at > machine.lease.expires_at()
                && (!machine.load.idle() || self.unreconciled.contains(&machine.id))
        })
    }
}
