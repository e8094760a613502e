//! Whether this controller still leads, by the leader record.

use tracing::{debug, warn};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::protocol::FencingToken;
use crate::storage::keys;

/// Whether the leader record may still be that of this lease; ends the lease if it surely
/// isn't.
pub(super) async fn may_still_lead(node: &Node, lease: &ShardLease) -> bool {
    match node.clients.kv.get(&keys::leader(), KV_DEADLINE).await {
        Ok(Some(item)) if item.mod_revision == lease.fencing_token.revision() => true,
        Ok(_) => {
            warn!(fencing_token = %lease.fencing_token, "superseded: the leader record is another's");
            lease.end();
            false
        }
        Err(_) => true,
    }
}

/// A worker has seen a higher fencing token than that of this lease.
pub(super) async fn check_fence(node: &Node, lease: &ShardLease, seen: FencingToken) {
    if may_still_lead(node, lease).await {
        debug!(
            fencing_token = %lease.fencing_token,
            %seen,
            "a worker has seen a higher fencing token"
        );
    }
}
