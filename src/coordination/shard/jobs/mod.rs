//! Jobs and the progress of their tasks.
//!
//! This module owns which tasks of a job are completed, which may exist on a machine, and
//! which wait. The scheduler reads it, the reconciler updates it from heartbeats, and the
//! leader loop and the user API bring accepted and finished jobs. It never starts or stops
//! anything itself.

mod lifecycle;
mod progress;
mod unfinished;

pub(super) use progress::RunningTasks;
pub use progress::TaskCounts;
pub use unfinished::UnfinishedJob;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::health::RunTimes;
use super::{FailureHistory, GangAttempt};
use crate::protocol::users::{JobKind, JobSpec, JobStage};
use crate::protocol::{JobId, MachineId};
use crate::storage::records::JobRecord;
use crate::storage::task_set::TaskSet;

/// A job and the progress of its tasks.
///
/// Invariant: a task in `live` may have an attempt on that machine and on no other that is
/// known, and a task in `unplaced` is neither completed nor live.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// Its description.
    pub spec: Arc<JobSpec>,
    /// The revision at which its record was last modified in the key-value store.
    pub mod_revision: u64,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Completed tasks.
    done: TaskSet,
    /// Tasks of which an attempt that has not ended may exist, with its machine.
    live: HashMap<u32, MachineId>,
    /// Tasks that were on a machine under this leader and surely are on none now.
    unplaced: BTreeSet<u32>,
    /// How many tasks are completed and live: another attempt may still exist.
    both: u32,
    /// Its failed attempts since its last success.
    pub failures: FailureHistory,
    /// None of its tasks is started before this moment.
    pub not_before: Option<Instant>,
    /// Run times of its completed tasks, to find machines that are slower.
    pub run_times: RunTimes,
    /// Its final stage, once it is finished.
    pub final_stage: Option<JobStage>,
    /// Whether the write of its final record was requested.
    pub finish_sent: bool,
    /// Some of its tasks would start too late on low-cost machines: they may also use those
    /// that cost extra.
    pub accepts_extra_cost: bool,
    /// The present attempt of a gang.
    pub gang: GangAttempt,
    /// Where the search for the next waiting task begins: a hint that saves time.
    cursor: u32,
}

impl Job {
    /// A job without any attempt.
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
            run_times: RunTimes::default(),
            final_stage: None,
            finish_sent: false,
            accepts_extra_cost: false,
            gang: GangAttempt::default(),
            cursor: 0,
        }
    }

    /// How many tasks wait: they are neither completed nor live.
    pub fn waiting(&self) -> u32 {
        if self.final_stage.is_some() {
            return 0;
        }
        (self.spec.tasks + self.both).saturating_sub(self.done.len() + self.live.len() as u32)
    }

    /// Waiting tasks that surely have no attempt, even while machines are unreconciled.
    pub fn known_unplaced(&self) -> u32 {
        match self.final_stage {
            Some(_) => 0,
            None => self.unplaced.len() as u32,
        }
    }

    /// Waiting tasks that an earlier leader may have started on an unreconciled machine.
    pub fn unreconciled_tasks(&self) -> u32 {
        self.waiting().saturating_sub(self.known_unplaced())
    }

    /// The waiting tasks, counted one by one, to check [`Job::waiting`].
    #[cfg(test)]
    pub fn recount_waiting(&self) -> u32 {
        let waits = |n: &u32| !self.done.contains(*n) && !self.live.contains_key(n);
        match self.final_stage {
            Some(_) => 0,
            None => (0..self.spec.tasks).filter(waits).count() as u32,
        }
    }

    /// The completed tasks.
    pub fn done(&self) -> &TaskSet {
        &self.done
    }

    /// The tasks of which an attempt may exist, with its machine.
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

    /// A task may be on a machine from now on. If it may be on another already, that one
    /// stays on record.
    pub fn add_placement(&mut self, index: u32, machine: &MachineId) {
        if let std::collections::hash_map::Entry::Vacant(free) = self.live.entry(index) {
            free.insert(machine.clone());
            self.unplaced.remove(&index);
            self.both += u32::from(self.done.contains(index));
        }
    }

    /// A task has no attempt on a machine any more.
    pub fn remove_placement(&mut self, index: u32, machine: &MachineId) {
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

    /// The next waiting task that surely has no attempt. `all` says that this holds for
    /// every waiting task, as it does once every machine is reconciled.
    pub fn next_waiting(&mut self, all: bool) -> Option<u32> {
        if !all {
            return self.unplaced.first().copied();
        }
        // Tasks before the cursor wait only if they were lifted since it passed them.
        let free = |n: &u32| !self.done.contains(*n) && !self.live.contains_key(n);
        let next = (self.cursor..self.spec.tasks)
            .find(free)
            .or_else(|| (0..self.cursor.min(self.spec.tasks)).find(free));
        self.cursor = next.unwrap_or(0);
        next
    }

    /// Whether every task has completed; tasks of a service never do.
    pub fn all_done(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.len() >= self.spec.tasks
    }

    /// Its deadline in milliseconds since the Unix epoch; the latest time if it has none.
    pub fn due_ms(&self) -> u64 {
        match self.spec.deadline_s {
            Some(s) => self.at_ms.saturating_add((s * 1000.0) as u64),
            None => u64::MAX,
        }
    }
}
