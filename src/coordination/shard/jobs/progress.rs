//! How many tasks of each job are completed and running, for the answers to users.
//! Other controllers receive the counts in the leader's heartbeats and answer from them too.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Job;
use crate::coordination::shard::{Machines, Phase, Shard};
use crate::protocol::{AttemptId, JobId, MachineId};

/// The shortest time between two counts of the running tasks, since each count goes through all
/// attempts.
const RECOUNT_INTERVAL: Duration = Duration::from_secs(1);

/// How many of a job's tasks are completed, and how many are running.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// The number of completed tasks.
    pub done: u32,
    /// The number of running tasks.
    pub running: u32,
}

/// The number of running tasks of each job, as of the last count.
#[derive(Debug, Default)]
pub(crate) struct RunningTasks {
    by_job: HashMap<JobId, u32>,
    counted_at: Option<Instant>,
}

impl RunningTasks {
    /// The number of a job's running tasks at the last count.
    pub(crate) fn count(&self, job: &JobId) -> u32 {
        self.by_job.get(job).copied().unwrap_or(0)
    }

    /// Counts the running tasks again if [`RECOUNT_INTERVAL`] has passed since the last count.
    /// Returns whether it counted.
    pub(crate) fn recount_if_due(&mut self, machines: &Machines, now: Instant) -> bool {
        let is_due = self
            .counted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= RECOUNT_INTERVAL);
        if is_due {
            self.counted_at = Some(now);
            self.recount(machines);
        }
        is_due
    }

    fn recount(&mut self, machines: &Machines) {
        self.by_job.clear();
        for machine in machines.values() {
            for (AttemptId { task, .. }, attempt) in &machine.attempts {
                if attempt.phase != Phase::Running {
                    continue;
                }
                // The job's id is cloned only for its first task.
                match self.by_job.get_mut(&task.job) {
                    Some(count) => *count += 1,
                    None => {
                        self.by_job.insert(task.job.clone(), 1);
                    }
                }
            }
        }
    }
}

impl Shard {
    /// All unfinished jobs with their task counts. The running tasks are as of the last count.
    pub fn progress(&self) -> impl Iterator<Item = (&JobId, TaskCounts)> {
        self.jobs
            .values()
            .filter(|job| job.final_stage.is_none())
            .map(|job| {
                let running = self.running_tasks.count(&job.id);
                let done = job.done().len();
                (&job.id, TaskCounts { done, running })
            })
    }

    /// The present task counts of one unfinished job, for the answer to its user. Counts the
    /// running tasks anew.
    pub fn task_counts(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id).filter(|job| job.final_stage.is_none())?;
        let live = job.live().iter();
        let running = live.filter(|(index, machine)| self.is_running_on(job, *index, machine));
        Some(TaskCounts {
            done: job.done().len(),
            running: running.count() as u32,
        })
    }

    fn is_running_on(&self, job: &Job, index: u32, machine: &MachineId) -> bool {
        let Some(machine) = self.machines.get(machine) else {
            return false;
        };
        machine
            .attempts_of(&job.id)
            .any(|(id, attempt)| id.task.index == index && attempt.phase == Phase::Running)
    }
}
