//! The set of machines on which an earlier leader may have started tasks that this leader does
//! not know of.

use std::collections::{BTreeSet, HashMap};

use crate::protocol::MachineId;

/// The unreconciled machines, and how many tasks the last snapshot placed on them.
///
/// A machine of the recovered roster is unreconciled until a heartbeat with this leader's fencing
/// token lists its tasks, its worker's lease expires, or it is deleted. Invariant: no machine is
/// added after failover.
#[derive(Debug, Default)]
pub(crate) struct UnreconciledMachines {
    machines: BTreeSet<MachineId>,
    /// By machine, how many tasks the last leader's snapshot placed on it; empty if the snapshot
    /// was too large to hold placements.
    snapshot_placements: HashMap<MachineId, u32>,
}

impl UnreconciledMachines {
    /// Whether a machine is unreconciled.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.machines.contains(id)
    }

    /// Whether every machine is reconciled.
    pub(crate) fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// How many machines are unreconciled.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// The unreconciled machines, in the order of their names.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.iter()
    }

    /// How many tasks the last snapshot placed on machines that are unreconciled now; None if the
    /// snapshot holds no placements.
    pub(crate) fn snapshot_placements(&self) -> Option<u32> {
        if self.snapshot_placements.is_empty() {
            return None;
        }
        let placements = self
            .machines
            .iter()
            .filter_map(|id| self.snapshot_placements.get(id));
        Some(placements.sum())
    }

    /// Adds a machine of the recovered roster.
    pub(super) fn insert(&mut self, id: MachineId) {
        self.machines.insert(id);
    }

    /// Records that the last snapshot placed one task on a machine.
    pub(super) fn note_snapshot_placement(&mut self, machine: MachineId) {
        *self.snapshot_placements.entry(machine).or_default() += 1;
    }

    /// Removes a machine, since it is reconciled. Returns true if it was the last unreconciled one.
    pub(super) fn remove(&mut self, id: &str) -> bool {
        self.machines.remove(id) && self.machines.is_empty()
    }
}
