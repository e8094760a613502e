//! Backoff between the attempts of a request.

use std::time::Duration;

use rand::Rng;

/// Longest pause after the first attempt, in milliseconds; it doubles with each further one.
const FIRST_BACKOFF_MS: u64 = 50;
/// Most times that the pause doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The pause after an attempt, counted from 0: exponential, with jitter, so that controllers that
/// failed together don't retry together.
pub fn backoff(attempt: u32) -> Duration {
    let longest_ms = FIRST_BACKOFF_MS << attempt.min(MAX_BACKOFF_DOUBLINGS);
    Duration::from_millis(rand::rng().random_range(longest_ms / 2..=longest_ms))
}
