//! The leader's part: it delegates lease renewal, and revokes delegations that aren't needed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::inventories::read_inventories;
use super::reachability_records::workers_reachable_elsewhere;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::Node;
use crate::coordination::peering::LEADER_GRACE;
use crate::coordination::shard::Shard;
use crate::coordination::worker_leases::advance_delegation;
use crate::settings::platform::Peer;

/// Age past which a peer's last heartbeat means that the peer may be cut off from the leader: it
/// has missed two rounds.
const PEER_CUT_OFF_AFTER: Duration = Duration::from_millis(2200);

/// Tells the shard until when other controllers may have renewed workers' leases by advance
/// delegations.
pub(in super::super) fn update_last_advance_renewal(node: &Arc<Node>) {
    let Some(lease) = node.live_lease() else {
        return;
    };
    let now = node.now();
    let max_duration = advance_delegation::max_duration(&node.settings);
    let peers = &node.settings.platform.others;
    let last_renewal = node.lock().leadership.as_ref().and_then(|leadership| {
        let node_ids = peers.iter().map(|peer| peer.node_id.as_str());
        leadership
            .advance_grants
            .last_possible_renewal(node_ids, max_duration, now)
    });
    node.with_shard(&lease, "delegations", |shard, _| {
        shard.note_advance_renewals(last_renewal, now)
    });
}

/// Delegates lease renewal to the controllers that this leader can't reach and that reach
/// workers, and revokes the delegations of all others.
pub(in super::super) async fn update_delegations(node: &Arc<Node>) {
    let Some(UnreachablePeers { lease, node_ids }) = unreachable_peers(node) else {
        return;
    };
    let partitioned = unreachable_zones(node, &node_ids);
    node.with_shard(&lease, "delegations", |shard, _| {
        shard.set_partitioned_zones(partitioned);
        revoke_all_but(shard, |node_id| node_ids.contains(node_id));
    });
    if node_ids.is_empty() {
        return;
    }
    let Some(reachable_by_peer) = workers_reachable_elsewhere(node).await else {
        return;
    };
    let reaches_workers = |node_id: &str| reachable_by_peer.contains_key(node_id);
    node.with_shard(&lease, "delegations", |shard, now| {
        revoke_all_but(shard, reaches_workers);
        for node_id in node_ids.iter().filter(|node_id| reaches_workers(node_id)) {
            shard.grant_delegation(node_id, now);
        }
    });
    let wants_inventories =
        node.with_shard(&lease, "delegations", |shard, _| shard.wants_inventories());
    if wants_inventories == Some(true) {
        read_inventories(node, &lease).await;
    }
}

/// Revokes the delegations of all controllers except those for which `needed` returns true.
fn revoke_all_but(shard: &mut Shard, needed: impl Fn(&str) -> bool) {
    for node_id in shard.delegates() {
        if !needed(&node_id) {
            shard.revoke_delegation(&node_id);
        }
    }
}

/// The peers that a leader can't reach.
struct UnreachablePeers {
    /// The leader's lease.
    lease: Arc<ShardLease>,
    node_ids: BTreeSet<String>,
}

/// The peers that this controller can't reach as the leader. `None` if it isn't the leader, or its
/// leadership has just begun.
fn unreachable_peers(node: &Node) -> Option<UnreachablePeers> {
    let now = node.now();
    let state = node.lock();
    let lease = &state.leadership.as_ref()?.lease;
    if !lease.is_live(now) || now.saturating_duration_since(lease.acquired_at) < LEADER_GRACE {
        return None;
    }
    let unreachable = |peer: &&Peer| {
        let view = state.peers.views.get(&peer.node_id);
        view.is_none_or(|view| now.saturating_duration_since(view.received_at) > PEER_CUT_OFF_AFTER)
    };
    let peers = node.settings.platform.others.iter();
    let node_ids = peers.filter(unreachable).map(|peer| peer.node_id.clone());
    Some(UnreachablePeers {
        lease: lease.clone(),
        node_ids: node_ids.collect(),
    })
}

/// The zones that have controllers, none of which this leader reaches.
fn unreachable_zones(node: &Node, unreachable: &BTreeSet<String>) -> BTreeSet<String> {
    let platform = &node.settings.platform;
    let reachable = |peer: &&Peer| !unreachable.contains(&peer.node_id);
    let zones = platform.others.iter().map(|peer| peer.zone.clone());
    let mut zones: BTreeSet<String> = zones.collect();
    for peer in platform.others.iter().filter(reachable) {
        zones.remove(&peer.zone);
    }
    zones.remove(&platform.zone);
    zones
}
