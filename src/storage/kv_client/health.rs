//! Whether the key-value store has recently served this controller.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// When the store last served this controller, and when it last failed to serve it.
#[derive(Debug, Clone, Copy, Default)]
pub struct KvHealth {
    /// When the store last answered with a status other than 503; None if it never did.
    pub last_served: Option<Instant>,
    /// When the store last answered 503 or left a request unanswered; None if it never did.
    pub last_failed: Option<Instant>,
}

/// Tracks the store's health by the results of the client's requests.
#[derive(Debug, Default)]
pub(super) struct HealthMonitor(Mutex<KvHealth>);

impl HealthMonitor {
    pub(super) fn record(&self, is_served: bool, now: Instant) {
        let mut health = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if is_served {
            health.last_served = Some(now);
        } else {
            health.last_failed = Some(now);
        }
    }

    pub(super) fn get(&self) -> KvHealth {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
