//! Urgency of waiting tasks: which of them cannot wait for the capacity that exists.
//!
//! Batch tasks that accept spot machines wait for machines that cost nothing extra, as long as they
//! start on time there. Tasks that would start too late are urgent: on-demand machines may be
//! rented for them.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::capacity::{Capacity, obtainable_cores};
use super::demand::QueueTotals;
use super::slack::{default_slack, estimated_run_s, has_started_task};
use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::protocol::users::JobKind;

/// Tasks with less slack than this, in seconds, do not wait for spot machines to boot.
const MIN_DEFERRABLE_SLACK_S: f64 = 30.0;

/// Tasks with less slack than this share of their run time do not wait for spot machines either.
const MIN_DEFERRABLE_RUN_SHARE: f64 = 0.5;

/// How urgent a job's waiting tasks are.
pub(super) struct Urgency {
    /// Number of waiting tasks that would start too late on the capacity that the job can obtain.
    pub urgent_tasks: u32,
    /// Whether some tasks would start too late without the machines that cost extra, so that the
    /// scheduler may place the job on those too.
    pub accepts_extra_cost: bool,
}

impl AutoscalerView<'_> {
    /// How urgent a job's `waiting` tasks are. `queue` holds the totals of the queue up to and
    /// including these tasks.
    pub(super) fn urgency(
        &self,
        job: &Job,
        waiting: u32,
        queue: &QueueTotals,
        capacities: &[Capacity],
        wall_ms: u64,
    ) -> Urgency {
        let low_cost = self.low_cost_cores(job, capacities);
        let extra_cost = self.obtainable_cores_by_cost(job, capacities, true);
        let queued_core_s = queue.core_seconds;
        Urgency {
            urgent_tasks: self.count_urgent_tasks(
                job,
                waiting,
                queued_core_s,
                low_cost + extra_cost,
                wall_ms,
            ),
            accepts_extra_cost: self.count_urgent_tasks(
                job,
                waiting,
                queued_core_s,
                low_cost,
                wall_ms,
            ) > 0,
        }
    }

    /// Cores that a job can obtain on machines that cost nothing extra: now, or on average for its
    /// priority if that is more, because bursts of work of a higher priority pass.
    fn low_cost_cores(&self, job: &Job, capacities: &[Capacity]) -> f64 {
        let obtainable_now = self.obtainable_cores_by_cost(job, capacities, false);
        if job.spec.one_zone {
            // The average covers all zones, so it does not apply to a single-zone job.
            return obtainable_now;
        }
        obtainable_now.max(self.autoscaler.average_obtainable_cores(job.spec.priority))
    }

    /// Cores that a job can obtain on machines that cost extra, or on all others. For a single-zone
    /// job: the cores in the zone where it has tasks, or in the zone with the most such cores.
    fn obtainable_cores_by_cost(
        &self,
        job: &Job,
        capacities: &[Capacity],
        costs_extra: bool,
    ) -> f64 {
        let matching = capacities
            .iter()
            .filter(|capacity| capacity.costs_extra == costs_extra);
        if !job.spec.one_zone {
            return obtainable_cores(&job.spec, matching);
        }
        let in_zone = |zone: &Arc<str>| {
            let in_that_zone = matching.clone().filter(|capacity| capacity.zone == *zone);
            obtainable_cores(&job.spec, in_that_zone)
        };
        match self.zone_with_tasks(&job.id) {
            Some(zone) => in_zone(&zone),
            None => {
                let zones: BTreeSet<&Arc<str>> =
                    matching.clone().map(|capacity| &capacity.zone).collect();
                zones.into_iter().map(in_zone).fold(0.0, f64::max)
            }
        }
    }

    /// How many of a job's `waiting` tasks would start too late if they had to wait for `cores`
    /// cores. `queued_core_s` is the work up to and including these tasks, in core-seconds.
    fn count_urgent_tasks(
        &self,
        job: &Job,
        waiting: u32,
        queued_core_s: f64,
        cores: f64,
        wall_ms: u64,
    ) -> u32 {
        let spec = &job.spec;
        if spec.kind != JobKind::Batch || spec.duration_s <= 0.0 || !spec.spot {
            return waiting;
        }
        let run_s = estimated_run_s(spec);
        let Some(slack_s) = self.stated_slack(job, run_s, wall_ms) else {
            return urgent_tasks_without_stated_time(job, waiting, wall_ms);
        };
        if cores < spec.cores {
            // The job can obtain no capacity yet: wait for spot machines while there is enough
            // slack, and rent any machines when there is not.
            let is_deferrable =
                slack_s > run_s * MIN_DEFERRABLE_RUN_SHARE && slack_s > MIN_DEFERRABLE_SLACK_S;
            return if is_deferrable { 0 } else { waiting };
        }
        let last_start_s = ((queued_core_s - cores * run_s) / cores).max(0.0);
        if slack_s <= 0.0 {
            waiting
        } else if last_start_s <= slack_s {
            0
        } else {
            let late_share = 1.0 - slack_s.max(0.0) / last_start_s;
            (f64::from(waiting) * late_share).ceil() as u32
        }
    }
}

/// Number of urgent tasks of a job for which neither an objective nor a deadline states a time. A
/// temporary lack of capacity does not justify paying for more, but a latest start applies all the
/// same: that of the first task is long before that of the others.
fn urgent_tasks_without_stated_time(job: &Job, waiting: u32, wall_ms: u64) -> u32 {
    if default_slack(job, wall_ms) > 0.0 {
        0
    } else if has_started_task(job) {
        waiting
    } else {
        waiting.min(1)
    }
}
