//! Jobs as the leader keeps them.

mod lifecycle;
mod progress;

pub use progress::{RunningTasks, TaskCounts};

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::FailureHistory;
use super::GangAttempt;
use super::health::RunTimes;
use crate::protocol::users::{JobKind, JobSpec, Stage};
use crate::protocol::{JobId, MachineId};
use crate::storage::records::JobRecord;
use crate::storage::task_set::TaskSet;

/// A job and the progress of its tasks.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// Its description.
    pub spec: Arc<JobSpec>,
    /// The version of its record in the key-value store.
    pub mod_revision: u64,
    /// Time of day of its acceptance, in milliseconds.
    pub at_ms: u64,
    done: TaskSet,
    /// Tasks that may exist on a machine. Ended ones are not among them.
    live: HashMap<u32, MachineId>,
    /// Tasks that were on a machine we knew of and surely are on none now.
    unplaced: BTreeSet<u32>,
    /// Tasks that are both: they ended as done while another attempt of them
    /// may still exist.
    both: u32,
    /// Its failed attempts.
    pub failures: FailureHistory,
    /// Until when none of its tasks is started.
    pub not_before: Option<Instant>,
    /// Run times of its completed tasks, for comparing machines.
    pub ran: RunTimes,
    /// Its final state, if it is over.
    pub final_stage: Option<Stage>,
    /// Its final record has been asked for.
    pub finish_sent: bool,
    /// Some of its tasks would start too late on low-cost machines: they may also use those
    /// that cost extra.
    pub accepts_extra_cost: bool,
    /// If it is a gang, its present attempt.
    pub gang: GangAttempt,
    /// Where to look first for a task that waits.
    cursor: u32,
}

impl Job {
    /// A job of which nothing is known but its record.
    pub fn new(id: JobId, mod_revision: u64, record: JobRecord) -> Self {
        Self {
            id,
            spec: Arc::new(record.spec),
            mod_revision,
            at_ms: record.accepted_at_ms,
            done: TaskSet::default(),
            live: HashMap::new(),
            unplaced: BTreeSet::new(),
            both: 0,
            failures: FailureHistory::default(),
            not_before: None,
            ran: RunTimes::default(),
            final_stage: None,
            finish_sent: false,
            accepts_extra_cost: false,
            gang: GangAttempt::default(),
            cursor: 0,
        }
    }

    /// Tasks that are neither done nor possibly on a machine.
    pub fn waiting(&self) -> u32 {
        if self.final_stage.is_some() {
            return 0;
        }
        (self.spec.tasks + self.both).saturating_sub(self.done.len() + self.live.len() as u32)
    }

    /// Waiting tasks that are surely nowhere, whatever an earlier leader did.
    pub fn known_unplaced(&self) -> u32 {
        match self.final_stage {
            Some(_) => 0,
            None => self.unplaced.len() as u32,
        }
    }

    /// Waiting tasks that an earlier leader may have started somewhere.
    pub fn unreconciled_tasks(&self) -> u32 {
        self.waiting().saturating_sub(self.known_unplaced())
    }

    /// The waiting tasks, counted one by one.
    #[cfg(test)]
    pub fn recount_waiting(&self) -> u32 {
        let waits = |n: &u32| !self.done.contains(*n) && !self.live.contains_key(n);
        match self.final_stage {
            Some(_) => 0,
            None => (0..self.spec.tasks).filter(waits).count() as u32,
        }
    }

    /// Its completed tasks.
    pub fn done(&self) -> &TaskSet {
        &self.done
    }

    /// Tasks that may exist, and where.
    pub fn live(&self) -> &HashMap<u32, MachineId> {
        &self.live
    }

    /// Whether a task needs an attempt: it is not completed, and none may exist.
    pub fn needs_attempt(&self, index: u32) -> bool {
        self.final_stage.is_none() && !self.done.contains(index) && !self.live.contains_key(&index)
    }

    /// A task has completed.
    pub fn complete(&mut self, index: u32) {
        self.unplaced.remove(&index);
        if self.done.insert(index) && self.live.contains_key(&index) {
            self.both += 1;
        }
    }

    /// A task may be on a machine from now on, unless it may be on another.
    pub fn put(&mut self, index: u32, machine: &MachineId) {
        if let std::collections::hash_map::Entry::Vacant(free) = self.live.entry(index) {
            free.insert(machine.clone());
            self.unplaced.remove(&index);
            self.both += u32::from(self.done.contains(index));
        }
    }

    /// A task can't be on that machine any more.
    pub fn lift(&mut self, index: u32, machine: &MachineId) {
        if self.live.get(&index) == Some(machine) {
            self.live.remove(&index);
            if self.done.contains(index) {
                self.both -= 1;
            } else {
                self.unplaced.insert(index);
            }
            if self.live.is_empty() {
                self.gang = GangAttempt::default();
            }
        }
    }

    /// The next waiting task that is surely nowhere; all are once every machine
    /// is reconciled.
    pub fn next_waiting(&mut self, all: bool) -> Option<u32> {
        if !all {
            return self.unplaced.first().copied();
        }
        // What was released lies before the cursor only if it was lifted since.
        let free = |n: &u32| !self.done.contains(*n) && !self.live.contains_key(n);
        let next = (self.cursor..self.spec.tasks)
            .find(free)
            .or_else(|| (0..self.cursor.min(self.spec.tasks)).find(free));
        self.cursor = next.unwrap_or(0);
        next
    }

    /// Whether every task has completed; a service never is.
    pub fn all_done(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.len() >= self.spec.tasks
    }

    /// When it should be complete, in time of day.
    pub fn due_ms(&self) -> u64 {
        match self.spec.deadline_s {
            Some(s) => self.at_ms.saturating_add((s * 1000.0) as u64),
            None => u64::MAX,
        }
    }
}
