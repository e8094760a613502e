//! The shard's machines, each with a load of what may run on it.
//!
//! Decisions look at machines far more often than machines change. So every
//! mutable access marks the machine, and [`Machines::refresh`] counts the
//! marked ones again before the next look.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Amounts, Machine};
use crate::protocol::MachineId;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// What may run on one machine, counted from its attempts.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct MachineLoad {
    /// How many tasks of which jobs may be there.
    pub tasks: Vec<(Arc<JobSpec>, u32)>,
    /// What they attempt_number together.
    pub used: Amounts,
    /// Attempts of jobs that are not known: they may attempt_number all of it.
    pub unknown: u32,
    /// Some attempt is to stop.
    pub stopping: bool,
    /// Some attempt has to be told to the worker.
    pub has_pending_commands: bool,
    /// Some launch was never sent and is not wanted any more.
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
            load.used.give(spec);
            // Tasks of one job mostly stand together.
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

    /// Whether nothing may run there.
    pub fn idle(&self) -> bool {
        self.tasks.is_empty() && self.unknown == 0
    }

    /// The services that may be there.
    pub fn services(&self) -> impl Iterator<Item = &(Arc<JobSpec>, u32)> {
        self.tasks
            .iter()
            .filter(|(spec, _)| spec.kind == JobKind::Service)
    }

    /// Whether some task there has a lower priority.
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

    /// A machine to change; its load is counted again before the next look.
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

    /// Takes a machine out.
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

    /// The names of the machines that fit a condition.
    pub fn ids(&self, which: impl Fn(&Machine) -> bool) -> Vec<MachineId> {
        self.values()
            .filter(|machine| which(machine))
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Whether every load that is taken to hold does.
    #[cfg(test)]
    pub fn loads_hold(&self) -> bool {
        self.all
            .values()
            .filter(|machine| !self.changed.contains(&machine.id))
            .all(|machine| machine.load == MachineLoad::of(machine))
    }

    /// Counts the machines again that may have changed.
    pub fn refresh(&mut self) {
        for id in std::mem::take(&mut self.changed) {
            if let Some(machine) = self.all.get_mut(&id) {
                machine.load = MachineLoad::of(machine);
            }
        }
    }
}
