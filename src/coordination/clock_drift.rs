//! Bounds on the drift between the monotonic clocks of two machines: the least and the most
//! time that may have passed on one machine while the other measured a given time.
//!
//! Leases, votes and delegations use these bounds to compare durations that were measured on
//! different machines.

use std::time::{Duration, Instant};

/// The largest relative difference in rate between two clocks: more than twice the bound that
/// the platform guarantees for each clock.
const MAX_DRIFT: f64 = 0.002;

/// The least time that may have passed on another machine while `time` passed on this one.
pub fn min_elapsed(time: Duration) -> Duration {
    time.mul_f64(1.0 - MAX_DRIFT)
}

/// The most time that may have passed on another machine while `time` passed on this one.
pub fn max_elapsed(time: Duration) -> Duration {
    time.mul_f64(1.0 + MAX_DRIFT)
}

/// The latest time, by this machine's clock, at which a process on another machine can have
/// started if that process has been up for `up_time` by its own clock.
pub fn latest_start(up_time: Duration, now: Instant) -> Instant {
    now.checked_sub(min_elapsed(up_time)).unwrap_or(now)
}
