//! Simulates gangs on the workers: their tasks start when the last of them is ready, complete
//! together, and end if some of them are missing for too long.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::worker::{Worker, WorkerTask};
use super::workers::RUN_TIME_MS;
use super::{GroundTruth, Simulation, is_fault_active};
use crate::coordination::shard::tests::fixtures::GANG_WAIT;
use crate::protocol::TaskId;
use crate::protocol::workers::{AttemptOutcome, TaskState};

/// The time after which a running task of a gang ends because another task is missing.
const GANG_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// One attempt to run a gang; all its tasks carry the same attempt number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GangAttempt {
    job: Arc<str>,
    number: u64,
}

/// What the tasks of a gang attempt observe of each other.
#[derive(Clone, Copy, PartialEq)]
enum GangStatus {
    /// Some tasks are missing or not ready, or their machines hang.
    Incomplete,
    Running,
    Completed,
}

impl Simulation {
    pub(super) fn step_gangs(&mut self) {
        let now = self.now;
        for (attempt, ready) in self.ready_tasks_by_attempt() {
            let status = self.update_gang_status(&attempt, ready);
            let is_active =
                |worker: &&mut Worker| !worker.is_dead && !is_fault_active(worker.hangs_until, now);
            for worker in self.workers.values_mut().filter(is_active) {
                worker.advance_gang(&attempt, status, &mut self.truth, now);
            }
        }
    }

    /// The gang attempts that have a task on a worker, each with the number of its tasks that wait
    /// or run on machines that do not hang.
    fn ready_tasks_by_attempt(&self) -> BTreeMap<GangAttempt, u32> {
        let mut attempts: BTreeMap<GangAttempt, u32> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.is_dead) {
            let is_hanging = is_fault_active(worker.hangs_until, self.now);
            for ((task, number), worker_task) in &worker.tasks {
                if worker_task.state == TaskState::Ended || !self.truth.is_gang(&task.job) {
                    continue;
                }
                let attempt = GangAttempt {
                    job: task.job.clone(),
                    number: *number,
                };
                let is_ready = matches!(worker_task.state, TaskState::Waiting | TaskState::Running);
                *attempts.entry(attempt).or_default() += u32::from(is_ready && !is_hanging);
            }
        }
        attempts
    }

    /// Returns the status of a gang attempt of which `ready` tasks wait or run; starts the attempt
    /// when all of its tasks are ready for the first time.
    fn update_gang_status(&mut self, attempt: &GangAttempt, ready: u32) -> GangStatus {
        let spec = self.truth.specs.get(&*attempt.job);
        if ready != spec.map_or(0, |spec| spec.tasks) {
            return GangStatus::Incomplete;
        }
        match self.truth.gang_ends.get(attempt) {
            Some(ends_at) if *ends_at <= self.now => GangStatus::Completed,
            Some(_) => GangStatus::Running,
            None => {
                let run_time = Duration::from_millis(self.rng.random_range(RUN_TIME_MS));
                let ends_at = self.now + run_time;
                self.truth.gang_ends.insert(attempt.clone(), ends_at);
                self.counts.gang_starts += 1;
                GangStatus::Running
            }
        }
    }
}

impl Worker {
    fn advance_gang(
        &mut self,
        attempt: &GangAttempt,
        status: GangStatus,
        truth: &mut GroundTruth,
        now: Instant,
    ) {
        let is_of_attempt = |((task, number), worker_task): &(&(TaskId, u64), &mut WorkerTask)| {
            task.job == attempt.job
                && *number == attempt.number
                && worker_task.state != TaskState::Ended
        };
        for ((task, _), worker_task) in self.tasks.iter_mut().filter(is_of_attempt) {
            if !worker_task.advance_in_gang(status, now) {
                continue;
            }
            if status == GangStatus::Completed {
                truth.completed.insert(task.clone());
            }
            self.next_heartbeat = now;
        }
    }
}

impl WorkerTask {
    /// Advances a gang's task according to the status of its attempt; returns whether the task's
    /// state has changed.
    fn advance_in_gang(&mut self, status: GangStatus, now: Instant) -> bool {
        let incomplete_for = now.saturating_duration_since(self.incomplete_since);
        match (status, self.state) {
            (GangStatus::Completed, _) => self.end(AttemptOutcome::Done),
            (GangStatus::Running, TaskState::Waiting) => self.state = TaskState::Running,
            (GangStatus::Running, TaskState::Running) => {
                self.incomplete_since = now;
                return false;
            }
            (GangStatus::Incomplete, TaskState::Waiting) if incomplete_for > GANG_WAIT => {
                self.end(AttemptOutcome::GangIncomplete);
            }
            (GangStatus::Incomplete, TaskState::Running) if incomplete_for > GANG_PEER_TIMEOUT => {
                self.end(AttemptOutcome::GangPeerLost);
            }
            _ => return false,
        }
        true
    }
}
