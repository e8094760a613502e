//! Forecast demand: capacity for jobs that cannot wait until a new machine has booted.

use std::time::Instant;

use super::arrivals::ClassArrivals;
use super::demand::{Demand, OfferFilter};
use super::view::AutoscalerView;
use crate::protocol::users::JobKind;

/// Arrivals are forecast for this multiple of the shortest usual boot time, plus
/// [`FORECAST_MARGIN_S`].
const FORECAST_BOOT_FACTOR: f64 = 1.5;
const FORECAST_MARGIN_S: f64 = 10.0;

/// When deciding about drains, arrivals of services are forecast for this multiple of the shortest
/// usual boot time.
const SERVICE_FORECAST_BOOT_FACTOR: f64 = 2.0;

/// Most tasks of one class that are forecast.
const MAX_FORECAST_TASKS: f64 = 1000.0;

impl AutoscalerView<'_> {
    /// One demand for each class whose wait objective is too short for a machine to boot: the tasks
    /// that are likely to arrive before a new machine is ready, or the configured headroom over the
    /// live tasks if that is more.
    pub(super) fn forecast_demands(&self, now: Instant) -> Vec<Demand> {
        let shortest_usual_boot = self.shortest_usual_boot();
        let horizon_s =
            shortest_usual_boot.as_secs_f64() * FORECAST_BOOT_FACTOR + FORECAST_MARGIN_S;
        let mut demands = Vec::new();
        for (class, arrivals) in &self.autoscaler.arrivals_by_class {
            let max_wait = self.policy.start_objectives.get(class).copied();
            if max_wait.is_none_or(|max_wait| max_wait > shortest_usual_boot) {
                continue;
            }
            let live_tasks = self.live_tasks_of_class(class) as f64;
            if live_tasks == 0.0 && !arrivals.has_recent_arrival(now) {
                continue;
            }
            let tasks =
                likely_tasks(arrivals, horizon_s, now).max(live_tasks * self.policy.headroom);
            let tasks = tasks.ceil().clamp(1.0, MAX_FORECAST_TASKS) as u32;
            let spec = arrivals.latest_spec().clone();
            demands.push(Demand::for_future_jobs(spec, tasks, OfferFilter::Any));
        }
        demands
    }

    /// Number of live tasks of all jobs of a class.
    fn live_tasks_of_class(&self, class: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| job.spec.class == class)
            .map(|job| job.live().len())
            .sum()
    }

    /// Cores that new services are likely to need before a new machine has booted; 0 if capacity is
    /// held for quota. No machine is drained if fewer cores would stay free on the machines with
    /// services.
    pub(in crate::coordination::shard) fn forecast_service_cores(&self, now: Instant) -> f64 {
        if self.policy.holds_capacity_for_quota() {
            return 0.0;
        }
        let horizon_s = self.shortest_usual_boot().as_secs_f64() * SERVICE_FORECAST_BOOT_FACTOR;
        let classes = self.autoscaler.arrivals_by_class.values();
        classes
            .filter(|class| class.latest_spec().kind == JobKind::Service)
            .map(|class| likely_tasks(class, horizon_s, now) * class.latest_spec().cores)
            .sum()
    }
}

/// Upper estimate of how many tasks of a class arrive within `horizon_s` seconds: the expected
/// number plus one standard deviation of a Poisson process.
fn likely_tasks(arrivals: &ClassArrivals, horizon_s: f64, now: Instant) -> f64 {
    let expected = arrivals.tasks_per_second(now) * horizon_s;
    expected + expected.sqrt()
}
