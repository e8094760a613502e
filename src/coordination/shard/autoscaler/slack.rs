//! Slack of waiting tasks: how many seconds remain until they should start.
//!
//! It follows from the service-level objectives of the job's class or from the job's deadline. If
//! neither states a time, batch work gets a default latest start that counts from when the job was
//! accepted.

use std::time::Duration;

use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// Factor on the stated run time, because run times are often underestimated.
const RUN_TIME_MARGIN_FACTOR: f64 = 1.3;

/// Share of an objective's time that is used; the rest is a margin.
const OBJECTIVE_SHARE: f64 = 0.8;

/// Latest start of a job's first task if nothing states a start time, counted from when the job was
/// accepted: users consider a job that waits longer than four minutes not served.
const DEFAULT_FIRST_START: Duration = Duration::from_secs(240);

/// Latest start of the job's other tasks once one has been started.
const DEFAULT_START: Duration = Duration::from_secs(600);

/// Latest start of the other tasks of best-effort jobs, which use the capacity that exists and
/// rarely justify paying for more.
const DEFAULT_BEST_EFFORT_START: Duration = Duration::from_secs(3600);

impl AutoscalerView<'_> {
    /// Seconds until a job's waiting tasks should start on a machine rented now; None if no start
    /// time applies. The slack of a deadline already allows for a boot, which is added back here.
    pub(super) fn start_slack(&self, job: &Job, wall_ms: u64) -> Option<f64> {
        let slack_s = self.slack(job, estimated_run_s(&job.spec), wall_ms)?;
        let boot_s = match job.spec.deadline_s {
            Some(_) => self.shortest_usual_boot().as_secs_f64(),
            None => 0.0,
        };
        Some(slack_s + boot_s)
    }

    /// Seconds until a job's last task should start, by its deadline or objectives, or by default
    /// for batch work; None for other work without a stated time.
    fn slack(&self, job: &Job, run_s: f64, wall_ms: u64) -> Option<f64> {
        let is_batch = job.spec.kind == JobKind::Batch;
        let default = || is_batch.then(|| default_slack(job, wall_ms));
        self.stated_slack(job, run_s, wall_ms).or_else(default)
    }

    /// Seconds until a job's last task should start by its deadline or the objectives of its class;
    /// None if they set no time. A time that has passed, or that can no longer be met, is ignored:
    /// it is no reason to hurry.
    pub(super) fn stated_slack(&self, job: &Job, run_s: f64, wall_ms: u64) -> Option<f64> {
        let age_s = job_age_s(job, wall_ms);
        [
            self.wait_objective_slack(job, age_s),
            self.finish_objective_slack(job, age_s, run_s),
            self.deadline_slack(job, age_s, run_s, wall_ms),
        ]
        .into_iter()
        .flatten()
        .min_by(f64::total_cmp)
    }

    /// Slack by the wait objective of the job's class; None if the objective has already been
    /// missed.
    fn wait_objective_slack(&self, job: &Job, age_s: f64) -> Option<f64> {
        let objective_s = self
            .policy
            .start_objectives
            .get(&job.spec.class)?
            .as_secs_f64();
        (objective_s > age_s).then_some(objective_s * OBJECTIVE_SHARE - age_s)
    }

    /// Slack by the finish objective of the job's class; None if the objective can no longer be
    /// met.
    fn finish_objective_slack(&self, job: &Job, age_s: f64, run_s: f64) -> Option<f64> {
        let objective_s = self.policy.finish_objectives.get(&job.spec.class)?;
        let objective_s = objective_s.as_secs_f64();
        (objective_s > age_s + job.spec.duration_s)
            .then_some(objective_s * OBJECTIVE_SHARE - age_s - run_s)
    }

    /// Slack by the next of the job's due times that can still be met, less the time to boot a
    /// machine.
    fn deadline_slack(&self, job: &Job, age_s: f64, run_s: f64, wall_ms: u64) -> Option<f64> {
        job.spec.deadline_s?;
        let run_time = Duration::from_secs_f64(job.spec.duration_s);
        let due_ms = self
            .scheduler
            .next_due(job, wall_ms + run_time.as_millis() as u64)?;
        let remaining_s = due_ms.saturating_sub(job.accepted_at_ms) as f64 / 1e3 - age_s;
        Some(remaining_s - run_s - self.shortest_usual_boot().as_secs_f64())
    }
}

/// Estimated run time of a task of a job, in seconds, with a margin.
pub(super) fn estimated_run_s(spec: &JobSpec) -> f64 {
    spec.duration_s * RUN_TIME_MARGIN_FACTOR
}

/// Whether any task of a job has been started.
pub(super) fn has_started_task(job: &Job) -> bool {
    !job.live().is_empty() || !job.done().is_empty()
}

/// Seconds until a job's waiting tasks should start if neither an objective nor a deadline states a
/// time.
pub(super) fn default_slack(job: &Job, wall_ms: u64) -> f64 {
    let latest_start = match job.spec.priority {
        _ if !has_started_task(job) => DEFAULT_FIRST_START,
        Priority::BestEffort => DEFAULT_BEST_EFFORT_START,
        _ => DEFAULT_START,
    };
    latest_start.as_secs_f64() * OBJECTIVE_SHARE - job_age_s(job, wall_ms)
}

/// Seconds since a job was accepted.
fn job_age_s(job: &Job, wall_ms: u64) -> f64 {
    wall_ms.saturating_sub(job.accepted_at_ms) as f64 / 1e3
}
