//! Queries of a job's state.

use std::sync::Arc;

use super::kv_access::{read_final, retry_rate_limited};
use super::response::UserResponse;
use crate::coordination::node::Node;
use crate::coordination::shard::TaskCounts;
use crate::storage::job_index::{FinalState, JobStatus};
use crate::storage::kv_client::KvError;

/// Answers with a job's state.
///
/// The unfinished jobs are searched before the final records. A finished job's record is replaced
/// by a final record and never comes back, so a job found in neither was never accepted.
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

/// Returns the task counts of an unfinished job, from the shard if this controller leads it,
/// otherwise from the leader's last heartbeat. Counts that are unknown are 0.
fn task_counts(node: &Node, id: &str) -> TaskCounts {
    let state = node.lock();
    let counts = match &state.leadership {
        Some(leadership) => leadership.shard.task_counts(id),
        None => state.peers.progress.get(id).copied(),
    };
    counts.unwrap_or_default()
}
