//! What failed and successful attempts mean for jobs and machines.

use std::time::Instant;

use super::FailedAttempt;
use super::machine_health::log_cordon;
use crate::coordination::shard::{Attempt, Job, Phase, Shard};
use crate::protocol::JobId;

/// Tasks of a crash-looping job that may exist at a time.
const CRASH_LOOPING_TASKS: u32 = 2;

impl Job {
    /// Whether the number of its attempts is limited, since all have failed so far.
    pub fn is_crash_looping(&self) -> bool {
        self.failures.is_crash_looping()
    }

    /// How many more of its tasks may be started, as far as its failures tell.
    pub(in crate::coordination::shard) fn retry_budget(&self) -> u32 {
        if self.is_crash_looping() && !self.spec.is_gang() {
            CRASH_LOOPING_TASKS.saturating_sub(self.live().len() as u32)
        } else {
            u32::MAX
        }
    }
}

impl Shard {
    /// An attempt failed by itself: judges its job, or else its machine.
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
            let sound = !job.done().is_empty();
            self.note_machine_failure(failure, sound, now);
        } else if !was_crash_looping {
            tracing::info!(job = %failure.job, "job is crash-looping, its attempts are limited");
            self.withdraw_evidence(failure.job);
        }
    }

    /// Counts a failure as evidence against its machine, and cordons it if that suffices.
    fn note_machine_failure(&mut self, failure: &FailedAttempt<'_>, sound: bool, now: Instant) {
        if let Some(machine) = self.machines.get_mut(failure.machine)
            && let Some(reason) = machine.health.note_failure(failure.job, sound, now)
        {
            log_cordon(&machine.id, reason);
        }
    }

    /// A task of a job has completed, or has run for long: where others of it failed, the
    /// machine is more likely at fault.
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
        for machine_id in job.failures.failed_on().clone() {
            if let Some(machine) = self.machines.get_mut(&machine_id)
                && let Some(reason) = machine.health.confirm_failure(id)
            {
                log_cordon(&machine.id, reason);
            }
        }
    }

    /// Withdraws a job's failures as evidence against machines: it is crash-looping, or it
    /// has ended.
    pub(in crate::coordination::shard) fn withdraw_evidence(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for machine_id in job.failures.failed_on() {
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.health.withdraw_failure(id);
            }
        }
    }

    /// Counts tasks that have run for longer than any failed attempt of their job as
    /// successes: a service has no others, since it never completes.
    pub(in crate::coordination::shard) fn note_outliving_tasks(&mut self, now: Instant) {
        let failing = self.jobs.values().filter(|job| !job.failures.is_clear());
        let succeeded: Vec<JobId> = failing
            .filter(|job| self.has_outliving_task(job, now))
            .map(|job| job.id.clone())
            .collect();
        for id in succeeded {
            self.task_succeeded(&id);
        }
    }

    fn has_outliving_task(&self, job: &Job, now: Instant) -> bool {
        let success_after = job.failures.success_after();
        let outlives = |attempt: &Attempt| {
            attempt.phase == Phase::Running
                && attempt
                    .running_since
                    .is_some_and(|since| now.saturating_duration_since(since) > success_after)
        };
        let machines = job.live().values().filter_map(|id| self.machines.get(id));
        machines
            .flat_map(|machine| machine.attempts_of(&job.id))
            .any(|(_, attempt)| outlives(attempt))
    }
}
