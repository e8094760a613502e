//! Which waiting tasks cannot wait for the capacity that exists.
//!
//! Batch work that tolerates spot machines waits for low-cost capacity as long as it starts in
//! time there. What would start too late is urgent: on-demand machines may be rented for it.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::capacity::{Capacity, reachable_cores};
use super::demand::Queue;
use super::slack::{estimated_run_s, has_begun, untimed_slack};
use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::protocol::users::JobKind;

/// Work with less time than this to its latest start, in seconds, does not wait for spot
/// machines to boot.
const MIN_PATIENT_SLACK_S: f64 = 30.0;

/// Nor does work with less time than this share of its run time.
const MIN_PATIENT_RUN_SHARE: f64 = 0.5;

/// How much of a job's waiting work is urgent.
pub(super) struct Urgency {
    /// Waiting tasks that would start too late on the capacity within reach.
    pub urgent: u32,
    /// Some would start too late on low-cost capacity: the scheduler may place the job on
    /// machines that cost extra.
    pub accepts_extra_cost: bool,
}

impl AutoscalerView<'_> {
    /// How urgent a job's waiting tasks are; `queue` is that up to and with them.
    pub(super) fn urgency(
        &self,
        job: &Job,
        waiting: u32,
        queue: &Queue,
        capacities: &[Capacity],
        wall: u64,
    ) -> Urgency {
        let low_cost = self.low_cost_cores(job, capacities);
        let extra_cost = self.cores_in_reach(job, capacities, true);
        let queued = queue.core_seconds;
        Urgency {
            urgent: self.urgent_tasks(job, waiting, queued, low_cost + extra_cost, wall),
            accepts_extra_cost: self.urgent_tasks(job, waiting, queued, low_cost, wall) > 0,
        }
    }

    /// The cores on low-cost machines within a job's reach: now, or on average for its
    /// priority if that is more, since bursts of work with a higher priority pass.
    fn low_cost_cores(&self, job: &Job, capacities: &[Capacity]) -> f64 {
        let now = self.cores_in_reach(job, capacities, false);
        if job.spec.one_zone {
            // The average is that of all zones.
            return now;
        }
        now.max(self.autoscaler.average_reachable_cores(job.spec.priority))
    }

    /// The cores within a job's reach on machines that cost extra, or on the others. If it is
    /// bound to one zone: those in the zone where it has begun, or else in the zone with most.
    fn cores_in_reach(&self, job: &Job, capacities: &[Capacity], costs_extra: bool) -> f64 {
        let wanted = capacities
            .iter()
            .filter(|capacity| capacity.costs_extra == costs_extra);
        if !job.spec.one_zone {
            return reachable_cores(&job.spec, wanted);
        }
        let in_zone = |zone: &Arc<str>| {
            let there = wanted.clone().filter(|capacity| capacity.zone == *zone);
            reachable_cores(&job.spec, there)
        };
        match self.begun_zone(&job.id) {
            Some(zone) => in_zone(&zone),
            None => {
                let zones: BTreeSet<&Arc<str>> =
                    wanted.clone().map(|capacity| &capacity.zone).collect();
                zones.into_iter().map(in_zone).fold(0.0, f64::max)
            }
        }
    }

    /// How many of a job's waiting tasks would start too late if they had to wait for so many
    /// cores. `queued` is the work up to and with theirs, in core-seconds.
    fn urgent_tasks(&self, job: &Job, waiting: u32, queued: f64, cores: f64, wall: u64) -> u32 {
        let spec = &job.spec;
        if spec.kind != JobKind::Batch || spec.duration_s <= 0.0 || !spec.spot {
            return waiting;
        }
        let run = estimated_run_s(spec);
        let Some(slack) = self.stated_slack(job, run, wall) else {
            return urgent_untimed_tasks(job, waiting, wall);
        };
        if cores < spec.cores {
            // There is nothing to wait for yet: request spot machines, and others when time
            // runs short.
            let patient = slack > run * MIN_PATIENT_RUN_SHARE && slack > MIN_PATIENT_SLACK_S;
            return if patient { 0 } else { waiting };
        }
        let last_start = ((queued - cores * run) / cores).max(0.0);
        if slack <= 0.0 {
            waiting
        } else if last_start <= slack {
            0
        } else {
            let late = 1.0 - slack.max(0.0) / last_start;
            (f64::from(waiting) * late).ceil() as u32
        }
    }
}

/// The urgent tasks of a job for which nothing states when it should start. A temporary lack
/// of capacity is no reason to pay more for it, but its time does come: that of the first
/// start long before that of the rest.
fn urgent_untimed_tasks(job: &Job, waiting: u32, wall: u64) -> u32 {
    if untimed_slack(job, wall) > 0.0 {
        0
    } else if has_begun(job) {
        waiting
    } else {
        waiting.min(1)
    }
}
