//! The demand for capacity: waiting tasks, foreseen arrivals and reserved quota.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Instant;

use super::capacity::Capacity;
use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::coordination::shard::scheduler::Usage;
use crate::protocol::JobId;
use crate::protocol::users::{JobKind, JobSpec};

/// Most waiting tasks of one job that a plan looks at.
const MAX_TASKS_PER_JOB: u32 = 5000;

/// Tasks that need capacity.
pub(super) struct Demand {
    pub spec: Arc<JobSpec>,
    pub count: u32,
    /// The job whose waiting tasks these are; None for tasks of jobs still to come.
    pub job: Option<JobId>,
    pub filter: OfferFilter,
    /// Seconds until they should start; None if it does not matter. A machine that boots
    /// later is worth less.
    pub slack_s: Option<f64>,
}

impl Demand {
    /// A demand that belongs to no waiting job and has no time to start.
    pub(super) fn in_advance(spec: Arc<JobSpec>, count: u32, filter: OfferFilter) -> Self {
        Self {
            spec,
            count,
            job: None,
            filter,
            slack_s: None,
        }
    }
}

/// Which machines are rented for a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OfferFilter {
    /// The cheapest.
    Any,
    /// On-demand machines if there are any, since they are not reclaimed.
    OnDemandFirst,
    /// Only spot machines: the tasks can wait for capacity.
    SpotOnly,
}

/// The queue up to and with some job, in the order in which jobs get capacity.
pub(super) struct Queue {
    usage: Usage,
    /// Core-seconds of batch work.
    pub core_seconds: f64,
}

/// All demands, in the order in which they get capacity.
#[derive(Default)]
pub(super) struct Demands {
    pub demands: Vec<Demand>,
    /// Jobs that cannot wait for low-cost machines alone.
    pub accepting_extra_cost: Vec<JobId>,
}

impl<'a> AutoscalerView<'a> {
    /// All demands at a wall-clock time in milliseconds.
    pub(super) fn demands(&self, capacities: &[Capacity], wall_ms: u64, now: Instant) -> Demands {
        let used = self.scheduler.usage();
        let mut demands = self.queued_demands(capacities, &used, wall_ms);
        demands.demands.extend(self.foreseen_demands(now));
        demands.demands.extend(self.quota_demands(&used, now));
        demands
    }

    /// The demands of the waiting tasks.
    fn queued_demands(&self, capacities: &[Capacity], used: &Usage, wall: u64) -> Demands {
        let mut queued = Demands::default();
        let mut queue = Queue {
            usage: used.clone(),
            core_seconds: 0.0,
        };
        for job in self.waiting_jobs(wall) {
            let Some(count) = self.enqueue(job, &mut queue) else {
                continue;
            };
            let urgency = self.urgency(job, count, &queue, capacities, wall);
            if urgency.accepts_extra_cost {
                queued.accepting_extra_cost.push(job.id.clone());
            }
            let patient = count - urgency.urgent;
            for (count, filter) in [
                (urgency.urgent, OfferFilter::Any),
                (patient, OfferFilter::SpotOnly),
            ] {
                if count > 0 {
                    queued.demands.push(Demand {
                        spec: job.spec.clone(),
                        count,
                        job: Some(job.id.clone()),
                        filter,
                        slack_s: self.start_slack(job, wall),
                    });
                }
            }
        }
        queued
    }

    /// The jobs with waiting tasks, in the order in which they get capacity.
    fn waiting_jobs(&self, wall: u64) -> Vec<&'a Job> {
        let waits = |job: &&Job| {
            let crash_loops = job.spec.is_gang() && job.is_crash_looping();
            job.waiting().min(job.retry_budget()) > 0 && !crash_loops
        };
        let mut jobs: Vec<&Job> = self.jobs.values().filter(waits).collect();
        jobs.sort_by_cached_key(|job| {
            (
                Reverse(job.spec.priority),
                self.scheduler.queue_key(job, wall),
            )
        });
        jobs
    }

    /// Adds a job's waiting tasks to the queue as far as its team's quota limit lets them run,
    /// and returns their number; None for a gang that could run only in part.
    fn enqueue(&self, job: &Job, queue: &mut Queue) -> Option<u32> {
        let waiting = job.waiting().min(job.retry_budget()).min(MAX_TASKS_PER_JOB);
        let mut count = 0;
        while count < waiting && self.scheduler.within_quota_limit(&queue.usage, &job.spec) {
            queue.usage.add(&job.spec, 1);
            count += 1;
        }
        if job.spec.is_gang() && count < waiting {
            return None;
        }
        if job.spec.kind == JobKind::Batch {
            queue.core_seconds += f64::from(count) * job.spec.cores * job.spec.duration_s;
        }
        Some(count)
    }
}
