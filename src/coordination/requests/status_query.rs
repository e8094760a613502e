//! Querying a job's state.

use std::sync::Arc;

use super::kv_access::{read_final, retry_rate_limited};
use super::response::UserResponse;
use crate::coordination::node::Node;
use crate::coordination::shard::TaskCounts;
use crate::storage::job_index::{FinalState, JobStatus};
use crate::storage::kv_client::KvError;

/// Answers with a job's state.
///
/// The unfinished jobs are searched first: a job's record moves from there to its final record
/// and never back, so that a job found in neither was never accepted.
pub(super) async fn poll(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    retry_rate_limited(|| node.catch_up()).await?;
    match node.job_index.status(id) {
        JobStatus::Open => Ok(UserResponse::unfinished_job(id, task_counts(node, id))),
        JobStatus::Finished(FinalState { stage, tasks }) => {
            Ok(UserResponse::finished_job(id, stage, tasks))
        }
        JobStatus::Unknown => Ok(match read_final(node, id).await? {
            Some(record) => UserResponse::finished_job(id, record.stage, record.tasks),
            None => UserResponse::not_found(),
        }),
    }
}

/// The counts of an unfinished job's tasks: from the shard if this controller leads it, otherwise
/// from the leader's last heartbeat.
fn task_counts(node: &Node, id: &str) -> TaskCounts {
    let inner = node.lock();
    let counts = match &inner.leadership {
        Some(own) => own.shard.view(id),
        None => inner.peers.progress.get(id).copied(),
    };
    counts.unwrap_or_default()
}
