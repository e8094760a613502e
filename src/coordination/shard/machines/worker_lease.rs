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
    /// When the answer to a periodic heartbeat last renewed the lease.
    renewed_at: Option<Instant>,
    /// When this leader first learned of the machine, or, if the cloud reported it to this leader
    /// first, when it was rented.
    known_since: Instant,
}

impl WorkerLease {
    /// Creates the bound for a worker that counts as known since `now`.
    pub fn new(now: Instant, expires_at: Instant) -> Self {
        Self {
            expires_at,
            renewed_at: None,
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

    /// Records that the answer to a heartbeat renews the lease, until `expires_at` at the latest.
    pub fn renew(&mut self, now: Instant, expires_at: Instant) {
        self.renewed_at = Some(now);
        self.extend_to(expires_at);
    }

    /// Time since the answer to a periodic heartbeat last renewed the lease, or, if none has,
    /// since the machine counts as known.
    pub fn since_renewal(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.renewed_at.unwrap_or(self.known_since))
    }
}
