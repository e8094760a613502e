//! The arrivals of each job class, from which the next ones are foreseen.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::users::JobSpec;

/// How long arrivals are remembered.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);

/// Number of equal slots of the window in which arrivals are counted.
const SLOTS: usize = 12;

/// Number of slots, those with the fewest arrivals, that the rate is taken from.
const RATE_SLOTS: usize = 10;

/// A job that was accepted.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    tasks: u32,
}

/// The recent arrivals of one job class.
#[derive(Debug)]
pub(super) struct ClassHistory {
    /// The specification of the newest job.
    spec: Arc<JobSpec>,
    /// The arrivals within the window, in the order in which they were recorded.
    arrivals: VecDeque<Arrival>,
}

impl ClassHistory {
    /// The history of a class of which no job is recorded yet.
    pub(super) fn new(spec: &JobSpec) -> Self {
        Self {
            spec: Arc::new(spec.clone()),
            arrivals: VecDeque::new(),
        }
    }

    /// The specification of the newest job of the class.
    pub(super) fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// Records a job that was accepted at a moment not long before `now`.
    pub(super) fn record(&mut self, spec: &JobSpec, at: Instant, now: Instant) {
        if *self.spec != *spec {
            self.spec = Arc::new(spec.clone());
        }
        let tasks = spec.tasks;
        self.arrivals.push_back(Arrival { at, tasks });
        let expired =
            |arrival: &Arrival| now.saturating_duration_since(arrival.at) > ARRIVAL_WINDOW;
        while self.arrivals.front().is_some_and(expired) {
            self.arrivals.pop_front();
        }
    }

    /// Whether a job of the class arrived within the window.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        let last = self.arrivals.back();
        last.is_some_and(|arrival| now.saturating_duration_since(arrival.at) <= ARRIVAL_WINDOW)
    }

    /// Expected arrivals in tasks per second. The slots with the most arrivals are left out:
    /// a burst that has ended says nothing about what comes next.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        let slot = ARRIVAL_WINDOW / SLOTS as u32;
        let mut counts = [0_u32; SLOTS];
        for arrival in &self.arrivals {
            let age = now.saturating_duration_since(arrival.at);
            let index = (age.as_secs_f64() / slot.as_secs_f64()) as usize;
            if let Some(count) = counts.get_mut(index) {
                *count += arrival.tasks;
            }
        }
        counts.sort_unstable();
        let kept: u32 = counts[..RATE_SLOTS].iter().sum();
        f64::from(kept) / (slot.as_secs_f64() * RATE_SLOTS as f64)
    }
}
