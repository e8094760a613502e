//! A worker's lease, as far as its leader can bound it.

use std::time::{Duration, Instant};

/// Bound on the lease that a worker holds.
///
/// Invariant: the worker's own lease has surely expired after `expires_at`, which
/// therefore never goes back while an answer that extends it may be on its way.
#[derive(Debug)]
pub struct WorkerLease {
    expires_at: Instant,
    /// When a heartbeat that the worker sent by itself last renewed the lease.
    renewed_at: Option<Instant>,
    /// Since when the machine is known to this leader.
    known_since: Instant,
}

impl WorkerLease {
    /// The lease of a worker that is known from `now` on.
    pub fn new(now: Instant, expires_at: Instant) -> Self {
        Self {
            expires_at,
            renewed_at: None,
            known_since: now,
        }
    }

    /// After this moment the worker's lease has surely expired.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// The worker may hold its lease until this moment.
    pub fn extend_to(&mut self, expires_at: Instant) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// The answer to a heartbeat renews the lease, until `expires_at` at the latest.
    pub fn renew(&mut self, now: Instant, expires_at: Instant) {
        self.renewed_at = Some(now);
        self.extend_to(expires_at);
    }

    /// Time since the lease was last renewed, or since the machine became known.
    pub fn since_renewal(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.renewed_at.unwrap_or(self.known_since))
    }
}
