//! Turns at the key-value store: a steady rate with bursts of a second's worth.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How far ahead of the steady rate a burst may run.
const BURST: Duration = Duration::from_secs(1);

/// Gives out turns in order, each with the time to wait for it.
pub struct Turns {
    /// Between two turns.
    pause: Duration,
    /// Longest wait that is given out.
    longest: Duration,
    /// When the next turn is due by the steady rate.
    next: Mutex<Option<Instant>>,
}

impl Turns {
    /// So many turns a second, and at most so long a wait.
    pub fn new(rate: f64, longest: Duration) -> Self {
        let pause = Duration::from_secs_f64(1.0 / rate.max(0.01));
        Self {
            pause,
            longest,
            next: Mutex::new(None),
        }
    }

    /// Takes the next turn: how long to wait for it. None if that is too long.
    pub fn take(&self, now: Instant) -> Option<Duration> {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let due = next.unwrap_or(now);
        let wait = due.saturating_duration_since(now);
        if wait > self.longest {
            return None;
        }
        // Turns that nobody took are kept for a burst.
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        *next = Some(due.max(earliest) + self.pause);
        Some(wait)
    }

    /// How long the next turn would have to wait.
    pub fn queue(&self, now: Instant) -> Duration {
        let next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        next.map_or(Duration::ZERO, |due| due.saturating_duration_since(now))
    }
}

#[cfg(test)]
mod tests;
