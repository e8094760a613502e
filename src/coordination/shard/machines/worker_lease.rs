//! The leader's upper bound on the expiry of a worker's lease.

use std::time::{Duration, Instant};

/// Upper bound on the time until which a worker holds its lease.
///
/// Invariant: after `expires_at` the worker's own lease has certainly expired. `expires_at`
/// therefore never decreases: an answer that extends the lease may still be on its way to the
/// worker.
#[derive(Debug)]
pub struct WorkerLease {
    expires_at: Instant,
    /// When the last periodic heartbeat arrived, whether or not its answer renewed the lease.
    last_periodic_heartbeat: Option<Instant>,
    /// When this leader first learned of the machine, or, if the cloud reported it to this leader
    /// first, when it was rented.
    known_since: Instant,
}

impl WorkerLease {
    /// Creates the bound for a worker that counts as known since `now`.
    pub fn new(now: Instant, expires_at: Instant) -> Self {
        Self {
            expires_at,
            last_periodic_heartbeat: None,
            known_since: now,
        }
    }

    /// The moment after which the worker's lease has certainly expired.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Raises the bound to `expires_at` if it is lower.
    pub fn extend_to(&mut self, expires_at: Instant) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Records that a periodic heartbeat arrives.
    pub fn note_periodic_heartbeat(&mut self, now: Instant) {
        self.last_periodic_heartbeat = Some(now);
    }

    /// Time since the last periodic heartbeat, or, if none has arrived, since the machine counts
    /// as known.
    pub fn since_periodic_heartbeat(&self, now: Instant) -> Duration {
        let since = self.last_periodic_heartbeat.unwrap_or(self.known_since);
        now.saturating_duration_since(since)
    }
}
