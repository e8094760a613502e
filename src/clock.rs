//! The clock that every decision takes its time from: the system's, or one that tests advance.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock: Send + Sync {
    /// The monotonic clock's time, for every interval and deadline.
    fn now(&self) -> Instant;

    /// The time of day, in milliseconds since 1970, for what is compared with other machines or
    /// kept across restarts. It may jump.
    fn wall_ms(&self) -> u64;
}

/// The operating system's clocks.
#[derive(Debug, Default, Clone, Copy)]
pub struct SteadyClock;

impl Clock for SteadyClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |passed| passed.as_millis() as u64)
    }
}

/// A clock that moves only by [`FakeClock::advance`].
#[derive(Debug)]
pub struct FakeClock(Mutex<Instant>);

impl FakeClock {
    /// A clock that shows an arbitrary time.
    pub fn new() -> Self {
        Self(Mutex::new(Instant::now()))
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.time() += by;
    }

    fn time(&self) -> MutexGuard<'_, Instant> {
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
        *self.time()
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}
