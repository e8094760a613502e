//! Advance delegations: going on without the key-value store.
//!
//! A controller that a cut takes from the leader and the key-value store at once
//! can't ask for a delegation. So each answer of the leader to a controller's heartbeat
//! allows it in advance to answer workers: for a while after that heartbeat it
//! may answer them with the leader's fencing token, but only once it hears neither the
//! leader nor the service. A leader past its deadline may do the same for its
//! own fencing token. The time is short enough that no task of a job cancelled meanwhile
//! outlives the time in which it has to end.

use crate::protocol::FencingToken;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::coordination::clock_drift;
use crate::settings::Settings;

/// For a busy processor.
const MARGIN: Duration = Duration::from_millis(200);

/// How long a controller that hears the leader no more waits before it answers
/// workers on its own.
pub const LEADER_UNREACHABLE_AFTER: Duration = Duration::from_secs(3);
/// How long after a heartbeat that was answered its receiver surely keeps nothing:
/// less than [`LEADER_UNREACHABLE_AFTER`] from when it heard that heartbeat.
const HEARTBEAT_SURELY_RECEIVED: Duration = Duration::from_millis(2500);

/// For how long a controller may keep workers on its own: their leases and this
/// together stay within the time that a cancelled job's tasks have.
pub fn longest(settings: &Settings) -> Duration {
    if settings.platform.others.is_empty() {
        return Duration::ZERO;
    }
    beyond_lease(settings).min(settings.operator.advance_delegation())
}

/// The time that a cancelled job's tasks have beyond a worker's lease.
pub fn beyond_lease(settings: &Settings) -> Duration {
    let workers = &settings.platform.settings.workers;
    let lease = clock_drift::max_elapsed(workers.lease()) + MARGIN;
    workers.cancel().saturating_sub(lease)
}

/// What a leader's answer to a heartbeat entitles to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvanceDelegation {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// When the heartbeat was sent that the leader answered.
    pub seen: Instant,
}

impl AdvanceDelegation {
    /// Until when workers may be answered, if all cancellations told before
    /// `known` are known.
    pub fn until(&self, known: Option<Instant>, longest: Duration) -> Option<Instant> {
        let from = self.seen.min(known?);
        Some(from + clock_drift::min_elapsed(longest).checked_sub(MARGIN / 2)?)
    }

    /// Takes in that a leader answered a heartbeat sent then.
    pub fn renewed(known: Option<Self>, fencing_token: FencingToken, sent: Instant) -> Self {
        match known {
            Some(delegation) if delegation.fencing_token > fencing_token => delegation,
            Some(delegation) if delegation.fencing_token == fencing_token => Self {
                fencing_token,
                seen: delegation.seen.max(sent),
            },
            _ => Self {
                fencing_token,
                seen: sent,
            },
        }
    }
}

/// What a leader knows of the delegations that its answers gave.
#[derive(Debug, Default)]
pub struct AdvanceGrants {
    /// By controller: when it last got an answer of ours.
    granted: HashMap<String, Instant>,
    /// By controller: when we sent the last heartbeat of this fencing token that it answered,
    /// and a moment after which it had answered no worker then.
    quiet: HashMap<String, (Instant, Instant)>,
}

impl AdvanceGrants {
    /// A controller's heartbeat is answered.
    pub fn grant(&mut self, node_id: &str, now: Instant) {
        self.granted.insert(node_id.to_owned(), now);
    }

    /// A controller answered a heartbeat sent then: when it last answered workers.
    pub fn answered(&mut self, node_id: &str, sent: Instant, kept: Instant) {
        self.quiet.insert(node_id.to_owned(), (sent, kept));
    }

    /// The latest moment up to `now` at which one of these controllers may have
    /// answered workers under our fencing token; None if none ever can have.
    pub fn last_answer<'a>(
        &self,
        node_ids: impl Iterator<Item = &'a str>,
        longest: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let of = |node_id: &str| {
            let quiet = self.quiet.get(node_id);
            let kept = quiet.map(|(_, kept)| (*kept).min(now));
            if quiet.is_some_and(|(sent, _)| {
                now.saturating_duration_since(*sent) <= HEARTBEAT_SURELY_RECEIVED
            }) {
                return kept;
            }
            let delegated = self.granted.get(node_id).map(|at| (*at + longest).min(now));
            kept.max(delegated)
        };
        node_ids.filter_map(of).max()
    }
}

#[cfg(test)]
mod tests;
