//! Time as the decision code sees it: a steady clock that tests can fake.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of steady time.
pub trait Clock: Send + Sync {
    /// The present moment of the steady clock.
    fn now(&self) -> Instant;

    /// The time of day, in milliseconds since 1970.
    fn wall_ms(&self) -> u64;
}

/// The process's own steady clock.
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

/// A clock that moves only when told to.
#[derive(Debug)]
pub struct FakeClock(Mutex<Instant>);

impl FakeClock {
    /// A clock standing at an arbitrary moment.
    pub fn new() -> Self {
        Self(Mutex::new(Instant::now()))
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.0.lock().expect("clock lock") += by;
    }
}

impl Default for FakeClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Instant {
        *self.0.lock().expect("clock lock")
    }

    fn wall_ms(&self) -> u64 {
        0
    }
}
