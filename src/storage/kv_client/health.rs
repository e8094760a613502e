//! Whether the key-value store has served this controller lately.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// When the store last served this controller, and when it last failed to.
#[derive(Debug, Clone, Copy, Default)]
pub struct KvHealth {
    /// Its last answer other than 503; None if there was none.
    pub last_served: Option<Instant>,
    /// Its last 503, or the last request that it didn't answer; None if there was none.
    pub last_failed: Option<Instant>,
}

/// The health as the client's requests have found it.
#[derive(Debug, Default)]
pub(super) struct HealthMonitor(Mutex<KvHealth>);

impl HealthMonitor {
    pub(super) fn record(&self, served: bool, now: Instant) {
        let mut health = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if served {
            health.last_served = Some(now);
        } else {
            health.last_failed = Some(now);
        }
    }

    pub(super) fn get(&self) -> KvHealth {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
