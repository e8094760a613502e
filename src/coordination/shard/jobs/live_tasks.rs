//! The live tasks of a job: those of which an attempt that has not ended may exist.
//!
//! Attempts are the key: a task stays live until the last attempt of it has ended or was removed,
//! whatever else its machine reports. A machine may list several attempts of one task, in any
//! order, of which all but one have ended.

use std::collections::HashMap;

use crate::protocol::MachineId;

/// An attempt of a task that may exist on a machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// The machine.
    pub machine: MachineId,
    /// The attempt's number.
    pub attempt_number: u64,
}

/// The attempts of one live task.
#[derive(Debug)]
struct LiveAttempts {
    first: Placement,
    /// Empty but for a task of which several attempts may exist at once.
    others: Vec<Placement>,
}

impl LiveAttempts {
    fn iter(&self) -> impl Iterator<Item = &Placement> {
        std::iter::once(&self.first).chain(&self.others)
    }
}

/// The live tasks of one job, by index, each with the attempts of it that may exist.
#[derive(Debug, Default)]
pub struct LiveTasks {
    by_index: HashMap<u32, LiveAttempts>,
}

impl LiveTasks {
    /// The number of live tasks.
    pub fn len(&self) -> usize {
        self.by_index.len()
    }

    /// Whether no task is live.
    pub fn is_empty(&self) -> bool {
        self.by_index.is_empty()
    }

    /// Whether a task is live.
    pub fn contains(&self, index: u32) -> bool {
        self.by_index.contains_key(&index)
    }

    /// The live tasks, each with the machine of one attempt that may exist.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &MachineId)> {
        let tasks = self.by_index.iter();
        tasks.map(|(index, attempts)| (*index, &attempts.first.machine))
    }

    /// The machines of all attempts that may exist, once for each attempt.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        let attempts = self.by_index.values().flat_map(LiveAttempts::iter);
        attempts.map(|placement| &placement.machine)
    }

    /// The attempts that may exist, each with its task's index.
    #[cfg(test)]
    pub fn attempts(&self) -> impl Iterator<Item = (u32, &Placement)> {
        let tasks = self.by_index.iter();
        tasks.flat_map(|(index, attempts)| attempts.iter().map(|placement| (*index, placement)))
    }

    /// Adds an attempt of a task. Returns whether the task was not live before.
    pub(super) fn add(&mut self, index: u32, placement: Placement) -> bool {
        let Some(attempts) = self.by_index.get_mut(&index) else {
            let attempts = LiveAttempts {
                first: placement,
                others: Vec::new(),
            };
            self.by_index.insert(index, attempts);
            return true;
        };
        if attempts.iter().all(|known| *known != placement) {
            attempts.others.push(placement);
        }
        false
    }

    /// Removes an attempt of a task. Returns whether the task is no longer live: no other attempt
    /// of it may exist.
    pub(super) fn remove(&mut self, index: u32, placement: &Placement) -> bool {
        let Some(attempts) = self.by_index.get_mut(&index) else {
            return false;
        };
        attempts.others.retain(|known| known != placement);
        if attempts.first != *placement {
            return false;
        }
        match attempts.others.pop() {
            Some(other) => {
                attempts.first = other;
                false
            }
            None => self.by_index.remove(&index).is_some(),
        }
    }
}

#[cfg(test)]
mod tests;
