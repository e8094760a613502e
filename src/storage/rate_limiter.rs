//! A limit on the rate of requests to the key-value store.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use thiserror::Error;

/// Time for which unused permits accumulate; they can be used in one burst.
const BURST: Duration = Duration::from_secs(1);
/// Lowest rate, in permits per second; lower rates are raised to it.
const MIN_RATE: f64 = 0.01;

/// The error of a caller that would have to wait longer for a permit than the limiter allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the next permit is due in {wait:?}, and the longest wait is {max_wait:?}")]
pub struct RateLimited {
    /// How long the caller would have had to wait.
    pub wait: Duration,
    /// The longest wait that the limiter allows.
    pub max_wait: Duration,
}

/// A token bucket: it grants permits at a steady rate in the order of the calls. Permits that were
/// not used within the last `BURST` can be used at once.
pub struct RateLimiter {
    /// Time between two permits.
    interval: Duration,
    /// Longest time for which a caller may have to wait.
    max_wait: Duration,
    /// When the next permit is due at the steady rate; None before the first call.
    next_due: Mutex<Option<Instant>>,
}

impl RateLimiter {
    /// A limiter that grants this many permits a second and makes no caller wait longer than
    /// `max_wait`.
    pub fn new(permits_per_second: f64, max_wait: Duration) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / permits_per_second.max(MIN_RATE)),
            max_wait,
            next_due: Mutex::new(None),
        }
    }

    /// Reserves the next permit, and returns how long the caller has to wait before it proceeds.
    pub fn reserve(&self, now: Instant) -> Result<Duration, RateLimited> {
        let mut next_due = self.next_due();
        let due = next_due.unwrap_or(now);
        let wait = due.saturating_duration_since(now);
        if wait > self.max_wait {
            return Err(RateLimited {
                wait,
                max_wait: self.max_wait,
            });
        }
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        *next_due = Some(due.max(earliest) + self.interval);
        Ok(wait)
    }

    /// How long a caller would have to wait for the next permit.
    pub fn delay(&self, now: Instant) -> Duration {
        let next_due = *self.next_due();
        next_due.map_or(Duration::ZERO, |due| due.saturating_duration_since(now))
    }

    fn next_due(&self) -> MutexGuard<'_, Option<Instant>> {
        self.next_due.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
