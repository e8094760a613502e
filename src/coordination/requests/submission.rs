//! Submitting a job: admission, and the durable write before the user gets a confirmation.

use std::sync::Arc;

use super::admission::{self, Inadmissible};
use super::kv_access::write_in_turn;
use super::response::UserResponse;
use super::status_query;
use crate::coordination::node::Node;
use crate::protocol::kv::{Mutation, Transaction};
use crate::protocol::users::JobSpec;
use crate::storage::keys;
use crate::storage::kv_client::{KvError, TransactionOutcome};
use crate::storage::records::{FORMAT_VERSION, JobRecord};

/// Accepts a job, or answers with its state if its id has been submitted before.
pub(super) async fn submit(
    node: &Arc<Node>,
    id: &str,
    spec: JobSpec,
) -> Result<UserResponse, KvError> {
    let types = node.lock().machine_types.clone();
    let Some(types) = types else {
        return Ok(UserResponse::unavailable(
            "the machine types are not known yet",
        ));
    };
    if let Err(reason) = admission::check(&node.policy, &types, &spec) {
        return Ok(reason.into());
    }
    let record = JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: node.clock.wall_ms(),
        spec,
    };
    let value = serde_json::to_value(&record)
        .map_err(|source| KvError::unencodable("a job's record", source))?;
    if value.to_string().len() > node.value_bytes() {
        return answer_too_large(node, id).await;
    }
    match write_in_turn(node, &creation(id, value)).await? {
        TransactionOutcome::Committed { revision } => {
            notify_shard(node, id, revision, record);
            Ok(UserResponse::accepted(id))
        }
        TransactionOutcome::Conflict => status_query::poll(node, id).await,
    }
}

/// A record that the store can't hold is refused, unless the job was accepted while the store's
/// limits were larger.
async fn answer_too_large(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    let state = status_query::poll(node, id).await?;
    if state.is_not_found() {
        return Ok(Inadmissible::RecordTooLarge.into());
    }
    Ok(state)
}

/// Writes the job's record, on condition that its id is neither open nor finished.
fn creation(id: &str, record: serde_json::Value) -> Transaction {
    Transaction::default()
        .guard(keys::job(id), 0)
        .guard(keys::final_job(id), 0)
        .change(Mutation::put(keys::job(id), record))
}

/// Hands the job to the shard, if this controller leads it; any other leader reads of it by its
/// watch.
fn notify_shard(node: &Arc<Node>, id: &str, revision: u64, record: JobRecord) {
    let Some(lease) = node.lease() else {
        return;
    };
    node.with_shard(&lease, "jobs", |shard, now| {
        node.notify_job_accepted(shard, id, revision, record, now);
    });
}
