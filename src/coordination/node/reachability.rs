//! Whether this controller reaches the store, the leader and the other controllers.
//!
//! These are methods of [`Node`] because each combines what the node's state holds about its peers
//! with the health of the node's client for the store.

use std::time::Duration;

use super::Node;
use super::state::PeerView;
use crate::storage::kv_client::KvHealth;

/// How long after its last heartbeat another controller counts as reachable.
const PEER_REACHABLE_WITHIN: Duration = Duration::from_millis(2500);
/// How long after its last heartbeat a leader is still named to workers and users.
const LEADER_KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// How long after its last successful answer a failing store counts as lost.
const KV_LOST_AFTER: Duration = Duration::from_millis(1500);

impl Node {
    /// The node id of the shard's leader, as far as this node knows: this node itself if it may act
    /// as the leader, else the node whose recent heartbeat has the highest fencing token, else
    /// the other node that the leader record names.
    pub fn leader_id(&self) -> Option<String> {
        if self.live_lease().is_some() {
            return Some(self.node_id().to_owned());
        }
        let now = self.now();
        let state = self.lock();
        let by_heartbeat = state
            .peers
            .views
            .values()
            .filter(|view| view.is_fresher_than(LEADER_KNOWN_WITHIN, now))
            .filter_map(|view| {
                let heartbeat = &view.heartbeat;
                Some((heartbeat.fencing_token?, heartbeat.node_id.clone()))
            })
            .max();
        match by_heartbeat {
            Some((_, node_id)) => Some(node_id),
            None => state
                .observed_leader
                .as_ref()
                .map(|leader| leader.node_id.clone())
                .filter(|node_id| node_id != self.node_id()),
        }
    }

    /// Whether the store has stopped serving this node, or has never served it.
    pub fn is_kv_lost(&self) -> bool {
        let KvHealth { last_served, .. } = self.clients.kv.health();
        let Some(last_served) = last_served else {
            return true;
        };
        let since_served = self.now().saturating_duration_since(last_served);
        self.is_kv_failing() && since_served > KV_LOST_AFTER
    }

    /// Whether the store failed to serve this node's last request: it answered 503 or not at all.
    pub fn is_kv_failing(&self) -> bool {
        let health = self.clients.kv.health();
        health.last_failed.is_some() && health.last_failed > health.last_served
    }

    /// Whether another controller has recently stated that the store serves it.
    pub fn is_any_peer_served(&self) -> bool {
        let now = self.now();
        self.lock().peers.views.values().any(|view| {
            view.heartbeat.kv_served && view.is_fresher_than(PEER_REACHABLE_WITHIN, now)
        })
    }

    /// Whether there are other controllers, and none of them has recently sent a heartbeat.
    pub fn is_isolated(&self) -> bool {
        let now = self.now();
        let state = self.lock();
        let reachable = |view: &PeerView| view.is_fresher_than(PEER_REACHABLE_WITHIN, now);
        !self.settings.platform.others.is_empty() && !state.peers.views.values().any(reachable)
    }

    /// Whether the load balancer should send users' requests to this controller. While the store
    /// serves no controller, this one stays ready: leaving the load balancer would only delay its
    /// return. But a controller that reaches neither the store nor any other controller is itself
    /// cut off, and isn't ready.
    pub fn is_ready(&self) -> bool {
        if self.lock().machine_types.is_none() {
            return false;
        }
        !(self.is_kv_lost() && (self.is_any_peer_served() || self.is_isolated()))
    }
}
