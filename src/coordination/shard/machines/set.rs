//! The shard's machines, each with a cached count of the tasks that may run on it.
//!
//! Scheduling decisions read machines far more often than machines change. Every mutable access
//! therefore marks the machine as changed, and [`Machines::refresh`] recounts the loads of the
//! marked machines before the next decision.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{MAX_STATUS_BYTES, Machine, Resources};
use crate::coordination::worker_leases::launch_fence::LaunchFence;
use crate::protocol::MachineId;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// The tasks that may run on one machine, counted from its attempts that have not ended.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct MachineLoad {
    /// By job, how many of its tasks may be on the machine.
    pub tasks: Vec<(Arc<JobSpec>, u32)>,
    /// The resources that these tasks use together.
    pub used: Resources,
    /// Number of attempts whose job description is not known: each may use the whole machine.
    pub unknown_attempts: u32,
    /// Whether a stop was requested for an attempt that has not ended.
    pub has_stopping_attempt: bool,
    /// Whether a command for an attempt has to be sent.
    pub has_pending_commands: bool,
    /// Whether an attempt can be removed because its launch was never sent and a stop was
    /// requested.
    pub has_withdrawable_launch: bool,
    /// The highest launch fence among the attempts that the worker is to forget; `None` if there are
    /// none.
    pub clear_wanted_above: Option<LaunchFence>,
    /// At most this many bytes of a heartbeat list the attempts.
    pub listed_bytes: usize,
    /// Whether the launch of an attempt may still arrive although a stop was requested.
    pub has_revoked_launch: bool,
}

impl MachineLoad {
    /// Counts the attempts of a machine.
    pub fn count_attempts(machine: &Machine) -> Self {
        let mut load = Self::default();
        for (attempt_id, attempt) in &machine.attempts {
            load.listed_bytes += MAX_STATUS_BYTES + attempt_id.task.job.len();
            if attempt.is_clear_wanted() {
                load.clear_wanted_above = load.clear_wanted_above.max(Some(attempt.launch_fence));
            }
            load.has_pending_commands |= attempt.needs_command();
            load.has_withdrawable_launch |= attempt.is_withdrawable();
            load.has_revoked_launch |= attempt.is_launch_revoked();
            if attempt.ended() {
                continue;
            }
            load.has_stopping_attempt |= attempt.stop_grace().is_some();
            let Some(spec) = &attempt.spec else {
                load.unknown_attempts += 1;
                continue;
            };
            load.used.add_task(spec);
            // Attempts are ordered by job, so the job's entry is usually the last one.
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

    /// Whether no task may run on the machine.
    pub fn is_idle(&self) -> bool {
        self.tasks.is_empty() && self.unknown_attempts == 0
    }

    /// The services that may have tasks on the machine, each with the number of these tasks.
    pub fn services(&self) -> impl Iterator<Item = &(Arc<JobSpec>, u32)> {
        self.tasks
            .iter()
            .filter(|(spec, _)| spec.kind == JobKind::Service)
    }

    /// Whether a task that may be on the machine has a lower priority than `priority`.
    pub fn has_lower_priority(&self, priority: Priority) -> bool {
        self.tasks.iter().any(|(spec, _)| spec.priority < priority)
    }
}

/// All machines of the shard, by name.
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

    /// A machine by its name, for changes. Marks it, so that [`Machines::refresh`] recounts its
    /// load.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Machine> {
        let machine = self.all.get_mut(id)?;
        if !self.changed.contains(id) {
            self.changed.insert(machine.id.clone());
        }
        Some(machine)
    }

    /// Whether the shard has a machine of this name.
    pub fn contains(&self, id: &str) -> bool {
        self.all.contains_key(id)
    }

    /// Adds a machine, or replaces the one of the same name.
    pub fn insert(&mut self, machine: Machine) {
        self.changed.insert(machine.id.clone());
        self.all.insert(machine.id.clone(), machine);
    }

    /// Removes a machine and returns it.
    pub fn remove(&mut self, id: &str) -> Option<Machine> {
        self.changed.remove(id);
        self.all.remove(id)
    }

    /// All machines, in the order of their names.
    pub fn values(&self) -> impl Iterator<Item = &Machine> + Clone {
        self.all.values()
    }

    /// The number of machines.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether the shard has no machine.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The names, in order, of the machines for which `predicate` is true.
    pub fn ids(&self, predicate: impl Fn(&Machine) -> bool) -> Vec<MachineId> {
        self.values()
            .filter(|machine| predicate(machine))
            .map(|machine| machine.id.clone())
            .collect()
    }

    /// Whether the cached load of every machine that is not marked as changed equals a new count.
    #[cfg(test)]
    pub fn are_loads_consistent(&self) -> bool {
        self.all
            .values()
            .filter(|machine| !self.changed.contains(&machine.id))
            .all(|machine| machine.load == MachineLoad::count_attempts(machine))
    }

    /// Recounts the load of each machine that is marked as changed, and removes the marks.
    pub fn refresh(&mut self) {
        for id in std::mem::take(&mut self.changed) {
            if let Some(machine) = self.all.get_mut(&id) {
                machine.load = MachineLoad::count_attempts(machine);
            }
        }
    }
}
