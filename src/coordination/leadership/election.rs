//! The election: waiting until the shard has no leader, and campaigning for it then.
//!
//! Candidates don't vote on one another. The first transaction that creates the leader
//! record wins; a candidate that is worse placed waits for a while before it tries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info};

use super::acquisition::acquire;
use super::leader_loop::lead;
use crate::coordination::node::state::NodeState;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::retry::Backoff;
use crate::protocol::kv::WatchEvent;
use crate::storage::keys;
use crate::storage::kv_client::KvError;
use crate::storage::records::LeaderRecord;

/// How long the store holds one watch of the leader record without a change.
const LEADER_WATCH_WAIT: Duration = Duration::from_secs(3);
/// How long a candidate outside the zone of most machines waits before it tries.
const FAR_ZONE_DELAY: Duration = Duration::from_millis(150);
/// The same if no worker has sent it a heartbeat lately either.
const NO_WORKERS_DELAY: Duration = Duration::from_millis(1000);
/// How long a worker's last heartbeat shows that the worker reaches this candidate.
const RECENT_WORKER: Duration = Duration::from_secs(4);
/// How long a candidate that lately couldn't reach enough workers waits.
const INELIGIBLE_DELAY: Duration = Duration::from_secs(4);
/// Added to the end of an extension vote, past which this candidate may try again.
const AFTER_VOTE_MARGIN: Duration = Duration::from_millis(10);

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

/// Whose leader record the store holds, seen from one process of one controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RecordOwner {
    /// There is no record: the shard has no leader.
    Nobody,
    /// An earlier process of this controller. That process has ended: no other has its
    /// node id and addresses.
    EarlierIncarnation {
        /// The lease that the record is attached to.
        lease: u64,
    },
    /// This process, which doesn't lead: a leadership that it gave up, or an acquisition
    /// whose answer was lost and that was applied too late to be used.
    ThisProcess {
        /// The lease that the record is attached to.
        lease: u64,
    },
    /// Another controller.
    OtherController,
}

impl RecordOwner {
    fn of(record: Option<&LeaderRecord>, node: &Node) -> Self {
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

/// Waits until the shard has no leader and it is this candidate's turn to try.
async fn wait_for_vacancy(node: &Node) -> Result<(), KvError> {
    loop {
        let (record, revision) = read_leader_record(node).await?;
        let owner = RecordOwner::of(record.as_ref(), node);
        node.lock().observed_leader = record;
        match owner {
            RecordOwner::Nobody => {
                if still_vacant_after_delay(node).await? {
                    return Ok(());
                }
            }
            RecordOwner::EarlierIncarnation { lease } => {
                info!(lease, "revoking the lease of this node's earlier process");
                node.clients.kv.revoke_lease(lease, KV_DEADLINE).await?;
                node.lock().candidacy.previous_run_ended = true;
            }
            RecordOwner::ThisProcess { lease } => {
                node.clients.kv.revoke_lease(lease, KV_DEADLINE).await?;
            }
            RecordOwner::OtherController => watch_leader_record(node, revision).await?,
        }
    }
}

/// The leader record, if there is one that can be read, and the revision from which its
/// next change can be watched.
async fn read_leader_record(node: &Node) -> Result<(Option<LeaderRecord>, u64), KvError> {
    let (items, revision) = node
        .clients
        .kv
        .list(&keys::leader_prefix(), KV_DEADLINE)
        .await?;
    let record = items
        .into_iter()
        .find(|item| item.key == keys::leader())
        .and_then(|item| serde_json::from_value(item.value).ok());
    Ok((record, revision))
}

/// Leaves better placed candidates their head start; false if one of them won.
async fn still_vacant_after_delay(node: &Node) -> Result<bool, KvError> {
    let delay = candidate_delay(node);
    if delay.is_zero() {
        return Ok(true);
    }
    tokio::time::sleep(delay).await;
    let record = node.clients.kv.get(&keys::leader(), KV_DEADLINE).await?;
    Ok(record.is_none())
}

/// Waits for a change of the leader record, for as long as one watch lasts.
async fn watch_leader_record(node: &Node, revision: u64) -> Result<(), KvError> {
    let page = node
        .clients
        .kv
        .watch(&keys::leader_prefix(), revision, LEADER_WATCH_WAIT)
        .await?;
    let deleted = |event: &WatchEvent| matches!(event, WatchEvent::Delete { key, .. } if *key == keys::leader());
    if page.events.iter().any(deleted) {
        node.lock().observed_leader = None;
    }
    Ok(())
}

/// How long this candidate waits before it tries to acquire a vacant shard.
fn candidate_delay(node: &Node) -> Duration {
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
        .any(|at| now.saturating_duration_since(*at) < RECENT_WORKER);
    match (far, has_recent_workers) {
        (true, false) => NO_WORKERS_DELAY,
        (true, true) => FAR_ZONE_DELAY,
        (false, _) => Duration::ZERO,
    }
}
