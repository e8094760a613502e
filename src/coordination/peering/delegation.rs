//! Workers that the leader can't hear, while another controller does: delegating the
//! answering of their heartbeats, revoking it, and what they hold.

use crate::protocol::FencingToken;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{HEARTBEAT_FRESH, LEADER_GRACE};
use crate::coordination::clock_drift;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::state::Delegation;
use crate::coordination::node::{KV_DEADLINE, Node, random_id};
use crate::coordination::shard::Shard;
use crate::coordination::worker_leases::{DELEGATION_TIME, advance_delegation};
use crate::protocol::kv::{KeyValue, Mutation, Transaction};
use crate::protocol::workers::WorkerHeartbeat;
use crate::settings::platform::Peer;
use crate::storage::inventory::{InventoryBatch, whole_heartbeats};
use crate::storage::keys;
use crate::storage::kv_client::KvError;
use crate::storage::records::{
    DelegateRecord, FORMAT_VERSION, InventoryRecord, ReachabilityRecord,
};

/// A peer's heartbeat older than this, two rounds, means that it may be cut off.
const HEARTBEAT_LATE: Duration = Duration::from_millis(2200);
/// Pause between a delegate's looks at its delegation.
const DELEGATION_CHECK: Duration = Duration::from_millis(500);
/// How long before its time a delegate stops, to cover a busy processor.
const DELEGATION_MARGIN: Duration = Duration::from_millis(100);
/// Inventory pages aren't planned smaller than this, in bytes.
const LEAST_INVENTORY: usize = 512;
/// Age up to which a hearing record counts.
const REACHABILITY_FRESH_MS: u64 = 5000;

/// Tells the shard until when others may have answered workers on their own.
pub(super) fn note_quiet(node: &Arc<Node>) {
    let Some(lease) = node.live_lease() else {
        return;
    };
    let now = node.now();
    let longest = advance_delegation::longest(&node.settings);
    let others = &node.settings.platform.others;
    let kept = node.lock().leadership.as_ref().and_then(|own| {
        let node_ids = others.iter().map(|peer| peer.node_id.as_str());
        own.advance_grants.last_answer(node_ids, longest, now)
    });
    node.with_shard(&lease, "delegations", |shard, _| {
        shard.note_advance_renewals(kept, now)
    });
}

/// Zones may be cut from one another while the key-value store reaches both:
/// a controller that hears workers but not the leader says so there.
pub(super) async fn publish_reachability(node: &Arc<Node>) {
    let workers = workers_without_leader(node);
    if workers == 0 || node.kv_lost() {
        return;
    }
    tracing::debug!(
        workers,
        "workers come here, and the leader can't be reached"
    );
    let record = ReachabilityRecord {
        format_version: FORMAT_VERSION,
        reachable_workers: workers,
        counted_at_ms: node.clock.wall_ms(),
    };
    if let Ok(value) = serde_json::to_value(record) {
        let txn =
            Transaction::default().change(Mutation::put(keys::reachability(node.node_id()), value));
        let _ = node.clients.kv.txn(&txn, KV_DEADLINE).await;
    }
}

/// How many workers come to this node while it can't reach the leader.
fn workers_without_leader(node: &Node) -> u32 {
    let now = node.now();
    let inner = node.lock();
    let leader = inner.observed_leader.as_ref().map(|leader| &leader.node_id);
    let Some(leader) = leader.filter(|node_id| *node_id != node.node_id()) else {
        return 0;
    };
    let reachable = inner
        .peers
        .views
        .get(leader)
        .is_some_and(|view| now.saturating_duration_since(view.at) < HEARTBEAT_FRESH);
    if reachable || inner.leadership.is_some() {
        return 0;
    }
    inner.workers.len() as u32
}

/// The other controllers that say in the key-value store that they hear workers
/// but not the leader, and how many. None if the service doesn't answer.
pub(super) async fn workers_reachable_elsewhere(node: &Node) -> Option<BTreeMap<String, usize>> {
    let prefix = keys::reachability_prefix();
    let (items, _) = node.clients.kv.list(&prefix, KV_DEADLINE).await.ok()?;
    let wall = node.clock.wall_ms();
    let counts = items.into_iter().filter_map(|item| {
        let node_id = item.key.strip_prefix(&prefix)?.to_owned();
        let record: ReachabilityRecord = serde_json::from_value(item.value).ok()?;
        let fresh = wall.abs_diff(record.counted_at_ms) < REACHABILITY_FRESH_MS;
        (fresh && node_id != node.node_id()).then_some((node_id, record.reachable_workers as usize))
    });
    Some(counts.collect())
}

/// The leader delegates the answering of workers to controllers that it can't reach
/// but that hear them, and revokes it when it can.
pub(super) async fn delegate_and_revoke(node: &Arc<Node>) {
    let Some((lease, unreached)) = unreached_peers(node) else {
        return;
    };
    let zones = zones_of(node, &unreached);
    node.with_shard(&lease, "delegations", |shard, _| {
        shard.set_partitioned_zones(zones);
        revoke_all_but(shard, |node_id| unreached.contains(node_id));
    });
    if unreached.is_empty() {
        return;
    }
    let Some(elsewhere) = workers_reachable_elsewhere(node).await else {
        return;
    };
    node.with_shard(&lease, "delegations", |shard, now| {
        revoke_all_but(shard, |node_id| elsewhere.contains_key(node_id));
        for node_id in unreached
            .iter()
            .filter(|node_id| elsewhere.contains_key(*node_id))
        {
            shard.delegate(node_id, now);
        }
    });
    let wanted = node.with_shard(&lease, "delegations", |shard, _| shard.wants_inventories());
    if wanted == Some(true) {
        read_inventories(node, &lease).await;
    }
}

/// Revokes the delegations of all controllers but those that still need theirs.
fn revoke_all_but(shard: &mut Shard, needed: impl Fn(&str) -> bool) {
    for node_id in shard.delegates() {
        if !needed(&node_id) {
            shard.revoke(&node_id);
        }
    }
}

/// The controllers that this leader can't reach; None if it isn't one, or has just begun.
fn unreached_peers(node: &Node) -> Option<(Arc<ShardLease>, BTreeSet<String>)> {
    let now = node.now();
    let inner = node.lock();
    let lease = &inner.leadership.as_ref()?.lease;
    if !lease.live(now) || now.saturating_duration_since(lease.since) < LEADER_GRACE {
        return None;
    }
    let silent = |peer: &&Peer| {
        let view = inner.peers.views.get(&peer.node_id);
        view.is_none_or(|view| now.saturating_duration_since(view.at) > HEARTBEAT_LATE)
    };
    let others = node.settings.platform.others.iter();
    let node_ids = others.filter(silent).map(|peer| peer.node_id.clone());
    Some((lease.clone(), node_ids.collect()))
}

/// Takes in what delegates wrote of the workers that this leader can't hear.
async fn read_inventories(node: &Arc<Node>, lease: &Arc<ShardLease>) {
    let prefix = keys::inventory_prefix();
    let Ok((pages, _)) = node.clients.kv.list(&prefix, KV_DEADLINE).await else {
        return;
    };
    let parse = |item: KeyValue| {
        serde_json::from_value::<InventoryRecord>(item.value)
            .inspect_err(|error| tracing::error!(key = item.key, %error, "a record can't be read"))
            .ok()
    };
    let heartbeats = whole_heartbeats(pages.into_iter().filter_map(parse), lease.fencing_token);
    node.with_shard(lease, "delegations", |shard, now| {
        for heartbeat in &heartbeats {
            shard.apply_relayed_heartbeat(heartbeat, now);
        }
    });
}

/// Writes what delegated workers hold, those that were not written before; returns
/// the number of the next page.
async fn write_inventory(node: &Node, fencing_token: FencingToken, mut page: u32) -> u32 {
    while let Some(batch) = next_batch(node, fencing_token) {
        for record in &batch.pages {
            let Ok(value) = serde_json::to_value(record) else {
                return page;
            };
            let key = keys::inventory(node.node_id(), page);
            // Written or not, the next try writes another page.
            page += 1;
            let txn = Transaction::default().change(Mutation::put(key, value));
            if let Err(error) = node.clients.kv.txn(&txn, KV_DEADLINE).await {
                inventory_refused(node, batch.heartbeats, &error);
                return page;
            }
        }
    }
    page
}

fn next_batch(node: &Node, fencing_token: FencingToken) -> Option<InventoryBatch> {
    let group = random_id();
    let mut inner = node.lock();
    let most = inner.delegate.inventory_bytes.unwrap_or(node.value_bytes());
    inner
        .delegate
        .unwritten_heartbeats
        .next_batch(fencing_token, most, group)
}

/// Heartbeats that could not be written are laid out again, in smaller pages if these
/// were too large.
fn inventory_refused(node: &Node, heartbeats: Vec<WorkerHeartbeat>, error: &KvError) {
    let mut inner = node.lock();
    inner.delegate.unwritten_heartbeats.put_back(heartbeats);
    if let KvError::TooLarge(why) = error {
        let most = inner.delegate.inventory_bytes.unwrap_or(node.value_bytes());
        inner.delegate.inventory_bytes = Some((most / 2).max(LEAST_INVENTORY));
        tracing::error!(why, "an inventory is refused; smaller pages are planned");
    }
}

/// The zones that have controllers, but none outside this set.
fn zones_of(node: &Node, unreached: &BTreeSet<String>) -> BTreeSet<String> {
    let platform = &node.settings.platform;
    let reached = |peer: &&Peer| !unreached.contains(&peer.node_id);
    let mut zones: BTreeSet<String> = platform
        .others
        .iter()
        .map(|peer| peer.area.clone())
        .collect();
    for peer in platform.others.iter().filter(reached) {
        zones.remove(&peer.area);
    }
    zones.remove(&platform.area);
    zones
}

/// Notes which delegation holds from now on; true if it is that of another leader.
fn note_delegation(node: &Node, delegation: Option<Delegation>) -> bool {
    let fencing_token =
        |delegation: Option<Delegation>| delegation.map(|delegation| delegation.fencing_token);
    let mut inner = node.lock();
    let changed = fencing_token(inner.delegate.delegation) != fencing_token(delegation);
    if changed {
        inner.delegate.unwritten_heartbeats.clear();
    }
    inner.delegate.delegation = delegation;
    changed && delegation.is_some()
}

/// Answers workers for a leader that can't hear them, while it delegates that.
pub async fn serve_delegated_workers(node: Arc<Node>) {
    let mut page = 0;
    loop {
        tokio::time::sleep(DELEGATION_CHECK).await;
        if workers_without_leader(&node) == 0 {
            note_delegation(&node, None);
            continue;
        }
        let sent = node.now();
        let prefix = keys::leader_prefix();
        // A delegate has to know which jobs are over: what it lets live on of
        // them is its to stop.
        let read = tokio::join!(
            node.clients.kv.list(&prefix, DELEGATION_TIME),
            node.catch_up()
        );
        let (Ok((items, _)), Ok(())) = read else {
            continue;
        };
        let find = |key: String| items.iter().find(|item| item.key == key);
        let delegated = find(keys::delegate(node.node_id()))
            .and_then(|item| serde_json::from_value::<DelegateRecord>(item.value.clone()).ok());
        // A delegation ends when the leader that gave it is replaced.
        let fencing_token = find(keys::leader())
            .map(|item| FencingToken::new(item.mod_revision))
            .filter(|fencing_token| {
                delegated
                    .as_ref()
                    .is_some_and(|delegation| delegation.fencing_token == *fencing_token)
            });
        let until = sent + clock_drift::min_elapsed(DELEGATION_TIME) - DELEGATION_MARGIN;
        let inventory = delegated.is_some_and(|delegation| delegation.inventory);
        let delegation = fencing_token.map(|fencing_token| Delegation {
            fencing_token,
            until,
            inventory,
        });
        let began = note_delegation(&node, delegation);
        let Some(fencing_token) = fencing_token else {
            continue;
        };
        if inventory {
            page = write_inventory(&node, fencing_token, page).await;
        }
        if began {
            tracing::info!(
                %fencing_token,
                "answering workers that the leader can't hear"
            );
        }
    }
}
