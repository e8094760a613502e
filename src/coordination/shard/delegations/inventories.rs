//! Machines that delegates reconcile for the leader.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Job, Machine, Shard};
use crate::protocol::workers::WorkerHeartbeat;

/// How long delegates have to write the inventory of their workers after the first grant:
/// the time of a heartbeat or two, of the write and of the leader's read.
const INVENTORY_WAIT: Duration = Duration::from_secs(12);
/// By which factor the tasks that wait for reconciliation must outnumber those that may be
/// on unreconciled machines before these machines are replaced.
const EXCESS_WAITING_TASKS: u32 = 2;

impl Shard {
    /// Whether delegates should write the inventory of their workers.
    pub fn wants_inventories(&self) -> bool {
        self.others_may_renew_leases() && !self.unreconciled.is_empty()
    }

    /// Applies a heartbeat that a worker sent to its delegate, perhaps a while ago. It shows
    /// what is on the machine, not that this leader can reach it.
    pub fn apply_relayed_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) {
        let id = heartbeat.machine.as_str();
        if heartbeat.fencing_token != self.fencing_token || !self.unreconciled.contains(id) {
            return;
        }
        let last_contact = self
            .machines
            .get(id)
            .and_then(|machine| machine.last_contact);
        self.apply_heartbeat(heartbeat, now);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.last_contact = last_contact;
        }
    }

    /// Whether an unreachable machine should not be replaced yet, since it may be in a
    /// partition where another controller renews its worker's lease. A machine that no
    /// delegate has reconciled in time holds up all work that may have been on it.
    pub(in crate::coordination::shard) fn left_to_delegates(
        &self,
        machine: &Machine,
        now: Instant,
    ) -> bool {
        if !self.unreconciled.contains(&machine.id) {
            return self.others_may_renew_leases()
                || self.delegations.is_partitioned(&machine.zone);
        }
        let inventory_expected = self
            .delegations
            .active_for(now)
            .is_some_and(|active| active < INVENTORY_WAIT);
        inventory_expected
            || (self.may_be_renewed_in_partition(machine) && !self.reconciliation_blocks_work())
    }

    /// Whether far more tasks wait for reconciliation than may be on unreconciled machines:
    /// then it is better to replace these machines than to wait for them.
    fn reconciliation_blocks_work(&self) -> bool {
        let Some(placed) = self.unreconciled.snapshot_placements() else {
            // The last snapshot was too large to hold placements.
            return false;
        };
        let waiting: u32 = self.jobs.values().map(Job::unreconciled_tasks).sum();
        waiting > placed.saturating_mul(EXCESS_WAITING_TASKS)
    }
}
