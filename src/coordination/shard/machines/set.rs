//! The shard's machines, each with the load that may run on it.
//!
//! Decisions read machines far more often than machines change. So every mutable access
//! marks the machine as changed, and [`Machines::refresh`] recounts the loads of the marked
//! machines before the next decision.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Machine, Resources};
use crate::protocol::MachineId;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// What may run on one machine, counted from its attempts.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct MachineLoad {
    /// How many tasks of which jobs may be on it.
    pub tasks: Vec<(Arc<JobSpec>, u32)>,
    /// What they use together.
    pub used: Resources,
    /// Attempts of unknown jobs: each may use the whole machine.
    pub unknown: u32,
    /// Whether an attempt is to stop.
    pub stopping: bool,
    /// Whether a command for an attempt has to be sent.
    pub has_pending_commands: bool,
    /// Whether a launch was never sent and is no longer wanted.
    pub has_withdrawable_launch: bool,
}

impl MachineLoad {
    /// Counts a machine's attempts.
    pub fn of(machine: &Machine) -> Self {
        let mut load = Self::default();
        for attempt in machine.attempts.values() {
            load.has_pending_commands |= attempt.needs_command();
            load.has_withdrawable_launch |= attempt.is_withdrawable();
            if attempt.ended() {
                continue;
            }
            load.stopping |= attempt.stop().is_some();
            let Some(spec) = &attempt.spec else {
                load.unknown += 1;
                continue;
            };
            load.used.add_task(spec);
            // Attempts are in the order of their jobs: the job's entry is mostly the last.
            match load
                .tasks
                .iter_mut()
                .rev()
                .find(|(known, _)| Arc::ptr_eq(known, spec))
            {
                Some((_, count)) => *count += 1,
                None => load.tasks.push((spec.clone(), 1)),
            }
        }
        load
    }

    /// Whether nothing may run on the machine.
    pub fn idle(&self) -> bool {
        self.tasks.is_empty() && self.unknown == 0
    }

    /// The services of which tasks may be on the machine.
    pub fn services(&self) -> impl Iterator<Item = &(Arc<JobSpec>, u32)> {
        self.tasks
            .iter()
            .filter(|(spec, _)| spec.kind == JobKind::Service)
    }

    /// Whether a task on the machine has a lower priority.
    pub fn has_lower_priority(&self, priority: Priority) -> bool {
        self.tasks.iter().any(|(spec, _)| spec.priority < priority)
    }
}

/// All machines by name.
#[derive(Debug, Default)]
pub struct Machines {
    all: BTreeMap<MachineId, Machine>,
    changed: BTreeSet<MachineId>,
}

impl Machines {
    /// A machine by its name.
    pub fn get(&self, id: &str) -> Option<&Machine> {
        self.all.get(id)
    }

    /// A machine to change; [`Machines::refresh`] will recount its load.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Machine> {
        let machine = self.all.get_mut(id)?;
        if !self.changed.contains(id) {
            self.changed.insert(machine.id.clone());
        }
        Some(machine)
    }

    /// Whether a machine is among them.
    pub fn contains(&self, id: &str) -> bool {
        self.all.contains_key(id)
    }

    /// Adds a machine.
    pub fn insert(&mut self, machine: Machine) {
        self.changed.insert(machine.id.clone());
        self.all.insert(machine.id.clone(), machine);
    }

    /// Removes a machine.
    pub fn remove(&mut self, id: &str) -> Option<Machine> {
        self.changed.remove(id);
        self.all.remove(id)
    }

    /// All machines, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &Machine> + Clone {
        self.all.values()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The names of the machines that meet a condition, in order.
    pub fn ids(&self, which: impl Fn(&Machine) -> bool) -> Vec<MachineId> {
        self.values()
            .filter(|machine| which(machine))
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Whether the load of every machine that is not marked as changed is right.
    #[cfg(test)]
    pub fn loads_hold(&self) -> bool {
        self.all
            .values()
            .filter(|machine| !self.changed.contains(&machine.id))
            .all(|machine| machine.load == MachineLoad::of(machine))
    }

    /// Recounts the loads of the machines that may have changed.
    pub fn refresh(&mut self) {
        for id in std::mem::take(&mut self.changed) {
            if let Some(machine) = self.all.get_mut(&id) {
                machine.load = MachineLoad::of(machine);
            }
        }
    }
}
