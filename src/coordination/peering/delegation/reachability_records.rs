//! Records by which controllers state how many workers they reach without reaching the leader.

use std::collections::BTreeMap;

use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::peering::PEER_HEARTBEAT_MAX_AGE;
use crate::protocol::kv::{KeyValue, Mutation, Transaction};
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, ReachabilityRecord};

/// Age below which a record is used, in milliseconds by the controllers' wall clocks.
const RECORD_MAX_AGE_MS: u64 = 5000;

/// Publishes how many workers this controller reaches, if it can't reach the leader. After a failed
/// write the next round writes the record anew.
pub(in super::super) async fn publish_reachability(node: &Node) {
    let workers = workers_without_leader(node);
    if workers == 0 || node.is_kv_lost() {
        return;
    }
    tracing::debug!(workers, "workers reachable here while the leader is not");
    let record = ReachabilityRecord {
        format_version: FORMAT_VERSION,
        reachable_workers: workers,
        counted_at_ms: node.clock.wall_ms(),
    };
    if let Ok(value) = serde_json::to_value(record) {
        let put = Mutation::put(keys::reachability(node.node_id()), value);
        let transaction = Transaction::default().change(put);
        let _ = node.clients.kv.txn(&transaction, KV_DEADLINE).await;
    }
}

/// The number of workers that send heartbeats to this controller while it can't reach the leader;
/// 0 if it reaches the leader, is the leader, or knows of no leader.
pub(super) fn workers_without_leader(node: &Node) -> u32 {
    let now = node.now();
    let state = node.lock();
    let leader = state.observed_leader.as_ref().map(|leader| &leader.node_id);
    let Some(leader) = leader.filter(|node_id| *node_id != node.node_id()) else {
        return 0;
    };
    let leader_reachable = state
        .peers
        .views
        .get(leader)
        .is_some_and(|view| view.is_fresher_than(PEER_HEARTBEAT_MAX_AGE, now));
    if leader_reachable || state.leadership.is_some() {
        return 0;
    }
    state.worker_heartbeats.len() as u32
}

/// By the node id of each other controller that doesn't reach the leader: how many workers it
/// reaches, as recent records state. `None` if the key-value store doesn't answer.
pub(in super::super) async fn workers_reachable_elsewhere(
    node: &Node,
) -> Option<BTreeMap<String, usize>> {
    let prefix = keys::reachability_prefix();
    let records = node.clients.kv.list(&prefix, KV_DEADLINE).await.ok()?;
    let wall_ms = node.clock.wall_ms();
    let recent_count = |item: KeyValue| {
        let node_id = item.key.strip_prefix(&prefix)?.to_owned();
        let record: ReachabilityRecord = serde_json::from_value(item.value).ok()?;
        let is_fresh = wall_ms.abs_diff(record.counted_at_ms) < RECORD_MAX_AGE_MS;
        (is_fresh && node_id != node.node_id())
            .then_some((node_id, record.reachable_workers as usize))
    };
    Some(records.items.into_iter().filter_map(recent_count).collect())
}
