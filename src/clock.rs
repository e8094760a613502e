//! The clock that all decisions use: the operating system's, or a fake one that tests advance.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock: Send + Sync {
    /// The current time of the monotonic clock, used for all intervals and deadlines.
    fn now(&self) -> Instant;

    /// The wall-clock time in milliseconds since 1970, used only for times that are compared with
    /// those of other machines or kept across restarts. It may jump in either direction.
    fn wall_ms(&self) -> u64;
}

/// The operating system's clocks.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
    }
}

/// A clock for tests. Its monotonic time moves only when [`FakeClock::advance`] is called, and its
/// wall-clock time is always 0.
#[derive(Debug)]
pub struct FakeClock(Mutex<Instant>);

impl FakeClock {
    /// Creates a clock that starts at an arbitrary time.
    pub fn new() -> Self {
        Self(Mutex::new(Instant::now()))
    }

    /// Moves the monotonic time forward.
    pub fn advance(&self, by: Duration) {
        *self.lock() += by;
    }

    fn lock(&self) -> MutexGuard<'_, Instant> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for FakeClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Instant {
        *self.lock()
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}
