//! The election: waits until the shard has no leader, then campaigns for it.
//!
//! Candidates don't vote on one another: the first transaction that creates the leader
//! record wins. A candidate that is worse placed waits for a while before it campaigns.

use std::sync::Arc;
use std::time::Duration;

use tracing::{debug, info};

use super::acquisition::acquire;
use super::candidacy::candidate_delay;
use super::leader_loop::lead;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::retry::Backoff;
use crate::protocol::kv::WatchEvent;
use crate::storage::keys;
use crate::storage::kv_client::{KeyList, KvError};
use crate::storage::records::LeaderRecord;

/// How long the store holds a watch of the leader record open while nothing changes.
const LEADER_WATCH_WAIT: Duration = Duration::from_secs(3);

/// Campaigns for the shard whenever it has no leader, and leads it when it wins. Runs as
/// long as the process.
pub async fn campaign(node: Arc<Node>) {
    let mut retry = Backoff::default();
    loop {
        match wait_for_vacancy(&node).await {
            Ok(()) => {
                retry.reset();
                if let Some(lease) = acquire(&node).await {
                    lead(&node, lease).await;
                }
            }
            Err(error) => {
                debug!(%error, "the leader record cannot be watched");
                retry.wait().await;
            }
        }
    }
}

/// Who wrote the leader record that the store holds, from the point of view of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordHolder {
    /// There is no record: the shard has no leader.
    Nobody,
    /// An earlier process of this controller. That process has ended: no two processes run with
    /// the same node id and addresses.
    EarlierIncarnation {
        /// The lease that the record is attached to.
        lease: u64,
    },
    /// This process, which doesn't lead the shard: the record is left over from a leadership that
    /// this process ended, or from an acquisition whose answer was lost and that the store
    /// applied too late to be used.
    ThisProcess {
        /// The lease that the record is attached to.
        lease: u64,
    },
    /// Another controller.
    OtherController,
}

impl RecordHolder {
    fn from_record(record: Option<&LeaderRecord>, node: &Node) -> Self {
        match record {
            None => Self::Nobody,
            Some(record) if record.node_id != node.node_id() => Self::OtherController,
            Some(record) if record.incarnation != node.incarnation => Self::EarlierIncarnation {
                lease: record.lease,
            },
            Some(record) => Self::ThisProcess {
                lease: record.lease,
            },
        }
    }
}

/// Waits until the shard has no leader and this candidate's delay is over.
async fn wait_for_vacancy(node: &Node) -> Result<(), KvError> {
    loop {
        let LeaderRecordRead { record, revision } = read_leader_record(node).await?;
        let holder = RecordHolder::from_record(record.as_ref(), node);
        node.lock().observed_leader = record;
        match holder {
            RecordHolder::Nobody => {
                if still_vacant_after_delay(node).await? {
                    return Ok(());
                }
            }
            RecordHolder::EarlierIncarnation { lease } => {
                info!(lease, "revoking the lease of this node's earlier process");
                node.clients.kv.revoke_lease(lease, KV_DEADLINE).await?;
                node.lock().candidacy.earlier_incarnation_led = true;
            }
            RecordHolder::ThisProcess { lease } => {
                node.clients.kv.revoke_lease(lease, KV_DEADLINE).await?;
            }
            RecordHolder::OtherController => watch_leader_record(node, revision).await?,
        }
    }
}

/// The result of a read of the leader record.
struct LeaderRecordRead {
    /// The record, if there is one that can be parsed.
    record: Option<LeaderRecord>,
    /// The revision of the store from which the record's next change can be watched.
    revision: u64,
}

async fn read_leader_record(node: &Node) -> Result<LeaderRecordRead, KvError> {
    let KeyList { items, revision } = node
        .clients
        .kv
        .list(&keys::leader_prefix(), KV_DEADLINE)
        .await?;
    let record = items
        .into_iter()
        .find(|item| item.key == keys::leader())
        .and_then(|item| serde_json::from_value(item.value).ok());
    Ok(LeaderRecordRead { record, revision })
}

/// Waits so that better placed candidates can campaign first. Returns whether the shard still has
/// no leader then.
async fn still_vacant_after_delay(node: &Node) -> Result<bool, KvError> {
    let delay = candidate_delay(node);
    if delay.is_zero() {
        return Ok(true);
    }
    tokio::time::sleep(delay).await;
    let record = node.clients.kv.get(&keys::leader(), KV_DEADLINE).await?;
    Ok(record.is_none())
}

/// Waits until the leader record changes or the watch times out.
async fn watch_leader_record(node: &Node, revision: u64) -> Result<(), KvError> {
    let page = node
        .clients
        .kv
        .watch(&keys::leader_prefix(), revision, LEADER_WATCH_WAIT)
        .await?;
    let deletes_leader_record = |event: &WatchEvent| matches!(event, WatchEvent::Delete { key, .. } if *key == keys::leader());
    if page.events.iter().any(deletes_leader_record) {
        node.lock().observed_leader = None;
    }
    Ok(())
}
