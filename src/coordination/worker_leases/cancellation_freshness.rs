//! Cancellation freshness: up to when a controller knows of every cancellation that any
//! controller confirmed to a user.
//!
//! An answer to a worker's heartbeat lets the worker's tasks run for a whole lease, and so may the
//! launch of a task. So a controller may answer or launch only if it knows of all cancellations
//! that may have been confirmed longer ago than `cancel_s` less that lease: the
//! [`staleness_bound`]. It knows of all
//! cancellations confirmed before it sent its last successful catch-up read of the jobs, and of all
//! that another controller confirmed before it sent that controller a query which was answered. If
//! the other controller's process started after the moment up to which that controller's
//! cancellations are known, the answer doesn't count: an earlier process of the other controller
//! may have confirmed cancellations that the new process doesn't know of.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::advance_delegation;
use crate::settings::Settings;

/// The least staleness bound. It applies if the settings leave cancelled tasks hardly more time to
/// end than a worker's lease lasts: without any renewals, all tasks would end.
const MIN_STALENESS_BOUND: Duration = Duration::from_secs(3);

/// The staleness bound: how long tasks may be started and workers' leases renewed after the moment
/// up to which all cancellations are known.
pub fn staleness_bound(settings: &Settings) -> Duration {
    advance_delegation::cancel_time_beyond_lease(settings).max(MIN_STALENESS_BOUND)
}

/// What one controller knows of the cancellations that all controllers confirmed.
#[derive(Debug, Default)]
pub struct CancellationFreshness {
    /// When the last successful catch-up read of the jobs was sent.
    last_catch_up: Option<Instant>,
    /// By controller: the moment up to which all cancellations that it confirmed are known from its
    /// own answers.
    confirmed_up_to: HashMap<String, Instant>,
}

impl CancellationFreshness {
    /// Records that a catch-up read of the jobs sent at `sent` succeeded and was applied.
    pub fn record_catch_up(&mut self, sent: Instant) {
        self.last_catch_up = self.last_catch_up.max(Some(sent));
    }

    /// When the last successful catch-up read was sent.
    pub fn last_catch_up(&self) -> Option<Instant> {
        self.last_catch_up
    }

    /// The moment up to which all cancellations that one controller confirmed are known.
    fn known_up_to_by(&self, node_id: &str) -> Option<Instant> {
        let confirmed_up_to = self.confirmed_up_to.get(node_id).copied();
        self.last_catch_up.max(confirmed_up_to)
    }

    /// Records a controller's answer to a query, sent at `sent`, for all cancellations that it has
    /// confirmed since the last catch-up read; they have been applied. The controller's process
    /// started no later than `started`. Returns false if the answer doesn't count.
    pub fn record_peer_answer(&mut self, node_id: &str, sent: Instant, started: Instant) -> bool {
        let known = self.known_up_to_by(node_id);
        let counts = known.is_some_and(|known| started < known);
        if counts {
            let up_to = self.confirmed_up_to.entry(node_id.to_owned());
            let up_to = up_to.or_insert(sent);
            *up_to = (*up_to).max(sent);
        }
        counts
    }

    /// The moment up to which all cancellations that these controllers confirmed are known: `now`
    /// if `others` is empty, since a controller knows the cancellations that it confirmed itself.
    /// `None` before the first catch-up read.
    pub fn known_up_to<'a>(
        &self,
        others: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Option<Instant> {
        self.last_catch_up?;
        others
            .map(|node_id| self.known_up_to_by(node_id))
            .min()
            .unwrap_or(Some(now))
    }
}
