//! Reconciliation of unreachable machines from the inventories that delegates write, and the rule
//! that delays the replacement of unreachable machines.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Job, Machine, Shard};
use crate::protocol::workers::WorkerHeartbeat;

/// Time from the first grant of a delegation within which delegates have to write the inventory
/// of their workers: enough for one or two heartbeats, the write and the leader's read.
const INVENTORY_TIMEOUT: Duration = Duration::from_secs(12);
/// Unreconciled machines are replaced if the tasks that wait for reconciliation outnumber the tasks
/// that may be on these machines by more than this factor.
const WAITING_TASKS_FACTOR: u32 = 2;

impl Shard {
    /// Whether delegates should write the inventory of their workers.
    pub fn wants_inventories(&self) -> bool {
        self.others_may_renew_leases() && !self.unreconciled.is_empty()
    }

    /// Applies a heartbeat that a worker sent to its delegate, possibly some time ago. It shows
    /// which tasks are on the machine, but not that this leader can reach the machine: the time
    /// of the last contact stays as it was.
    pub fn apply_relayed_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) {
        let id = heartbeat.machine.as_str();
        let is_own = self.command_tokens().contains(heartbeat.fencing_token);
        if !is_own || !self.unreconciled.contains(id) {
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

    /// Whether an unreachable machine should not be replaced yet, because it may be in a
    /// partition where another controller renews its worker's lease. An unreconciled machine
    /// delays all tasks that may be on it. It is therefore kept only while a delegate's inventory
    /// is expected, or while its zone is partitioned and too few tasks wait to justify replacing
    /// it.
    pub(in crate::coordination::shard) fn should_defer_replacement(
        &self,
        machine: &Machine,
        now: Instant,
    ) -> bool {
        if !self.unreconciled.contains(&machine.id) {
            return self.others_may_renew_leases()
                || self.delegations.is_partitioned(&machine.zone);
        }
        let is_inventory_expected = self
            .delegations
            .active_duration(now)
            .is_some_and(|active| active < INVENTORY_TIMEOUT);
        is_inventory_expected
            || (self.may_be_renewed_in_partition(machine) && !self.reconciliation_blocks_work())
    }

    /// Whether far more tasks wait for reconciliation than may be on unreconciled machines, so
    /// that replacing these machines is better than waiting for them.
    fn reconciliation_blocks_work(&self) -> bool {
        let Some(placed_tasks) = self.unreconciled.snapshot_placements() else {
            // The last snapshot was too large to hold placements.
            return false;
        };
        let waiting_tasks: u32 = self.jobs.values().map(Job::unreconciled_tasks).sum();
        waiting_tasks > placed_tasks.saturating_mul(WAITING_TASKS_FACTOR)
    }
}
