//! Steady clocks drift apart: how long a time on one may last by another.

use std::time::{Duration, Instant};

/// Drift to reckon with, both ways together: twice what the platform bounds, and more.
const DRIFT: f64 = 0.002;

/// The least time that may have passed by another's clock when this one says so much.
pub fn min_elapsed(time: Duration) -> Duration {
    time.mul_f64(1.0 - DRIFT)
}

/// The longest time that may have passed by another's clock when this one says so much.
pub fn max_elapsed(time: Duration) -> Duration {
    time.mul_f64(1.0 + DRIFT)
}

/// The latest moment at which a process can have begun that says, by its own clock,
/// that it has lasted so long.
pub fn latest_start(up_time: Duration, now: Instant) -> Instant {
    now.checked_sub(min_elapsed(up_time)).unwrap_or(now)
}
