//! Pauses between the attempts of a request.

use std::time::Duration;

use rand::Rng;

/// Longest pause after the first attempt, in milliseconds; it doubles with each further one.
const FIRST_BACKOFF_MS: u64 = 50;
/// How many times the pause doubles at the most.
const MAX_RETRY_DOUBLINGS: u32 = 5;

/// The pause before the next attempt: exponential, with jitter, so that controllers which failed
/// together don't try again together.
pub fn backoff(attempt: u32) -> Duration {
    let longest = FIRST_BACKOFF_MS << attempt.min(MAX_RETRY_DOUBLINGS);
    Duration::from_millis(rand::rng().random_range(longest / 2..=longest))
}
