//! Decides for the election whether this controller may campaign for the shard, and how long it
//! waits first.

use std::time::{Duration, Instant};

use super::lease::MAX_LEASE_EXTENSION;
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;

/// How long a candidate outside the main zone, which holds most machines, waits before it
/// campaigns.
const OUTSIDE_MAIN_ZONE_DELAY: Duration = Duration::from_millis(150);
/// How long a candidate outside the main zone waits if, in addition, no worker has recently sent it
/// a heartbeat.
const NO_WORKERS_DELAY: Duration = Duration::from_millis(1000);
/// How long after its last heartbeat to this candidate a worker counts as able to reach it.
const WORKER_HEARTBEAT_MAX_AGE: Duration = Duration::from_secs(4);
/// How long a candidate waits if it was the leader recently and couldn't reach enough workers.
const INELIGIBLE_DELAY: Duration = Duration::from_secs(4);
/// How long after its extension vote has expired a candidate waits before it campaigns.
const EXPIRED_VOTE_MARGIN: Duration = Duration::from_millis(10);

impl Node {
    /// The future moment until which this node must not campaign for the shard, if there is one:
    /// a leader may hold its lease until then by the extension vote of this process, or of an
    /// earlier process of this node.
    pub fn campaign_blocked_until(&self) -> Option<Instant> {
        let now = self.now();
        let state = self.lock();
        let earlier_process_vote_until = (!state.candidacy.earlier_incarnation_led)
            .then_some(self.started + MAX_LEASE_EXTENSION);
        state
            .candidacy
            .extension_granted_until
            .max(earlier_process_vote_until)
            .filter(|until| *until > now)
    }
}

/// How long this candidate waits before it tries to acquire a vacant shard.
pub(super) fn candidate_delay(node: &Node) -> Duration {
    let now = node.now();
    if let Some(until) = node.campaign_blocked_until() {
        return until.saturating_duration_since(now) + EXPIRED_VOTE_MARGIN;
    }
    placement_delay(&node.lock(), &node.settings.platform.zone, now)
}

/// How long a candidate in `zone` waits so that better placed candidates can acquire the shard
/// first.
fn placement_delay(state: &NodeState, zone: &str, now: Instant) -> Duration {
    if state
        .candidacy
        .ineligible_until
        .is_some_and(|until| until > now)
    {
        return INELIGIBLE_DELAY;
    }
    let main_zone = state.peers.main_zone.as_deref();
    let is_outside_main_zone = main_zone.is_some_and(|main_zone| main_zone != zone);
    // Workers that can't reach the leader send heartbeats to any controller that they reach.
    let has_recent_workers = state.worker_heartbeats.values().any(|heartbeat_at| {
        now.saturating_duration_since(*heartbeat_at) < WORKER_HEARTBEAT_MAX_AGE
    });
    match (is_outside_main_zone, has_recent_workers) {
        (true, false) => NO_WORKERS_DELAY,
        (true, true) => OUTSIDE_MAIN_ZONE_DELAY,
        (false, _) => Duration::ZERO,
    }
}

#[cfg(test)]
mod tests;
