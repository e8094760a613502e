//! Updates the health of jobs and machines when attempts fail or succeed.

use std::time::Instant;

use super::FailedAttempt;
use super::machine_health::log_cordon;
use crate::coordination::shard::{Attempt, Job, Phase, Shard};
use crate::protocol::JobId;

/// Most tasks of a crash-looping job that may be placed at a time.
const MAX_CRASH_LOOPING_TASKS: u32 = 2;

impl Job {
    /// Whether the job's tasks have failed so often without a success that the number of its
    /// attempts is limited.
    pub fn is_crash_looping(&self) -> bool {
        self.failures.is_crash_looping()
    }

    /// How many more of the job's tasks may be started. Only crash-looping jobs that are not gangs
    /// have a limit.
    pub(in crate::coordination::shard) fn retry_budget(&self) -> u32 {
        if self.is_crash_looping() && !self.spec.is_gang() {
            MAX_CRASH_LOOPING_TASKS.saturating_sub(self.live().len() as u32)
        } else {
            u32::MAX
        }
    }
}

impl Shard {
    /// Records an attempt that failed by itself. The failure counts as evidence against the machine
    /// unless the job is crash-looping.
    pub(in crate::coordination::shard) fn attempt_failed(
        &mut self,
        failure: &FailedAttempt<'_>,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(failure.job) else {
            return;
        };
        let was_crash_looping = job.is_crash_looping();
        if let Some(pause) = job.failures.note_failure(failure, now) {
            job.not_before = Some(now + pause);
        }
        if !job.is_crash_looping() {
            let is_sound = !job.done().is_empty();
            self.note_machine_failure(failure, is_sound, now);
        } else if !was_crash_looping {
            tracing::info!(job = %failure.job, "job is crash-looping, its attempts are limited");
            self.withdraw_evidence(failure.job);
        }
    }

    /// Counts a failure as evidence against the machine on which it occurred, and cordons the
    /// machine if the evidence suffices.
    fn note_machine_failure(&mut self, failure: &FailedAttempt<'_>, is_sound: bool, now: Instant) {
        if let Some(machine) = self.machines.get_mut(failure.machine)
            && let Some(reason) = machine.health.note_failure(failure.job, is_sound, now)
        {
            log_cordon(&machine.id, reason);
        }
    }

    /// Records that a task of a job has completed, or has run long enough to count as a success.
    /// If other tasks of the job failed, their machines are then more likely at fault than the
    /// job.
    pub(in crate::coordination::shard) fn task_succeeded(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.failures.is_clear() {
            return;
        }
        if job.is_crash_looping() {
            tracing::info!(job = %id, "job is no longer crash-looping, a task has succeeded");
        }
        job.failures.note_success();
        job.not_before = None;
        for machine_id in job.failures.machines().clone() {
            if let Some(machine) = self.machines.get_mut(&machine_id)
                && let Some(reason) = machine.health.confirm_failure(id)
            {
                log_cordon(&machine.id, reason);
            }
        }
    }

    /// Withdraws a job's failures as evidence against machines. Called when the job has become
    /// crash-looping or has ended.
    pub(in crate::coordination::shard) fn withdraw_evidence(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for machine_id in job.failures.machines() {
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.health.withdraw_failure(id);
            }
        }
    }

    /// Counts tasks that have run much longer than any failed attempt of their job as successes.
    /// The tasks of a service can't succeed in any other way, since they never complete.
    pub(in crate::coordination::shard) fn note_successes_by_run_time(&mut self, now: Instant) {
        let failing_jobs = self.jobs.values().filter(|job| !job.failures.is_clear());
        let succeeded_jobs: Vec<JobId> = failing_jobs
            .filter(|job| self.has_success_by_run_time(job, now))
            .map(|job| job.id.clone())
            .collect();
        for id in succeeded_jobs {
            self.task_succeeded(&id);
        }
    }

    fn has_success_by_run_time(&self, job: &Job, now: Instant) -> bool {
        let success_run_time = job.failures.success_run_time();
        let outlives = |attempt: &Attempt| {
            attempt.phase == Phase::Running
                && attempt
                    .running_since
                    .is_some_and(|since| now.saturating_duration_since(since) > success_run_time)
        };
        let machines = job.live().machines().filter_map(|id| self.machines.get(id));
        machines
            .flat_map(|machine| machine.attempts_of(&job.id))
            .any(|(_, attempt)| outlives(attempt))
    }
}
