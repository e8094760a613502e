//! Jobs and the progress of their tasks.
//!
//! For each job, this module owns which tasks are completed, which may have an attempt on a
//! machine, and which wait for one. The scheduler reads this state, the reconciler updates it
//! from heartbeats, and the leader loop and the user API report accepted and finished jobs.
//! The module never decides to start a task; it stops only the attempts of finished jobs.

mod lifecycle;
mod live_tasks;
mod progress;
mod unfinished;

pub use live_tasks::{LiveTasks, Placement};
pub(super) use progress::RunningTasks;
pub use progress::TaskCounts;
pub use unfinished::UnfinishedJob;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use super::health::RunTimes;
use super::{FailureHistory, GangAttempt};
use crate::protocol::JobId;
use crate::protocol::users::{JobKind, JobSpec, JobStage};
use crate::storage::records::JobRecord;
use crate::storage::task_set::TaskSet;

/// A job and the progress of its tasks.
///
/// Invariant: every attempt of a task that may exist, as far as this leader knows, is recorded in
/// `live`. A task in `unplaced` is neither completed nor live.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The description that its user submitted.
    pub spec: Arc<JobSpec>,
    /// The store revision at which its record was last modified.
    pub mod_revision: u64,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// The completed tasks.
    done: TaskSet,
    /// The live tasks: those of which an attempt that has not ended may exist.
    live: LiveTasks,
    /// The waiting tasks that were on a machine under this leader and certainly are on none now.
    unplaced: BTreeSet<u32>,
    /// How many tasks are both completed and live: another attempt of them may still exist.
    done_and_live: u32,
    /// The failed attempts of the job's tasks.
    pub failures: FailureHistory,
    /// No task of the job is started before this moment: the end of a retry backoff.
    pub not_before: Option<Instant>,
    /// The run times of its completed tasks, by which slow machines are found.
    pub run_times: RunTimes,
    /// The stage in which the job finished; `None` while it is unfinished. `Cancelled` also stands
    /// for a stage that this leader does not know.
    pub final_stage: Option<JobStage>,
    /// Whether the write of its final record was requested (`Action::Finish`).
    pub is_finish_requested: bool,
    /// Whether the job's tasks may also use machines that cost extra, because some of them would
    /// start too late if they waited for low-cost machines.
    pub accepts_extra_cost: bool,
    /// The current attempt of a gang; unused by other jobs.
    pub gang: GangAttempt,
    /// The task index at which [`Job::next_waiting`] begins its search, so that it need not go
    /// through the tasks before it each time.
    search_start: u32,
}

impl Job {
    /// Creates a job without completed or live tasks.
    pub fn new(id: JobId, mod_revision: u64, record: JobRecord) -> Self {
        Self {
            id,
            spec: Arc::new(record.spec),
            mod_revision,
            accepted_at_ms: record.accepted_at_ms,
            done: TaskSet::default(),
            live: LiveTasks::default(),
            unplaced: BTreeSet::new(),
            done_and_live: 0,
            failures: FailureHistory::default(),
            not_before: None,
            run_times: RunTimes::default(),
            final_stage: None,
            is_finish_requested: false,
            accepts_extra_cost: false,
            gang: GangAttempt::default(),
            search_start: 0,
        }
    }

    /// The number of waiting tasks: those neither completed nor live. 0 once the job has
    /// finished.
    pub fn waiting(&self) -> u32 {
        if self.final_stage.is_some() {
            return 0;
        }
        (self.spec.tasks + self.done_and_live)
            .saturating_sub(self.done.len() + self.live.len() as u32)
    }

    /// The number of waiting tasks that certainly have no attempt, even while machines are
    /// unreconciled.
    pub fn known_unplaced_tasks(&self) -> u32 {
        match self.final_stage {
            Some(_) => 0,
            None => self.unplaced.len() as u32,
        }
    }

    /// The number of waiting tasks that an earlier leader may have started on an unreconciled
    /// machine.
    pub fn unreconciled_tasks(&self) -> u32 {
        self.waiting().saturating_sub(self.known_unplaced_tasks())
    }

    /// The number of waiting tasks, counted one by one. Tests check [`Job::waiting`] by it.
    #[cfg(test)]
    pub fn recount_waiting(&self) -> u32 {
        let waits = |n: &u32| !self.done.contains(*n) && !self.live.contains(*n);
        match self.final_stage {
            Some(_) => 0,
            None => (0..self.spec.tasks).filter(waits).count() as u32,
        }
    }

    /// The completed tasks.
    pub fn done(&self) -> &TaskSet {
        &self.done
    }

    /// The tasks of which an attempt that has not ended may exist.
    pub fn live(&self) -> &LiveTasks {
        &self.live
    }

    /// Whether a task needs an attempt: the job is unfinished, the task is not completed, and no
    /// attempt of it may exist.
    pub fn needs_attempt(&self, index: u32) -> bool {
        self.final_stage.is_none() && !self.done.contains(index) && !self.live.contains(index)
    }

    /// Marks a task as completed.
    pub fn complete(&mut self, index: u32) {
        self.unplaced.remove(&index);
        if self.done.insert(index) && self.live.contains(index) {
            self.done_and_live += 1;
        }
    }

    /// Records that an attempt of a task may exist on a machine.
    pub fn add_placement(&mut self, index: u32, placement: Placement) {
        if self.live.add(index, placement) {
            self.unplaced.remove(&index);
            self.done_and_live += u32::from(self.done.contains(index));
        }
    }

    /// Records that an attempt of a task does not exist any more. The task is released, so that it
    /// may start again, if this was its last attempt. Without any live task, a gang has no current
    /// attempt.
    pub fn remove_placement(&mut self, index: u32, placement: &Placement) {
        if self.live.remove(index, placement) {
            if self.done.contains(index) {
                self.done_and_live -= 1;
            } else {
                self.unplaced.insert(index);
            }
            if self.live.is_empty() {
                self.gang = GangAttempt::default();
            }
        }
    }

    /// The next waiting task that certainly has no attempt. `all_reconciled` says that no
    /// waiting task can have one, as is the case once every machine is reconciled; otherwise
    /// only the tasks in `unplaced` are considered.
    pub fn next_waiting(&mut self, all_reconciled: bool) -> Option<u32> {
        if !all_reconciled {
            return self.unplaced.first().copied();
        }
        // A task before `search_start` waits only if its attempt ended after the search passed it.
        let waits = |n: &u32| !self.done.contains(*n) && !self.live.contains(*n);
        let next = (self.search_start..self.spec.tasks)
            .find(waits)
            .or_else(|| (0..self.search_start.min(self.spec.tasks)).find(waits));
        self.search_start = next.unwrap_or(0);
        next
    }

    /// Whether every task has completed. Always false for a service, whose tasks never complete.
    pub fn all_done(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.len() >= self.spec.tasks
    }

    /// The job's deadline in milliseconds since the Unix epoch; `u64::MAX` if it has none.
    pub fn deadline_ms(&self) -> u64 {
        match self.spec.deadline_s {
            Some(s) => self.accepted_at_ms.saturating_add((s * 1000.0) as u64),
            None => u64::MAX,
        }
    }
}
