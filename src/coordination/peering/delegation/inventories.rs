//! Inventories: what runs on delegated workers, written by the delegate and read by the leader.

use std::sync::Arc;

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node, random_id};
use crate::protocol::FencingToken;
use crate::protocol::kv::{KeyValue, Mutation, Transaction};
use crate::protocol::workers::WorkerHeartbeat;
use crate::storage::inventory::{InventoryBatch, whole_heartbeats};
use crate::storage::keys;
use crate::storage::kv_client::KvError;
use crate::storage::records::InventoryRecord;

/// Smallest size to which inventory pages are reduced after the store refused larger ones, in
/// bytes.
const MIN_INVENTORY_PAGE_BYTES: usize = 512;

/// Reads the inventories that delegates wrote of the workers that this leader can't reach, and
/// passes their heartbeats on to the shard.
pub(super) async fn read_inventories(node: &Arc<Node>, lease: &Arc<ShardLease>) {
    let prefix = keys::inventory_prefix();
    let Ok(pages) = node.clients.kv.list(&prefix, KV_DEADLINE).await else {
        return;
    };
    let pages = pages.items.into_iter().filter_map(decode_page);
    let heartbeats = whole_heartbeats(pages, lease.fencing_token);
    node.with_shard(lease, "delegations", |shard, now| {
        for heartbeat in &heartbeats {
            shard.apply_relayed_heartbeat(heartbeat, now);
        }
    });
}

fn decode_page(item: KeyValue) -> Option<InventoryRecord> {
    serde_json::from_value(item.value)
        .inspect_err(|error| {
            tracing::error!(key = item.key, %error, "cannot decode an inventory page");
        })
        .ok()
}

/// Writes the heartbeats of delegated workers that no page holds yet. Pages are numbered from
/// `next_page` on; returns the number of the page after the last one.
pub(super) async fn write_inventory(
    node: &Node,
    fencing_token: FencingToken,
    mut next_page: u32,
) -> u32 {
    while let Some(batch) = next_batch(node, fencing_token) {
        for record in &batch.pages {
            let Ok(value) = serde_json::to_value(record) else {
                return next_page;
            };
            let key = keys::inventory(node.node_id(), next_page);
            // Whether or not this write succeeds, the next page has another key.
            next_page += 1;
            let transaction = Transaction::default().change(Mutation::put(key, value));
            if let Err(error) = node.clients.kv.txn(&transaction, KV_DEADLINE).await {
                put_back(node, batch.heartbeats, &error);
                return next_page;
            }
        }
    }
    next_page
}

fn next_batch(node: &Node, fencing_token: FencingToken) -> Option<InventoryBatch> {
    let split_id = random_id();
    let mut state = node.lock();
    let page_bytes = state
        .delegate
        .max_inventory_page_bytes
        .unwrap_or(node.value_bytes());
    state
        .delegate
        .unwritten_heartbeats
        .next_batch(fencing_token, page_bytes, split_id)
}

/// Adds heartbeats whose write failed to the unwritten ones again, for the next attempt. If the
/// store refused a page as too large, the next pages have half the size.
fn put_back(node: &Node, heartbeats: Vec<WorkerHeartbeat>, error: &KvError) {
    let mut state = node.lock();
    state.delegate.unwritten_heartbeats.put_back(heartbeats);
    if let KvError::TooLarge { .. } = error {
        let page_bytes = state
            .delegate
            .max_inventory_page_bytes
            .unwrap_or(node.value_bytes());
        let reduced = (page_bytes / 2).max(MIN_INVENTORY_PAGE_BYTES);
        state.delegate.max_inventory_page_bytes = Some(reduced);
        tracing::error!(%error, page_bytes = reduced, "inventory page too large for the store; page size halved");
    }
}
