//! Demand for capacity: waiting tasks, forecast arrivals and reserved quota.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Instant;

use super::capacity::Capacity;
use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::coordination::shard::scheduler::Usage;
use crate::protocol::JobId;
use crate::protocol::users::{JobKind, JobSpec};

/// Most waiting tasks of one job that a plan takes into account.
const MAX_WAITING_TASKS_PER_JOB: u32 = 5000;

/// A number of tasks of the same specification that need capacity.
pub(super) struct Demand {
    pub spec: Arc<JobSpec>,
    pub tasks: u32,
    /// The job whose waiting tasks these are; None for tasks of future jobs.
    pub job: Option<JobId>,
    pub filter: OfferFilter,
    /// Seconds until the tasks should start; None if the start time does not matter. An offer whose
    /// machine would be ready later than that is ranked as more expensive.
    pub slack_s: Option<f64>,
}

impl Demand {
    /// Creates a demand for tasks of jobs that may arrive, without a start time.
    pub(super) fn for_future_jobs(spec: Arc<JobSpec>, tasks: u32, filter: OfferFilter) -> Self {
        Self {
            spec,
            tasks,
            job: None,
            filter,
            slack_s: None,
        }
    }
}

/// Which machines may be rented for a demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OfferFilter {
    /// The cheapest machines, on-demand or spot.
    Any,
    /// On-demand machines if any are available, because the cloud does not reclaim them.
    OnDemandFirst,
    /// Only spot machines, because the tasks can wait for capacity.
    SpotOnly,
}

/// Running totals of the job queue, up to and including the job added last.
pub(super) struct QueueTotals {
    usage: Usage,
    /// Core-seconds of the batch tasks in the queue.
    pub core_seconds: f64,
}

/// All demands of a plan, and the jobs that may use more expensive machines.
#[derive(Default)]
pub(super) struct Demands {
    pub in_order: Vec<Demand>,
    /// Jobs that would start too late on machines that cost nothing extra.
    pub jobs_accepting_extra_cost: Vec<JobId>,
}

impl<'a> AutoscalerView<'a> {
    /// All demands at the wall-clock time `wall_ms`, in the order in which they get capacity:
    /// waiting tasks, then forecast arrivals, then reserved quota.
    pub(super) fn demands(&self, capacities: &[Capacity], wall_ms: u64, now: Instant) -> Demands {
        let usage = self.scheduler.usage();
        let mut demands = self.queued_demands(capacities, &usage, wall_ms);
        demands.in_order.extend(self.forecast_demands(now));
        demands.in_order.extend(self.quota_demands(&usage, now));
        demands
    }

    /// The demands of waiting tasks. Each job yields up to two: one for its urgent tasks, on any
    /// machine, and one for the others, on spot machines only.
    fn queued_demands(&self, capacities: &[Capacity], usage: &Usage, wall_ms: u64) -> Demands {
        let mut queued = Demands::default();
        let mut queue = QueueTotals {
            usage: usage.clone(),
            core_seconds: 0.0,
        };
        for job in self.waiting_jobs(wall_ms) {
            let Some(tasks) = self.enqueue(job, &mut queue) else {
                continue;
            };
            let urgency = self.urgency(job, tasks, &queue, capacities, wall_ms);
            if urgency.accepts_extra_cost {
                queued.jobs_accepting_extra_cost.push(job.id.clone());
            }
            let deferrable = tasks - urgency.urgent_tasks;
            for (tasks, filter) in [
                (urgency.urgent_tasks, OfferFilter::Any),
                (deferrable, OfferFilter::SpotOnly),
            ] {
                if tasks > 0 {
                    queued.in_order.push(Demand {
                        spec: job.spec.clone(),
                        tasks,
                        job: Some(job.id.clone()),
                        filter,
                        slack_s: self.start_slack(job, wall_ms),
                    });
                }
            }
        }
        queued
    }

    /// The jobs with waiting tasks that may be attempted, in the order in which they get capacity.
    /// Gangs that crash repeatedly are left out.
    fn waiting_jobs(&self, wall_ms: u64) -> Vec<&'a Job> {
        let needs_capacity = |job: &&Job| {
            let is_crash_looping_gang = job.spec.is_gang() && job.is_crash_looping();
            job.waiting().min(job.retry_budget()) > 0 && !is_crash_looping_gang
        };
        let mut jobs: Vec<&Job> = self.jobs.values().filter(needs_capacity).collect();
        jobs.sort_by_cached_key(|job| {
            (
                Reverse(job.spec.priority),
                self.scheduler.queue_key(job, wall_ms),
            )
        });
        jobs
    }

    /// Adds a job's waiting tasks to the queue totals, as far as its team's quota limit allows, and
    /// returns how many were added; None for a gang of which the limit allows only part.
    fn enqueue(&self, job: &Job, queue: &mut QueueTotals) -> Option<u32> {
        let waiting = job
            .waiting()
            .min(job.retry_budget())
            .min(MAX_WAITING_TASKS_PER_JOB);
        let mut tasks = 0;
        while tasks < waiting && self.scheduler.within_quota_limit(&queue.usage, &job.spec) {
            queue.usage.add(&job.spec, 1);
            tasks += 1;
        }
        if job.spec.is_gang() && tasks < waiting {
            return None;
        }
        if job.spec.kind == JobKind::Batch {
            queue.core_seconds += f64::from(tasks) * job.spec.cores * job.spec.duration_s;
        }
        Some(tasks)
    }
}
