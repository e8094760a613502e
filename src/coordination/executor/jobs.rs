//! Completion of jobs: moving a job's record to the finished ones, and reading the final
//! record of a job that finished elsewhere.

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

/// What one try to finish a job came to.
enum FinishTry {
    /// The job is finished: by this try as the stage says, or by someone else.
    Finished(Option<JobStage>),
    /// It is not to be repeated: its record cannot be parsed, or another controller leads.
    Abandoned,
    /// The store didn't answer, or the job's record changed meanwhile.
    Failed,
}

/// Records that a job is done, unless its user cancelled it first; again after failures,
/// until the lease ends.
pub(super) async fn finish(
    node: &Arc<Node>,
    lease: &Arc<ShardLease>,
    job: &str,
    mod_revision: u64,
) {
    let mut retry = Backoff::default();
    while !lease.has_ended() {
        match try_finish(node, lease, job, mod_revision).await {
            FinishTry::Finished(stage) => {
                node.with_shard(lease, "jobs", |shard, _| shard.job_finished(job, stage));
                return;
            }
            FinishTry::Abandoned => return,
            FinishTry::Failed => retry.wait().await,
        }
    }
}

async fn try_finish(node: &Node, lease: &ShardLease, job: &str, mod_revision: u64) -> FinishTry {
    let item = match node.clients.kv.get(&keys::job(job), KV_DEADLINE).await {
        Ok(Some(item)) => item,
        Ok(None) => return FinishTry::Finished(None),
        Err(_) => return FinishTry::Failed,
    };
    let record = match serde_json::from_value::<JobRecord>(item.value) {
        Ok(record) => record,
        Err(error) => {
            error!(job, %error, "the record of a finished job cannot be parsed");
            return FinishTry::Abandoned;
        }
    };
    let last = FinalRecord::new(JobStage::Done, record.spec).shortened_to(node.value_bytes());
    let Ok(transaction) = job_transition::finish_job_transaction(job, mod_revision, &last) else {
        return FinishTry::Abandoned;
    };
    let transaction = transaction.guard(keys::leader(), lease.fencing_token.revision());
    match node.clients.kv.txn(&transaction, KV_DEADLINE).await {
        Ok(TransactionOutcome::Committed { .. }) => FinishTry::Finished(Some(JobStage::Done)),
        Ok(TransactionOutcome::Conflict) if !may_still_lead(node, lease).await => {
            FinishTry::Abandoned
        }
        Ok(TransactionOutcome::Conflict) | Err(_) => FinishTry::Failed,
    }
}

/// Reads how a job ended whose unfinished record is missing; again after failures, until
/// the lease ends.
pub(super) async fn read_final(node: &Arc<Node>, lease: &Arc<ShardLease>, job: &str) {
    let mut retry = Backoff::default();
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
        retry.wait().await;
    }
}
