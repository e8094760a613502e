//! Whether this controller may campaign for the shard, and how soon.

use std::time::{Duration, Instant};

use super::lease::MAX_LEASE_EXTENSION;
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;

/// How long a candidate outside the zone of most machines waits before it tries.
const FAR_ZONE_DELAY: Duration = Duration::from_millis(150);
/// The same if no worker has sent it a heartbeat lately either.
const NO_WORKERS_DELAY: Duration = Duration::from_millis(1000);
/// How long a worker's last heartbeat shows that the worker reaches this candidate.
const WORKER_REACHES_WITHIN: Duration = Duration::from_secs(4);
/// How long a candidate that lately couldn't reach enough workers waits.
const INELIGIBLE_DELAY: Duration = Duration::from_secs(4);
/// Added to the end of an extension vote, past which this candidate may try again.
const AFTER_VOTE_MARGIN: Duration = Duration::from_millis(10);

impl Node {
    /// Until when this node must not campaign for the shard: a leader may be going on by
    /// this node's extension vote, or by one that an earlier process of it gave.
    pub fn campaign_blocked_until(&self) -> Option<Instant> {
        let now = self.now();
        let state = self.lock();
        let earlier_vote = (!state.candidacy.previous_incarnation_ended)
            .then_some(self.started + MAX_LEASE_EXTENSION);
        state
            .candidacy
            .extension_granted_until
            .max(earlier_vote)
            .filter(|until| *until > now)
    }
}

/// How long this candidate waits before it tries to acquire a vacant shard.
pub(super) fn candidate_delay(node: &Node) -> Duration {
    let now = node.now();
    if let Some(until) = node.campaign_blocked_until() {
        return until.saturating_duration_since(now) + AFTER_VOTE_MARGIN;
    }
    placement_delay(&node.lock(), &node.settings.platform.zone, now)
}

/// The delay by which a candidate in `zone` gives way to better placed ones.
fn placement_delay(state: &NodeState, zone: &str, now: Instant) -> Duration {
    if state
        .candidacy
        .ineligible_until
        .is_some_and(|until| until > now)
    {
        return INELIGIBLE_DELAY;
    }
    let main_zone = state.peers.main_zone.as_deref();
    let far = main_zone.is_some_and(|main_zone| main_zone != zone);
    // Workers that lost their leader send heartbeats to whichever controller they reach.
    let has_recent_workers = state
        .workers
        .values()
        .any(|at| now.saturating_duration_since(*at) < WORKER_REACHES_WITHIN);
    match (far, has_recent_workers) {
        (true, false) => NO_WORKERS_DELAY,
        (true, true) => FAR_ZONE_DELAY,
        (false, _) => Duration::ZERO,
    }
}

#[cfg(test)]
mod tests;
