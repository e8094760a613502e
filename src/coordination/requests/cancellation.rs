//! Cancelling a job: the durable write before the user gets a confirmation.

use std::sync::Arc;

use super::kv_access::{read, read_final, write_in_turn};
use super::response::UserResponse;
use crate::coordination::node::Node;
use crate::protocol::kv::{KeyValue, KvRequest};
use crate::protocol::users::JobStage;
use crate::storage::kv_client::{KvError, Refusal, TransactionOutcome};
use crate::storage::records::{FinalRecord, JobRecord};
use crate::storage::{job_transition, keys};

/// How often a cancellation is tried while others change the job's record.
const CANCEL_ATTEMPTS: u32 = 6;

/// Cancels a job, or answers with its final state if it has one already.
pub(super) async fn cancel(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    for _ in 0..CANCEL_ATTEMPTS {
        let Some(open) = read(node, &keys::job(id)).await? else {
            return answer_not_open(node, id).await;
        };
        if let Some(response) = try_cancel(node, id, open).await? {
            return Ok(response);
        }
    }
    Err(KvError::Refused {
        request: KvRequest::Transaction,
        reason: Refusal::TooManyConflicts,
    })
}

async fn answer_not_open(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    Ok(match read_final(node, id).await? {
        Some(record) => UserResponse::after_cancellation(id, record.stage),
        None => UserResponse::not_found(),
    })
}

/// Replaces the open job's record by a final one; `None` if the record has changed meanwhile.
async fn try_cancel(
    node: &Arc<Node>,
    id: &str,
    open: KeyValue,
) -> Result<Option<UserResponse>, KvError> {
    let job: JobRecord = serde_json::from_value(open.value)
        .map_err(|source| KvError::undecodable_record(&open.key, source))?;
    let record = FinalRecord::new(JobStage::Cancelled, job.spec).shortened_to(node.value_bytes());
    let transaction = job_transition::finish_job_transaction(id, open.mod_revision, &record)
        .map_err(|source| KvError::unencodable("a final record", source))?;
    match write_in_turn(node, &transaction).await? {
        TransactionOutcome::Committed { revision } => {
            node.job_index.record_final(id, &record, revision);
            node.notify_finished_jobs();
            Ok(Some(UserResponse::after_cancellation(
                id,
                JobStage::Cancelled,
            )))
        }
        TransactionOutcome::Conflict => Ok(None),
    }
}
