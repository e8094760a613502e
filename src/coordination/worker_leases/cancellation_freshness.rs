//! Cancellation freshness: up to when a controller knows of every cancellation that any
//! controller confirmed to a user.
//!
//! An answer to a heartbeat lets a worker's tasks live on for its whole lease. So no
//! controller may give one unless it knows of all cancellations that may have been
//! confirmed longer ago than `cancel_s` less that lease: the staleness [`bound`]. Two
//! things count as knowledge: a catch-up read of the jobs, from when it was sent; and what
//! every other controller says that it confirmed, from when it was asked. A controller
//! that started after the moment up to which its cancellations are known may have
//! confirmed some in an earlier process and forgotten them: its answer doesn't count.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::advance_delegation;
use crate::settings::Settings;

/// The least staleness bound, for settings in which cancelled work has no more time to end
/// than a worker's lease takes: without any renewal all work would end.
const MIN_STALENESS_BOUND: Duration = Duration::from_secs(3);

/// The staleness bound: how long workers' leases may be renewed after the moment up to
/// which all cancellations are known.
pub fn bound(settings: &Settings) -> Duration {
    advance_delegation::beyond_lease(settings).max(MIN_STALENESS_BOUND)
}

/// What one controller knows of the cancellations that all controllers confirmed.
#[derive(Debug, Default)]
pub struct CancellationFreshness {
    /// When the last successful catch-up read of the jobs was sent.
    last_catch_up: Option<Instant>,
    /// By controller: the moment up to which all that it confirmed is known from itself.
    confirmed_up_to: HashMap<String, Instant>,
}

impl CancellationFreshness {
    /// A catch-up read of the jobs that was sent at `sent` succeeded, and was applied.
    pub fn caught_up(&mut self, sent: Instant) {
        self.last_catch_up = self.last_catch_up.max(Some(sent));
    }

    /// When the last successful catch-up read was sent.
    pub fn last_catch_up(&self) -> Option<Instant> {
        self.last_catch_up
    }

    /// The moment up to which all that one controller confirmed is known.
    fn known_of(&self, node_id: &str) -> Option<Instant> {
        let confirmed_up_to = self.confirmed_up_to.get(node_id).copied();
        self.last_catch_up.max(confirmed_up_to)
    }

    /// A controller whose process started no later than `started` was asked at `sent` for
    /// all cancellations that it confirmed since the last catch-up read, and they were
    /// applied. False if its answer doesn't count.
    pub fn peer_answered(&mut self, node_id: &str, sent: Instant, started: Instant) -> bool {
        let known = self.known_of(node_id);
        let counts = known.is_some_and(|known| started < known);
        if counts {
            let up_to = self.confirmed_up_to.entry(node_id.to_owned());
            let up_to = up_to.or_insert(sent);
            *up_to = (*up_to).max(sent);
        }
        counts
    }

    /// The moment up to which all that these controllers confirmed is known: `now` if
    /// there are none, since this one knows what it confirmed itself. None before the
    /// first catch-up read.
    pub fn known_up_to<'a>(
        &self,
        others: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Option<Instant> {
        self.last_catch_up?;
        others
            .map(|node_id| self.known_of(node_id))
            .min()
            .unwrap_or(Some(now))
    }
}
