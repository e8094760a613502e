//! Acquiring the shard: one transaction that creates the leader record under a fresh
//! lease. The record's revision is the fencing token of the new leadership.

use std::sync::Arc;
use std::time::Instant;

use tracing::{info, warn};

use super::lease::{self, ShardLease};
use super::renewal;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::protocol::FencingToken;
use crate::protocol::kv::{Mutation, Transaction};
use crate::storage::keys;
use crate::storage::kv_client::TransactionOutcome;
use crate::storage::records::{FORMAT_VERSION, LeaderRecord};

/// What became of an attempt to acquire the shard.
enum Acquisition {
    /// This process leads the shard, under this lease.
    Acquired(Arc<ShardLease>),
    /// The leader record was surely not written by this attempt, or is surely revoked.
    NotAcquired,
    /// The transaction has no answer and may yet be applied.
    Unknown,
}

/// Tries to acquire the shard; the lease that is returned is being renewed.
pub(super) async fn acquire(node: &Arc<Node>) -> Option<Arc<ShardLease>> {
    if node.campaign_blocked_until().is_some() {
        return None;
    }
    node.lock().candidacy.acquiring = true;
    let acquisition = try_acquire(node).await;
    // While the outcome is unknown, this node grants no other leader an extension: it
    // may be about to lead the shard itself.
    node.lock().candidacy.acquiring = matches!(acquisition, Acquisition::Unknown);
    match acquisition {
        Acquisition::Acquired(lease) => Some(lease),
        Acquisition::NotAcquired | Acquisition::Unknown => None,
    }
}

async fn try_acquire(node: &Arc<Node>) -> Acquisition {
    let sent = node.now();
    let time_to_live = node.settings.operator.lease();
    let Ok(lease_id) = node.clients.kv.grant_lease(time_to_live, KV_DEADLINE).await else {
        // If it was granted after all, no record is attached to it: it expires unused.
        return Acquisition::NotAcquired;
    };
    let Ok(transaction) = create_leader_record(node, lease_id) else {
        return Acquisition::NotAcquired;
    };
    match node.clients.kv.txn(&transaction, KV_DEADLINE).await {
        Ok(TransactionOutcome::Committed { revision }) => {
            let fencing_token = FencingToken::new(revision);
            Acquisition::Acquired(begin_lease(node, lease_id, fencing_token, sent))
        }
        Ok(TransactionOutcome::Conflict) => {
            let _ = node.clients.kv.revoke_lease(lease_id, KV_DEADLINE).await;
            Acquisition::NotAcquired
        }
        Err(error) => {
            // It may yet be applied. Revoking the lease deletes the record with it; if
            // that has no answer either, the election revokes it when it finds it.
            warn!(%error, "the shard could not be acquired");
            match node.clients.kv.revoke_lease(lease_id, KV_DEADLINE).await {
                Ok(()) => Acquisition::NotAcquired,
                Err(_) => Acquisition::Unknown,
            }
        }
    }
}

/// The transaction that creates the leader record, provided that there is none.
fn create_leader_record(node: &Node, lease_id: u64) -> Result<Transaction, serde_json::Error> {
    let record = LeaderRecord {
        format_version: FORMAT_VERSION,
        node_id: node.node_id().to_owned(),
        lease: lease_id,
        incarnation: node.incarnation,
    };
    let put = Mutation::Put {
        key: keys::leader(),
        value: serde_json::to_value(&record)?,
        lease: Some(lease_id),
    };
    Ok(Transaction::default().guard(keys::leader(), 0).change(put))
}

/// The leadership that begins with a lease asked for at `sent`, and its renewals.
fn begin_lease(
    node: &Arc<Node>,
    lease_id: u64,
    fencing_token: FencingToken,
    sent: Instant,
) -> Arc<ShardLease> {
    let until = lease::deadline(&node.settings.operator, sent);
    let lease = ShardLease::new(lease_id, fencing_token, sent, until, node.now());
    let lease = Arc::new(lease);
    info!(%fencing_token, lease = lease_id, "shard acquired");
    node.lock().candidacy.latest_fencing_token = fencing_token;
    // Ends by itself when the lease has ended.
    tokio::spawn(renewal::renew_until_ended(node.clone(), lease.clone()));
    lease
}
