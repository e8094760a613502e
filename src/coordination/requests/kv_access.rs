//! Reads and writes of the key-value store on users' behalf.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::node::Node;
use crate::protocol::kv::{KeyValue, KvRequest, Transaction};
use crate::storage::keys;
use crate::storage::kv_client::{KvError, Refusal, TransactionOutcome, backoff};
use crate::storage::records::FinalRecord;

/// Deadline of one request to the store on a user's behalf.
const USER_KV_DEADLINE: Duration = Duration::from_millis(1500);
/// Retries after a 429, which means only that the store serves others just now.
const MAX_RATE_LIMIT_RETRIES: u32 = 4;

/// Repeats a request while the store is at its rate limit.
pub(super) async fn retry_rate_limited<T, F: Future<Output = Result<T, KvError>>>(
    mut request: impl FnMut() -> F,
) -> Result<T, KvError> {
    let mut retries = 0;
    loop {
        match request().await {
            Err(error) if error.is_rate_limited() && retries < MAX_RATE_LIMIT_RETRIES => {
                retries += 1;
                tokio::time::sleep(backoff(retries)).await;
            }
            result => return result,
        }
    }
}

/// Writes when it is this request's turn within the controller's share of the store's writes; a
/// request whose turn would come too late is refused at once.
pub(super) async fn write_in_turn(
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

/// Reads one key.
pub(super) async fn read(node: &Node, key: &str) -> Result<Option<KeyValue>, KvError> {
    retry_rate_limited(|| node.clients.kv.get(key, USER_KV_DEADLINE)).await
}

/// Reads a job's final record. The job index and the shard learn of it before the user does.
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
