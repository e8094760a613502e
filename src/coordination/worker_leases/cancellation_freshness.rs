//! Up to when a controller knows of every cancellation that users were told.
//!
//! An answer to a heartbeat lets a worker's tasks live on for its whole lease. So
//! nobody may give one unless all cancellations are known that users may have
//! been told longer ago than `cancel_s` less that lease. Two things count as
//! knowledge: a catch-up read of the jobs, from when it was sent; and what every other
//! controller says that it told, from when it was asked. Who started since the
//! moment up to which it is known may have told something in an earlier run
//! that it has forgotten: its word doesn't count, and the bound holds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::advance_delegation;
use crate::settings::Settings;

/// The least that a catch-up read of the jobs entitles to, where cancelled work has no
/// more time than a worker's lease takes: no answer at all would end all work.
const LEAST: Duration = Duration::from_secs(3);

/// For how long workers may be answered after the moment up to which all
/// cancellations are known.
pub fn bound(settings: &Settings) -> Duration {
    advance_delegation::beyond_lease(settings).max(LEAST)
}

/// What one controller knows of the cancellations told by all.
#[derive(Debug, Default)]
pub struct CancellationFreshness {
    /// When the last look at the jobs was sent.
    looked: Option<Instant>,
    /// By controller: the moment up to which all that it told is known by its word.
    words: HashMap<String, Instant>,
}

impl CancellationFreshness {
    /// A catch-up read of the jobs that was sent then was answered, and taken in.
    pub fn caught_up(&mut self, sent: Instant) {
        self.looked = self.looked.max(Some(sent));
    }

    /// When the last look was sent.
    pub fn last_catch_up(&self) -> Option<Instant> {
        self.looked
    }

    /// The moment up to which all that one controller told is known.
    fn of(&self, node_id: &str) -> Option<Instant> {
        self.looked.max(self.words.get(node_id).copied())
    }

    /// A controller that began no later than `began` was asked at `sent` for
    /// all cancellations that it told since the last look, and they were taken
    /// in. False if its word doesn't count.
    pub fn peer_answered(&mut self, node_id: &str, sent: Instant, began: Instant) -> bool {
        let unbroken = self.of(node_id).is_some_and(|known| began < known);
        if unbroken {
            let known = self.words.entry(node_id.to_owned()).or_insert(sent);
            *known = (*known).max(sent);
        }
        unbroken
    }

    /// The moment up to which all that these controllers told is known: `now`
    /// if there are none, since this one knows what it told itself.
    pub fn known_up_to<'a>(
        &self,
        others: impl Iterator<Item = &'a str>,
        now: Instant,
    ) -> Option<Instant> {
        self.looked?;
        others
            .map(|node_id| self.of(node_id))
            .min()
            .unwrap_or(Some(now))
    }
}
