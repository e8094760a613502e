//! Reads and writes of the key-value store on behalf of users.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::node::Node;
use crate::protocol::kv::{KeyValue, KvRequest, Transaction};
use crate::storage::keys;
use crate::storage::kv_client::{KvError, Refusal, TransactionOutcome, backoff};
use crate::storage::records::FinalRecord;

/// Time from sending a request to the store on behalf of a user until it counts as unanswered.
const USER_KV_DEADLINE: Duration = Duration::from_millis(1500);
/// Maximum number of retries after a 429, which only means that the store is busy with other
/// requests at the moment.
const MAX_RATE_LIMIT_RETRIES: u32 = 4;

/// Sends a request and retries it, up to [`MAX_RATE_LIMIT_RETRIES`] times and with backoff, while
/// the store refuses it because of its rate limit.
pub(super) async fn retry_rate_limited<T, F: Future<Output = Result<T, KvError>>>(
    mut send_request: impl FnMut() -> F,
) -> Result<T, KvError> {
    let mut retries = 0;
    loop {
        match send_request().await {
            Err(error) if error.is_rate_limited() && retries < MAX_RATE_LIMIT_RETRIES => {
                retries += 1;
                tokio::time::sleep(backoff(retries)).await;
            }
            result => return result,
        }
    }
}

/// Waits for a slot within this controller's share of the store's write rate, then runs the
/// transaction. If the wait would be too long, the request is refused immediately.
pub(super) async fn write_within_rate_share(
    node: &Node,
    transaction: &Transaction,
) -> Result<TransactionOutcome, KvError> {
    let Ok(wait) = node.admission.user_writes.reserve(node.now()) else {
        return Err(KvError::Refused {
            request: KvRequest::Transaction,
            reason: Refusal::LocalRateLimit,
        });
    };
    tokio::time::sleep(wait).await;
    retry_rate_limited(|| node.clients.kv.txn(transaction, USER_KV_DEADLINE)).await
}

/// Reads one key. Returns `None` if it doesn't exist.
pub(super) async fn read(node: &Node, key: &str) -> Result<Option<KeyValue>, KvError> {
    retry_rate_limited(|| node.clients.kv.get(key, USER_KV_DEADLINE)).await
}

/// Reads a job's final record. The job index and the shard are notified of it before this returns,
/// and so before the user is answered. Returns `None` if the job has no final record.
pub(super) async fn read_final(node: &Arc<Node>, id: &str) -> Result<Option<FinalRecord>, KvError> {
    let Some(item) = read(node, &keys::final_job(id)).await? else {
        return Ok(None);
    };
    let record: FinalRecord = serde_json::from_value(item.value)
        .map_err(|source| KvError::undecodable_record(&item.key, source))?;
    node.job_index.record_final(id, &record, item.mod_revision);
    node.notify_finished_jobs();
    Ok(Some(record))
}
