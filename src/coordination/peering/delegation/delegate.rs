//! The delegate's part: it reads its delegation from the key-value store, and has it for as long as
//! the leader leaves it there.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::inventories::write_inventory;
use super::reachability_records::workers_without_leader;
use crate::coordination::clock_drift;
use crate::coordination::node::Node;
use crate::coordination::node::state::Delegation;
use crate::coordination::worker_leases::DELEGATION_TIME;
use crate::coordination::worker_leases::command_tokens::CommandTokens;
use crate::coordination::worker_leases::revoked_launches::RevokedLaunches;
use crate::protocol::FencingToken;
use crate::storage::keys;
use crate::storage::kv_client::{KeyList, KvError};
use crate::storage::records::DelegateRecord;
use crate::storage::revoked_launches::decode_pages;

/// Pause between two reads of this controller's delegation.
const DELEGATION_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long before the end of its delegation a delegate stops renewing leases, to allow for delays
/// of its own process.
const DELEGATION_MARGIN: Duration = Duration::from_millis(100);

/// Keeps this controller's delegation up to date for as long as the process lasts, and writes
/// the inventory that the leader asks for. The heartbeats of delegated workers are answered
/// elsewhere ([`crate::coordination::worker_heartbeats`]).
pub async fn serve_delegated_workers(node: Arc<Node>) {
    let mut next_page = 0;
    loop {
        tokio::time::sleep(DELEGATION_CHECK_INTERVAL).await;
        if workers_without_leader(&node) == 0 {
            set_delegation(&node, None);
            continue;
        }
        let Ok(delegation) = read_delegation(&node).await else {
            continue;
        };
        let began = set_delegation(&node, delegation);
        let Some(delegation) = delegation else {
            continue;
        };
        if delegation.wants_inventory {
            next_page = write_inventory(&node, delegation.tokens.leadership(), next_page).await;
        }
        if began {
            tracing::info!(
                fencing_token = %delegation.tokens.leadership(),
                "renewing leases of workers for the leader, which can't reach them"
            );
        }
    }
}

/// Reads this controller's delegation, and with it the launches that the leader has revoked; `None` if
/// it has none. The time for which it is valid counts
/// from when the read was sent.
async fn read_delegation(node: &Arc<Node>) -> Result<Option<Delegation>, KvError> {
    let sent = node.now();
    let prefix = keys::leader_prefix();
    // A delegate has to know the finished jobs: it stops their tasks on the workers whose
    // heartbeats it answers.
    let (list_result, catch_up_result) = tokio::join!(
        node.clients.kv.list(&prefix, DELEGATION_TIME),
        node.catch_up()
    );
    let records = list_result?;
    catch_up_result?;
    let delegation = find_delegation(node, &records, sent);
    if let Some(Delegation { tokens, .. }) = delegation {
        let fencing_token = tokens.leadership();
        let launches = decode_pages(&records.items, fencing_token);
        node.lock().delegate.revoked_launches = RevokedLaunches::new(fencing_token, launches);
    }
    Ok(delegation)
}

/// Finds this controller's delegation in the records. A delegation ends when the leader that gave
/// it is replaced.
fn find_delegation(node: &Node, records: &KeyList, sent: Instant) -> Option<Delegation> {
    let find = |key: String| records.items.iter().find(|item| item.key == key);
    let delegate = find(keys::delegate(node.node_id()))?;
    let record: DelegateRecord = serde_json::from_value(delegate.value.clone()).ok()?;
    let leader_token = FencingToken::new(find(keys::leader())?.mod_revision);
    (record.fencing_token == leader_token).then_some(Delegation {
        tokens: CommandTokens::of_leadership(leader_token).known_at(records.revision),
        until: sent + clock_drift::min_elapsed(DELEGATION_TIME) - DELEGATION_MARGIN,
        wants_inventory: record.inventory,
    })
}

/// Replaces this controller's delegation. Returns true if a delegation begins: there was none
/// before, or it was by another leader. Heartbeats that are still to be written to an earlier
/// leader's inventory are dropped.
fn set_delegation(node: &Node, delegation: Option<Delegation>) -> bool {
    let leadership = |delegation: Option<Delegation>| {
        delegation.map(|delegation| delegation.tokens.leadership())
    };
    let mut state = node.lock();
    let changed = leadership(state.delegate.delegation) != leadership(delegation);
    if changed {
        state.delegate.unwritten_heartbeats.clear();
    }
    state.delegate.delegation = delegation;
    changed && delegation.is_some()
}
