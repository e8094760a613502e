//! Arrival history of each job class, from which the rate of future arrivals is estimated.
//!
//! The shard records each accepted job in [`Autoscaler::record_arrival`](super::Autoscaler); the
//! `forecast` module reads the rates.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::users::JobSpec;

/// How long an arrival counts after the job was accepted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);

/// Number of time slots of equal length into which the window is divided.
const SLOT_COUNT: usize = 12;

/// Number of slots, those with the fewest arrivals, from which the arrival rate is computed.
const RATE_SLOT_COUNT: usize = 10;

/// An accepted job and its number of tasks.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    accepted_at: Instant,
    tasks: u32,
}

/// The recent arrivals of one job class and the specification of its newest job.
#[derive(Debug)]
pub(super) struct ClassArrivals {
    /// The specification of the newest job.
    latest_spec: Arc<JobSpec>,
    /// Arrivals within the window, in the order in which they were recorded.
    arrivals: VecDeque<Arrival>,
}

impl ClassArrivals {
    /// Creates the history of a class before its first job is recorded.
    pub(super) fn new(spec: &JobSpec) -> Self {
        Self {
            latest_spec: Arc::new(spec.clone()),
            arrivals: VecDeque::new(),
        }
    }

    /// The specification of the newest job of the class.
    pub(super) fn latest_spec(&self) -> &Arc<JobSpec> {
        &self.latest_spec
    }

    /// Records a job accepted at `accepted_at`, shortly before `now`, and drops arrivals that are
    /// older than the window.
    pub(super) fn record(&mut self, spec: &JobSpec, accepted_at: Instant, now: Instant) {
        if *self.latest_spec != *spec {
            self.latest_spec = Arc::new(spec.clone());
        }
        let tasks = spec.tasks;
        self.arrivals.push_back(Arrival { accepted_at, tasks });
        let expired =
            |arrival: &Arrival| now.saturating_duration_since(arrival.accepted_at) > ARRIVAL_WINDOW;
        while self.arrivals.front().is_some_and(expired) {
            self.arrivals.pop_front();
        }
    }

    /// Whether the newest job of the class was accepted within the window.
    pub(super) fn has_recent_arrival(&self, now: Instant) -> bool {
        let newest = self.arrivals.back();
        newest.is_some_and(|arrival| {
            now.saturating_duration_since(arrival.accepted_at) <= ARRIVAL_WINDOW
        })
    }

    /// Expected arrivals in tasks per second. The slots with the most arrivals are left out,
    /// because a burst that has ended does not predict what arrives next.
    pub(super) fn tasks_per_second(&self, now: Instant) -> f64 {
        let slot_length = ARRIVAL_WINDOW / SLOT_COUNT as u32;
        let mut counts = [0_u32; SLOT_COUNT];
        for arrival in &self.arrivals {
            let age = now.saturating_duration_since(arrival.accepted_at);
            let index = (age.as_secs_f64() / slot_length.as_secs_f64()) as usize;
            if let Some(count) = counts.get_mut(index) {
                *count += arrival.tasks;
            }
        }
        counts.sort_unstable();
        let kept_tasks: u32 = counts[..RATE_SLOT_COUNT].iter().sum();
        f64::from(kept_tasks) / (slot_length.as_secs_f64() * RATE_SLOT_COUNT as f64)
    }
}
