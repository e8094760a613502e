//! Foreseen demand: capacity for jobs that could not wait until a machine has booted.

use std::time::Instant;

use super::arrivals::ClassHistory;
use super::demand::{Demand, OfferFilter};
use super::view::AutoscalerView;
use crate::protocol::users::JobKind;

/// Arrivals are foreseen for this multiple of the fastest boot, plus a margin in seconds.
const FORESEEN_BOOTS: f64 = 1.5;
const FORESEEN_MARGIN_S: f64 = 10.0;

/// The same multiple where services are foreseen before a machine is drained.
const SERVICE_BOOTS: f64 = 2.0;

/// Most tasks that are foreseen of one class.
const MAX_FORESEEN: f64 = 1000.0;

impl AutoscalerView<'_> {
    /// The demands of arrivals that are likely before a new machine has booted, for the
    /// classes whose objective leaves no time for a boot.
    pub(super) fn foreseen_demands(&self, now: Instant) -> Vec<Demand> {
        let fastest_boot = self.fastest_boot();
        let horizon_s = fastest_boot.as_secs_f64() * FORESEEN_BOOTS + FORESEEN_MARGIN_S;
        let mut demands = Vec::new();
        for (class, history) in &self.autoscaler.classes {
            let within = self.policy.wait_within.get(class).copied();
            if within.is_none_or(|within| within > fastest_boot) {
                continue;
            }
            let running = self.running_of_class(class) as f64;
            if running == 0.0 && !history.is_recent(now) {
                continue;
            }
            let count = expected_tasks(history, horizon_s, now).max(running * self.policy.headroom);
            let count = count.ceil().clamp(1.0, MAX_FORESEEN) as u32;
            let spec = history.spec().clone();
            demands.push(Demand::in_advance(spec, count, OfferFilter::Any));
        }
        demands
    }

    /// Live tasks of all jobs of a class.
    fn running_of_class(&self, class: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| job.spec.class == class)
            .map(|job| job.live().len())
            .sum()
    }

    /// Cores that services are likely to need before a new machine has booted: with less free
    /// capacity among services than that, no machine is drained.
    pub(in crate::coordination::shard) fn foreseen_service_cores(&self, now: Instant) -> f64 {
        if self.policy.holds_capacity() {
            return 0.0;
        }
        let horizon_s = self.fastest_boot().as_secs_f64() * SERVICE_BOOTS;
        let classes = self.autoscaler.classes.values();
        classes
            .filter(|class| class.spec().kind == JobKind::Service)
            .map(|class| expected_tasks(class, horizon_s, now) * class.spec().cores)
            .sum()
    }
}

/// Tasks of a class that are likely to arrive within some seconds: their expected number plus
/// one standard deviation of a Poisson process.
fn expected_tasks(history: &ClassHistory, horizon_s: f64, now: Instant) -> f64 {
    let expected = history.rate(now) * horizon_s;
    expected + expected.sqrt()
}
