//! Admission limits: how many requests a controller has in flight at once, as shares of its sockets
//! and of the store's request rate. Accepted connections are limited where the controller listens.

use std::time::Duration;

use tokio::sync::Semaphore;

use crate::settings::Settings;
use crate::storage::rate_limiter::RateLimiter;

/// Largest number of command batches in flight to workers, in percent of the sockets. Further
/// batches wait for a permit.
const COMMAND_SOCKETS_PERCENT: usize = 7;
/// Number of command batches that may be in flight however few sockets there are.
const MIN_COMMANDS: usize = 128;
/// Largest number of probes in flight to workers, in percent of the sockets. Probes have a limit of
/// their own: workers that don't answer must not delay commands to the others.
const PROBE_SOCKETS_PERCENT: usize = 4;
/// Number of probes that may be in flight however few sockets there are, so that a few workers that
/// don't answer don't delay the probes of all others.
const MIN_PROBES: usize = 32;

/// Share of the store's write rate that one controller uses for users' requests. Requests above
/// this rate wait in the controller rather than in the store. The share is more than an equal share
/// among three controllers, since users are spread unevenly over them.
const USER_WRITE_SHARE: f64 = 0.5;
/// Longest wait of a user's request until it may write to the store. A request that would wait
/// longer is refused at once.
const MAX_USER_WRITE_WAIT: Duration = Duration::from_millis(2500);

/// Share of the store's request rate for the catch-up reads of the jobs by all controllers.
const CATCH_UP_SHARE: f64 = 0.2;
/// Shortest pause between two catch-up reads of one controller.
const MIN_CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);
/// Longest pause between two catch-up reads of one controller, in seconds.
const MAX_CATCH_UP_INTERVAL_S: f64 = 1.0;

/// The admission limits of one controller.
pub struct AdmissionLimits {
    /// Permits for batches of commands in flight to workers.
    pub commands: Semaphore,
    /// Permits for probes in flight to workers.
    pub probes: Semaphore,
    /// The rate of writes to the store for users.
    pub user_writes: RateLimiter,
}

impl AdmissionLimits {
    pub(super) fn new(settings: &Settings) -> Self {
        let sockets = settings.platform.settings.resources.max_connections;
        let write_rate = settings.platform.settings.kv.strictest().write_rps;
        Self {
            commands: Semaphore::new(MIN_COMMANDS.max(sockets * COMMAND_SOCKETS_PERCENT / 100)),
            probes: Semaphore::new(MIN_PROBES.max(sockets * PROBE_SOCKETS_PERCENT / 100)),
            user_writes: RateLimiter::new(write_rate * USER_WRITE_SHARE, MAX_USER_WRITE_WAIT),
        }
    }
}

/// The pause between two catch-up reads of the jobs by this controller, such that the reads of all
/// controllers together stay within their share of the store's request rate.
pub(super) fn catch_up_interval(settings: &Settings) -> Duration {
    let controllers = settings.platform.others.len() as f64 + 1.0;
    let rate = settings.platform.settings.kv.strictest().rps * CATCH_UP_SHARE / controllers;
    Duration::from_secs_f64((1.0 / rate).min(MAX_CATCH_UP_INTERVAL_S)).max(MIN_CATCH_UP_INTERVAL)
}
