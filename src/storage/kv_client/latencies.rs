//! A histogram of the key-value store's latencies.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that the histogram records, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Percentiles of the store's latencies since the client was created.
#[derive(Debug, Clone, Copy)]
pub struct Latencies {
    /// How many requests, watches excepted, were answered.
    pub answered_requests: u64,
    /// The median latency.
    pub p50: Duration,
    /// The 99th percentile of the latencies.
    pub p99: Duration,
    /// The longest latency.
    pub max: Duration,
}

/// The latencies of answered requests, in microseconds.
pub(super) struct LatencyHistogram(Mutex<Histogram<u64>>);

impl LatencyHistogram {
    #[expect(
        clippy::expect_used,
        reason = "the library refuses only bounds and digits out of its range, and these are constants"
    )]
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("constants in the library's range");
        Self(Mutex::new(histogram))
    }

    fn lock(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record(&self, latency: Duration) {
        let micros = latency.as_micros().clamp(1, MAX_LATENCY_US.into());
        self.lock().saturating_record(micros as u64);
    }

    pub(super) fn percentiles(&self) -> Latencies {
        let histogram = self.lock();
        let percentile = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
        Latencies {
            answered_requests: histogram.len(),
            p50: percentile(0.5),
            p99: percentile(0.99),
            max: Duration::from_micros(histogram.max()),
        }
    }
}
