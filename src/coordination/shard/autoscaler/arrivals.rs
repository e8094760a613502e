//! The history of arrivals of each class of jobs, from which the next arrivals are foreseen.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::users::JobSpec;

/// How long arrivals are remembered to foresee the next ones.
const ARRIVALS: Duration = Duration::from_secs(120);

/// What is known of a class of jobs.
#[derive(Debug)]
pub(super) struct ClassHistory {
    pub(super) spec: Arc<JobSpec>,
    arrivals: VecDeque<(Instant, u32)>,
}

impl ClassHistory {
    pub(super) fn new(spec: &JobSpec) -> Self {
        Self {
            spec: Arc::new(spec.clone()),
            arrivals: VecDeque::new(),
        }
    }

    /// Remembers a job that was accepted at a moment not long before `now`.
    pub(super) fn note_arrival(&mut self, spec: &JobSpec, at: Instant, now: Instant) {
        if *self.spec != *spec {
            self.spec = Arc::new(spec.clone());
        }
        self.arrivals.push_back((at, spec.tasks));
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) > ARRIVALS)
        {
            self.arrivals.pop_front();
        }
    }

    /// Whether some job of the class has come lately.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        let last = self.arrivals.back();
        last.is_some_and(|(at, _)| now.saturating_duration_since(*at) <= ARRIVALS)
    }

    /// Tasks per second to reckon with. Arrivals are counted in slots, and the
    /// fullest ones left out: a burst that is over says nothing of what comes.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        const SLOTS: usize = 12;
        const KEPT: usize = 10;
        let slot = ARRIVALS / SLOTS as u32;
        let mut counts = [0_u32; SLOTS];
        for (at, tasks) in &self.arrivals {
            let age = now.saturating_duration_since(*at);
            let index = (age.as_secs_f64() / slot.as_secs_f64()) as usize;
            if let Some(count) = counts.get_mut(index) {
                *count += tasks;
            }
        }
        counts.sort_unstable();
        let kept: u32 = counts[..KEPT].iter().sum();
        f64::from(kept) / (slot.as_secs_f64() * KEPT as f64)
    }
}
