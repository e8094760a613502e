//! Completion of jobs: replaces the record of a finished job by its final record, and reads the
//! final record of a job that this leader didn't finish itself.

use std::sync::Arc;

use tracing::error;

use super::fencing::may_still_lead;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::retry::Backoff;
use crate::protocol::users::JobStage;
use crate::storage::kv_client::TransactionOutcome;
use crate::storage::records::{FinalRecord, JobRecord};
use crate::storage::{job_transition, keys};

/// The result of one attempt to finish a job.
enum FinishAttempt {
    /// The job is finished. The stage is `Some` if this attempt finished it, `None` if its
    /// unfinished record was already gone.
    Finished(Option<JobStage>),
    /// The attempt must not be repeated: the job's record cannot be parsed, the final record
    /// cannot be encoded, or another controller leads.
    GiveUp,
    /// The attempt has to be repeated: a request to the store failed or was not answered,
    /// or the job's record has changed.
    Retry,
}

/// Records in the store that a job is done, unless its user has cancelled it first. Retries after
/// failures until the lease ends, and notifies the shard once the job is finished.
pub(super) async fn finish(
    node: &Arc<Node>,
    lease: &Arc<ShardLease>,
    job: &str,
    mod_revision: u64,
) {
    let mut backoff = Backoff::default();
    while !lease.has_ended() {
        match try_finish(node, lease, job, mod_revision).await {
            FinishAttempt::Finished(stage) => {
                node.with_shard(lease, "jobs", |shard, _| shard.job_finished(job, stage));
                return;
            }
            FinishAttempt::GiveUp => return,
            FinishAttempt::Retry => backoff.wait().await,
        }
    }
}

async fn try_finish(
    node: &Node,
    lease: &ShardLease,
    job: &str,
    mod_revision: u64,
) -> FinishAttempt {
    let item = match node.clients.kv.get(&keys::job(job), KV_DEADLINE).await {
        Ok(Some(item)) => item,
        Ok(None) => return FinishAttempt::Finished(None),
        Err(_) => return FinishAttempt::Retry,
    };
    let record = match serde_json::from_value::<JobRecord>(item.value) {
        Ok(record) => record,
        Err(error) => {
            error!(job, %error, "the record of a finished job cannot be parsed");
            return FinishAttempt::GiveUp;
        }
    };
    let final_record =
        FinalRecord::new(JobStage::Done, record.spec).shortened_to(node.value_bytes());
    let Ok(transaction) = job_transition::finish_job_transaction(job, mod_revision, &final_record)
    else {
        return FinishAttempt::GiveUp;
    };
    let transaction = transaction.guard(keys::leader(), lease.fencing_token.revision());
    match node.clients.kv.txn(&transaction, KV_DEADLINE).await {
        Ok(TransactionOutcome::Committed { .. }) => FinishAttempt::Finished(Some(JobStage::Done)),
        Ok(TransactionOutcome::Conflict) if !may_still_lead(node, lease).await => {
            FinishAttempt::GiveUp
        }
        Ok(TransactionOutcome::Conflict) | Err(_) => FinishAttempt::Retry,
    }
}

/// Reads the final record of a job whose unfinished record is missing, and passes it to the
/// shard. Retries after failures until the lease ends.
pub(super) async fn read_final_record(node: &Arc<Node>, lease: &Arc<ShardLease>, job: &str) {
    let mut backoff = Backoff::default();
    while !lease.has_ended() {
        if let Ok(item) = node
            .clients
            .kv
            .get(&keys::final_job(job), KV_DEADLINE)
            .await
        {
            let record = item.and_then(|item| serde_json::from_value(item.value).ok());
            node.with_shard(lease, "jobs", |shard, _| {
                shard.orphan_job_resolved(job, record)
            });
            return;
        }
        backoff.wait().await;
    }
}
