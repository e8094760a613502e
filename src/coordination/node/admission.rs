//! Admission limits: how much a controller has in flight at once, in shares of its sockets
//! and of the store's request rate. Accepted connections are limited where the controller
//! listens.

use std::time::Duration;

use tokio::sync::Semaphore;

use crate::settings::Settings;
use crate::storage::rate_limiter::RateLimiter;

/// Batches of commands in flight to workers, in percent of the sockets; more wait for a
/// permit.
const COMMAND_SHARE: usize = 7;
/// Batches of commands in flight that are allowed for at the least.
const MIN_COMMANDS: usize = 128;
/// Probes in flight to workers, in percent of the sockets. They have a limit of their
/// own: workers that don't answer must not delay commands to the others.
const PROBE_SHARE: usize = 4;
/// Probes in flight that are allowed for at the least, so that a few workers that don't
/// answer don't delay the probes of all others.
const MIN_PROBES: usize = 32;

/// Share of the store's write rate that one controller uses for users' requests. What
/// exceeds it waits here rather than in the store. It is more than an equal share among
/// three, since users are spread unevenly.
const USER_WRITE_SHARE: f64 = 0.5;
/// Longest wait for a turn to write; a user who would wait longer is refused at once.
const MAX_USER_WRITE_WAIT: Duration = Duration::from_millis(2500);

/// Share of the store's request rate for catch-up reads of the jobs by all controllers.
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
        let write_rate = settings.platform.settings.kv.planned().write_rps;
        Self {
            commands: Semaphore::new(MIN_COMMANDS.max(sockets * COMMAND_SHARE / 100)),
            probes: Semaphore::new(MIN_PROBES.max(sockets * PROBE_SHARE / 100)),
            user_writes: RateLimiter::new(write_rate * USER_WRITE_SHARE, MAX_USER_WRITE_WAIT),
        }
    }
}

/// The pause between two catch-up reads of the jobs that keeps those of all controllers
/// together within their share of the store's request rate.
pub(super) fn catch_up_interval(settings: &Settings) -> Duration {
    let controllers = settings.platform.others.len() as f64 + 1.0;
    let rate = settings.platform.settings.kv.planned().rps * CATCH_UP_SHARE / controllers;
    Duration::from_secs_f64((1.0 / rate).min(MAX_CATCH_UP_INTERVAL_S)).max(MIN_CATCH_UP_INTERVAL)
}
