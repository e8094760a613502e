//! Cancellation of a job, which is written to the store before the user gets a confirmation.

use std::sync::Arc;

use tracing::info;

use super::kv_access::{read, read_final, write_within_rate_share};
use super::response::UserResponse;
use crate::coordination::node::Node;
use crate::protocol::kv::{KeyValue, KvRequest};
use crate::protocol::users::JobStage;
use crate::storage::kv_client::{KvError, Refusal, TransactionOutcome};
use crate::storage::records::{FinalRecord, JobRecord};
use crate::storage::{job_transition, keys};

/// Maximum number of attempts to cancel a job whose record is changed concurrently.
const CANCEL_ATTEMPTS: u32 = 6;

/// Cancels a job. If the job is already finished, answers with its final state instead.
pub(super) async fn cancel(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    for _ in 0..CANCEL_ATTEMPTS {
        let Some(open_record) = read(node, &keys::job(id)).await? else {
            return answer_finished_or_unknown(node, id).await;
        };
        if let Some(response) = try_cancel(node, id, open_record).await? {
            return Ok(response);
        }
    }
    Err(KvError::Refused {
        request: KvRequest::Transaction,
        reason: Refusal::TooManyConflicts,
    })
}

async fn answer_finished_or_unknown(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    Ok(match read_final(node, id).await? {
        Some(record) => UserResponse::after_cancellation(id, record.stage),
        None => UserResponse::not_found(),
    })
}

/// Replaces the record of an unfinished job by a final record. Returns `None` if the record has
/// changed since it was read.
async fn try_cancel(
    node: &Arc<Node>,
    id: &str,
    open_record: KeyValue,
) -> Result<Option<UserResponse>, KvError> {
    let job: JobRecord = serde_json::from_value(open_record.value)
        .map_err(|source| KvError::undecodable_record(&open_record.key, source))?;
    let final_record =
        FinalRecord::new(JobStage::Cancelled, job.spec).shortened_to(node.value_bytes());
    let transaction =
        job_transition::finish_job_transaction(id, open_record.mod_revision, &final_record)
            .map_err(|source| KvError::unencodable("a final record", source))?;
    match write_within_rate_share(node, &transaction).await? {
        TransactionOutcome::Committed { revision } => {
            info!(job = id, revision, "cancellation written");
            node.job_index.record_final(id, &final_record, revision);
            node.notify_finished_jobs();
            Ok(Some(UserResponse::after_cancellation(
                id,
                JobStage::Cancelled,
            )))
        }
        TransactionOutcome::Conflict => Ok(None),
    }
}
