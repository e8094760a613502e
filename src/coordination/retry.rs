//! Backoff between attempts of an operation that is retried.

use crate::storage::kv_client::backoff;

/// Counts the consecutive failures of an operation and waits longer after each, with jitter and
/// up to a bound (see [`backoff`]).
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    /// Number of failures added to the actual ones when a wait is computed.
    extra_failures: u32,
}

impl Backoff {
    /// Creates a backoff whose waits are as long as if this many more failures had occurred.
    pub(super) fn with_extra_failures(extra_failures: u32) -> Self {
        Self {
            failures: 0,
            extra_failures,
        }
    }

    /// Records a failure and waits until the next attempt may be made.
    pub(super) async fn wait(&mut self) {
        self.failures += 1;
        tokio::time::sleep(backoff(self.failures + self.extra_failures)).await;
    }

    /// Records a success, so that the next failure counts as the first.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}
