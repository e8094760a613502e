//! Submission of a job, which passes admission control and is written to the store before the
//! user gets a confirmation.

use std::sync::Arc;

use super::admission::{self, Inadmissible};
use super::kv_access::write_within_rate_share;
use super::response::UserResponse;
use super::status_query;
use crate::coordination::node::Node;
use crate::protocol::kv::{Mutation, Transaction};
use crate::protocol::users::JobSpec;
use crate::storage::keys;
use crate::storage::kv_client::{KvError, TransactionOutcome};
use crate::storage::records::{FORMAT_VERSION, JobRecord};

/// Accepts a job. If a job with this id has already been accepted, answers with that job's state.
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
    match write_within_rate_share(node, &create_job_transaction(id, value)).await? {
        TransactionOutcome::Committed { revision } => {
            notify_shard(node, id, revision, record);
            Ok(UserResponse::accepted(id))
        }
        TransactionOutcome::Conflict => status_query::poll(node, id).await,
    }
}

/// Answers a submission whose record exceeds the store's limit. It is refused, unless the job was
/// already accepted while the limit was higher: then the answer is that job's state.
async fn answer_too_large(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    let state = status_query::poll(node, id).await?;
    if state.is_not_found() {
        return Ok(Inadmissible::RecordTooLarge.into());
    }
    Ok(state)
}

/// Builds the transaction that writes a new job's record, on condition that no unfinished or
/// finished job has this id.
fn create_job_transaction(id: &str, record: serde_json::Value) -> Transaction {
    Transaction::default()
        .guard(keys::job(id), 0)
        .guard(keys::final_job(id), 0)
        .change(Mutation::put(keys::job(id), record))
}

/// Notifies the shard of the accepted job if this controller leads it. If another controller leads,
/// it learns of the job from its watch of the store.
fn notify_shard(node: &Arc<Node>, id: &str, revision: u64, record: JobRecord) {
    let Some(lease) = node.lease() else {
        return;
    };
    node.with_shard(&lease, "jobs", |shard, now| {
        node.notify_job_accepted(shard, id, revision, record, now);
    });
}
