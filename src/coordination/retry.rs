//! Waiting between attempts at one request.

use crate::storage::kv_client::backoff;

/// Counts the consecutive failures of one operation and waits longer after each, with
/// jitter and a bound (see [`backoff`]).
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    /// Failures that each wait is reckoned to have had before.
    offset: u32,
}

impl Backoff {
    /// Waits as if so many failures had gone before the first.
    pub(super) fn starting_after(offset: u32) -> Self {
        Self {
            failures: 0,
            offset,
        }
    }

    /// Notes a failure and waits until the next attempt may be made.
    pub(super) async fn wait(&mut self) {
        self.failures += 1;
        tokio::time::sleep(backoff(self.failures + self.offset)).await;
    }

    /// Notes a success: the next failure counts as the first.
    pub(super) fn reset(&mut self) {
        self.failures = 0;
    }
}
