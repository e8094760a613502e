//! Acquires the shard for the election: one transaction creates the leader record, attached to a
//! newly granted lease. The record's revision is the fencing token of the new leadership.

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

/// The outcome of an attempt to acquire the shard.
enum Acquisition {
    /// This process leads the shard, under this lease.
    Acquired(Arc<ShardLease>),
    /// This attempt certainly didn't write the leader record, or the record is certainly revoked.
    NotAcquired,
    /// The transaction got no answer, and the store may still apply it.
    Unknown,
}

/// Tries to acquire the shard. Returns the lease, whose renewal has started, or `None` if this node
/// must not campaign, didn't acquire the shard, or doesn't know whether it did.
pub(super) async fn acquire(node: &Arc<Node>) -> Option<Arc<ShardLease>> {
    if node.campaign_blocked_until().is_some() {
        return None;
    }
    node.lock().candidacy.acquiring = true;
    let acquisition = try_acquire(node).await;
    // While the outcome is unknown, this node grants no other leader a lease extension: this
    // node may be about to lead the shard itself.
    node.lock().candidacy.acquiring = matches!(acquisition, Acquisition::Unknown);
    match acquisition {
        Acquisition::Acquired(lease) => Some(lease),
        Acquisition::NotAcquired | Acquisition::Unknown => None,
    }
}

async fn try_acquire(node: &Arc<Node>) -> Acquisition {
    let sent = node.now();
    let time_to_live = node.settings.operator.lease_ttl();
    let Ok(lease_id) = node.clients.kv.grant_lease(time_to_live, KV_DEADLINE).await else {
        // If the store granted the lease all the same, no record is attached to the lease, and it
        // expires unused.
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
            // The store may still apply the transaction. Revoking the lease deletes the leader
            // record with it. If the revocation gets no answer either, the election revokes the
            // lease when it finds the record.
            warn!(%error, "the shard could not be acquired");
            match node.clients.kv.revoke_lease(lease_id, KV_DEADLINE).await {
                Ok(()) => Acquisition::NotAcquired,
                Err(_) => Acquisition::Unknown,
            }
        }
    }
}

/// Builds the transaction that creates the leader record if there is none.
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

/// Begins a leadership whose lease was requested from the store at `sent`, and starts renewing it.
fn begin_lease(
    node: &Arc<Node>,
    lease_id: u64,
    fencing_token: FencingToken,
    sent: Instant,
) -> Arc<ShardLease> {
    let deadline = lease::deadline(&node.settings.operator, sent);
    let lease = ShardLease::new(lease_id, fencing_token, sent, deadline, node.now());
    let lease = Arc::new(lease);
    info!(%fencing_token, lease = lease_id, "shard acquired");
    node.lock().candidacy.latest_fencing_token = fencing_token;
    // The renewal task ends by itself once the lease has ended.
    tokio::spawn(renewal::renew_until_ended(node.clone(), lease.clone()));
    lease
}
