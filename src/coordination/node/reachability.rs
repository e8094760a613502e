//! Whom a controller reaches: the key-value store, the leader and its peers.

use std::time::{Duration, Instant};

use super::Node;
use super::state::PeerView;
use crate::coordination::peering::extension;

/// How long another controller counts as heard.
const PEER_REACHABLE_WITHIN: Duration = Duration::from_millis(2500);
/// How long a leader's heartbeat tells who runs the shard.
const LEADER_KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// How long after its last good answer a failing key-value store counts as lost.
const KV_LOST_AFTER: Duration = Duration::from_millis(1500);

impl Node {
    /// Who runs the shard, as far as this node knows.
    pub fn leader_id(&self) -> Option<String> {
        if self.live_lease().is_some() {
            return Some(self.node_id().to_owned());
        }
        let now = self.now();
        let inner = self.lock();
        let by_heartbeat = inner
            .peers
            .views
            .values()
            .filter(|view| now.saturating_duration_since(view.at) < LEADER_KNOWN_WITHIN)
            .filter_map(|view| {
                Some((
                    view.heartbeat.fencing_token?,
                    view.heartbeat.node_id.clone(),
                ))
            })
            .max();
        match by_heartbeat {
            Some((_, node_id)) => Some(node_id),
            None => inner
                .observed_leader
                .as_ref()
                .map(|leader| leader.node_id.clone())
                .filter(|node_id| node_id != self.node_id()),
        }
    }

    /// Whether the key-value store has stopped serving this node.
    pub fn kv_lost(&self) -> bool {
        let (served, failed) = self.kv.health();
        let Some(served) = served else {
            return true;
        };
        let recent = self.now().saturating_duration_since(served);
        failed.is_some_and(|failed| failed > served) && recent > KV_LOST_AFTER
    }

    /// Until when this node must not campaigns for the shard: a leader may be going on
    /// by its vote, or by one that an earlier run of this process gave.
    pub fn campaign_blocked_until(&self) -> Option<Instant> {
        let now = self.now();
        let inner = self.lock();
        let earlier = (!inner.candidacy.previous_run_ended)
            .then_some(self.started + extension::LONGEST_EXTENSION);
        inner
            .candidacy
            .extension_granted_until
            .max(earlier)
            .filter(|until| *until > now)
    }

    /// Whether the last answer of the key-value store was none, or a refusal.
    pub fn kv_failing(&self) -> bool {
        let (served, failed) = self.kv.health();
        failed.is_some() && failed > served
    }

    /// Whether some other controller says that the key-value store serves it.
    pub fn peer_served(&self) -> bool {
        let now = self.now();
        self.lock().peers.views.values().any(|view| {
            view.heartbeat.kv_served
                && now.saturating_duration_since(view.at) < PEER_REACHABLE_WITHIN
        })
    }

    /// Whether no other controller has been heard lately, though there are some.
    pub fn is_isolated(&self) -> bool {
        let now = self.now();
        let inner = self.lock();
        let reachable =
            |view: &PeerView| now.saturating_duration_since(view.at) < PEER_REACHABLE_WITHIN;
        !self.settings.platform.others.is_empty() && !inner.peers.views.values().any(reachable)
    }

    /// Whether users should come here. When nobody is served, leaving the
    /// balancer would only make the way back longer; but who hears neither the
    /// key-value store nor any other controller is cut off itself.
    pub fn ready(&self) -> bool {
        if self.lock().types.is_none() {
            return false;
        }
        !(self.kv_lost() && (self.peer_served() || self.is_isolated()))
    }
}
