//! Bounds on how far the monotonic clocks of two machines drift apart: how much time may
//! have passed on one while the other measured a given time.

use std::time::{Duration, Instant};

/// The largest relative difference in rate of two clocks: more than twice the bound that
/// the platform gives for each.
const MAX_DRIFT: f64 = 0.002;

/// The least time that may have passed on another machine while `time` passed here.
pub fn min_elapsed(time: Duration) -> Duration {
    time.mul_f64(1.0 - MAX_DRIFT)
}

/// The longest time that may have passed on another machine while `time` passed here.
pub fn max_elapsed(time: Duration) -> Duration {
    time.mul_f64(1.0 + MAX_DRIFT)
}

/// The latest moment at which another process can have started that has lasted for
/// `up_time` by its own clock.
pub fn latest_start(up_time: Duration, now: Instant) -> Instant {
    now.checked_sub(min_elapsed(up_time)).unwrap_or(now)
}
