//! The slack of waiting tasks: how many seconds remain until they should start.
//!
//! It follows from the service-level objectives of the job's class, from the job's deadline, or
//! else from its age.

use std::time::Duration;

use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// Factor by which run times are often underestimated.
const ESTIMATE_MARGIN: f64 = 1.3;

/// Share of an objective's time that passes before machines are rented for it.
const OBJECTIVE_SHARE: f64 = 0.8;

/// Latest first start of a job for which nothing states one: users call a job that waits for
/// more than four minutes not served.
const UNTIMED_FIRST_START: Duration = Duration::from_secs(240);

/// Latest start of its other tasks once it has begun.
const UNTIMED_START: Duration = Duration::from_secs(600);

/// The same for best-effort work, which uses what capacity there is and rarely pays for more.
const UNTIMED_BEST_EFFORT_START: Duration = Duration::from_secs(3600);

impl AutoscalerView<'_> {
    /// Seconds until a job's waiting tasks should start on a machine rented now; None if
    /// nothing says so.
    pub(super) fn start_slack(&self, job: &Job, wall: u64) -> Option<f64> {
        let slack = self.slack(job, estimated_run_s(&job.spec), wall)?;
        let boot = match job.spec.deadline_s {
            Some(_) => self.fastest_boot().as_secs_f64(),
            None => 0.0,
        };
        Some(slack + boot)
    }

    /// Seconds until a job's last task should start; None if nothing says so.
    fn slack(&self, job: &Job, run: f64, wall: u64) -> Option<f64> {
        let batch = job.spec.kind == JobKind::Batch;
        let untimed = || batch.then(|| untimed_slack(job, wall));
        self.stated_slack(job, run, wall).or_else(untimed)
    }

    /// Seconds until a job's last task should start by its deadline or the objectives of its
    /// class; None if they do not say. A time that has passed, or cannot be met any more, is
    /// no reason to hurry.
    pub(super) fn stated_slack(&self, job: &Job, run: f64, wall: u64) -> Option<f64> {
        let age = age_s(job, wall);
        [
            self.wait_slack(job, age),
            self.finish_slack(job, age, run),
            self.deadline_slack(job, age, run, wall),
        ]
        .into_iter()
        .flatten()
        .min_by(f64::total_cmp)
    }

    /// The slack by the objective for the wait of the job's class.
    fn wait_slack(&self, job: &Job, age: f64) -> Option<f64> {
        let within = self.policy.wait_within.get(&job.spec.class)?.as_secs_f64();
        (within > age).then_some(within * OBJECTIVE_SHARE - age)
    }

    /// The slack by the objective for the end of the job's class.
    fn finish_slack(&self, job: &Job, age: f64, run: f64) -> Option<f64> {
        let within = self.policy.finish_within.get(&job.spec.class)?;
        let within = within.as_secs_f64();
        (within > age + job.spec.duration_s).then_some(within * OBJECTIVE_SHARE - age - run)
    }

    /// The slack by the job's next deadline that can still be met.
    fn deadline_slack(&self, job: &Job, age: f64, run: f64, wall: u64) -> Option<f64> {
        job.spec.deadline_s?;
        let soonest = Duration::from_secs_f64(job.spec.duration_s);
        let due = self
            .scheduler
            .next_due(job, wall + soonest.as_millis() as u64)?;
        let left = due.saturating_sub(job.at_ms) as f64 / 1e3 - age;
        Some(left - run - self.fastest_boot().as_secs_f64())
    }
}

/// Seconds for which a task of a job is expected to run, with a margin.
pub(super) fn estimated_run_s(spec: &JobSpec) -> f64 {
    spec.duration_s * ESTIMATE_MARGIN
}

/// Whether some task of a job has been started.
pub(super) fn has_begun(job: &Job) -> bool {
    !job.live().is_empty() || !job.done().is_empty()
}

/// Seconds until work should start for which nothing states when it should start or end.
pub(super) fn untimed_slack(job: &Job, wall: u64) -> f64 {
    let latest = match job.spec.priority {
        _ if !has_begun(job) => UNTIMED_FIRST_START,
        Priority::BestEffort => UNTIMED_BEST_EFFORT_START,
        _ => UNTIMED_START,
    };
    latest.as_secs_f64() * OBJECTIVE_SHARE - age_s(job, wall)
}

/// Seconds since a job was accepted.
fn age_s(job: &Job, wall: u64) -> f64 {
    wall.saturating_sub(job.at_ms) as f64 / 1e3
}
