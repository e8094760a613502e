//! To which tokens a leader may raise those of its commands.
//!
//! Each applied write of the shard has a store revision at which the leader record existed, which makes
//! the revision a token of this leader (see [`CommandTokens`]). A controller that is cut off from the
//! leader can answer a worker only if it knows that the worker's token is this leader's. So a
//! revision is used only once the other controllers have had time to read a later one.

use std::time::{Duration, Instant};

use crate::coordination::worker_leases::command_tokens::CommandTokens;
use crate::protocol::{CommandToken, FencingToken};

/// Time from a write until each controller that reaches the store and the leader has read its revision
/// and exchanged a heartbeat with the leader since: both happen once a second.
const PEERS_INFORMED_AFTER: Duration = Duration::from_secs(3);

/// The tokens to which the leader may raise those of its commands.
#[derive(Debug)]
pub(super) struct TokenRaises {
    tokens: CommandTokens,
    /// The highest token that the other controllers have had time to learn of.
    usable: CommandToken,
    /// The next usable token, and when the write that gave it was applied.
    upcoming: Option<(CommandToken, Instant)>,
}

impl TokenRaises {
    pub(super) fn new(leadership: FencingToken) -> Self {
        Self {
            tokens: CommandTokens::of_leadership(leadership),
            usable: leadership.into(),
            upcoming: None,
        }
    }

    /// The tokens known to be this leader's.
    pub(super) fn tokens(&self) -> CommandTokens {
        self.tokens
    }

    /// Records that a write of the shard is known at `now` to have been applied at this store
    /// revision.
    pub(super) fn note_write(&mut self, revision: u64, now: Instant) {
        self.tokens = self.tokens.known_at(revision);
        self.usable = self.usable(now);
        let is_due = |(_, since): &(CommandToken, Instant)| is_settled(*since, now);
        if self.upcoming.as_ref().is_none_or(is_due) {
            self.upcoming = Some((self.tokens.highest(), now));
        }
    }

    /// The highest token to which the leader may raise that of a command now.
    pub(super) fn usable(&self, now: Instant) -> CommandToken {
        match self.upcoming {
            Some((token, since)) if is_settled(since, now) => token,
            _ => self.usable,
        }
    }
}

fn is_settled(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) >= PEERS_INFORMED_AFTER
}
