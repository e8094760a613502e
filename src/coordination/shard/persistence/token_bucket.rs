//! Rate limit of writes to the key-value store.

use std::time::Instant;

/// A token bucket: one token for one mutation.
///
/// Spending may take the balance below zero; the debt is paid off by the next refills.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// Adds the tokens accrued since the last refill, up to a balance of `capacity`. The first
    /// refill sets the balance to the tokens of one second.
    pub(super) fn refill(&mut self, rate_per_s: f64, capacity: f64, now: Instant) {
        self.tokens = match self.refilled_at {
            Some(last) => {
                let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
                (self.tokens + elapsed_s * rate_per_s).min(capacity)
            }
            None => rate_per_s,
        };
        self.refilled_at = Some(now);
    }

    /// The balance; negative while a debt is paid off.
    pub(super) fn available(&self) -> f64 {
        self.tokens
    }

    /// Spends one token.
    pub(super) fn spend_one(&mut self) {
        self.tokens -= 1.0;
    }
}
