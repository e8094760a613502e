//! Checks against the leader record in the store whether this controller still leads.

use tracing::{debug, warn};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::protocol::CommandToken;
use crate::storage::keys;

/// Reads the leader record and returns whether this lease may still be the leader's. If the
/// record is missing or has another revision, the lease is ended. If the store can't be read,
/// the answer is true: only a successful read proves that the leadership was lost.
pub(super) async fn may_still_lead(node: &Node, lease: &ShardLease) -> bool {
    match node.clients.kv.get(&keys::leader(), KV_DEADLINE).await {
        Ok(Some(item)) if item.mod_revision == lease.fencing_token.revision() => true,
        Ok(_) => {
            warn!(fencing_token = %lease.fencing_token, "lease superseded: the leader record is missing or belongs to another term");
            lease.end();
            false
        }
        Err(_) => true,
    }
}

/// Checks the leadership after a worker has reported a fencing token higher than this lease's.
pub(super) async fn handle_higher_token(node: &Node, lease: &ShardLease, seen: CommandToken) {
    if may_still_lead(node, lease).await {
        debug!(
            fencing_token = %lease.fencing_token,
            %seen,
            "a worker has seen a higher fencing token"
        );
    }
}
