//! Writes of the shard's keys, which are fenced and applied in order.
//!
//! Each write is one transaction. It is conditional on the leader record of this leadership, so
//! no write is applied once another controller leads, and on the sequence record that the
//! previous write left, so no write is applied twice or before its predecessor.

use tracing::{debug, error, warn};

use super::fencing::may_still_lead;
use crate::coordination::leadership::lease::{Sequence, ShardLease};
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::retry::Backoff;
use crate::coordination::shard::ShardWrite;
use crate::protocol::kv::{Mutation, Transaction};
use crate::storage::keys;
use crate::storage::kv_client::{KvError, TransactionOutcome};
use crate::storage::records::{FORMAT_VERSION, SequenceRecord};

/// The final outcome of a shard write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The store has applied the write at this revision.
    Applied { revision: u64 },
    /// The store refuses the write as too large and would do so again.
    TooLarge,
    /// The lease ended before the write was known to be applied, or the sequence record can't be
    /// encoded.
    LeaseEnded,
}

/// The result of one attempt to apply a write.
enum WriteAttempt {
    /// The store has applied the write, in this attempt or an earlier one.
    Applied {
        /// The modification revision of the sequence record after the write.
        mod_revision: u64,
    },
    /// The store refuses the write as too large.
    TooLarge,
    /// Another controller leads or wrote the sequence record. The lease has been ended.
    Superseded,
    /// The write is not known to be applied and has to be sent again.
    Retry,
}

/// Applies one shard write. Retries after failures until the lease ends.
pub(super) async fn write(node: &Node, lease: &ShardLease, write: &ShardWrite) -> WriteOutcome {
    let mut sequence = lease.sequence.lock().await;
    let record = SequenceRecord {
        format_version: FORMAT_VERSION,
        fencing_token: lease.fencing_token,
        number: sequence.number + 1,
    };
    let Ok(transaction) = fenced_transaction(lease, *sequence, &record, write) else {
        return WriteOutcome::LeaseEnded;
    };
    let mut backoff = Backoff::default();
    while !lease.has_ended() {
        match try_write(node, lease, *sequence, &record, &transaction).await {
            WriteAttempt::Applied { mod_revision } => {
                debug!(
                    fencing_token = %lease.fencing_token,
                    revision = mod_revision,
                    mutations = write.mutations.len(),
                    "shard write applied"
                );
                *sequence = Sequence {
                    mod_revision,
                    number: record.number,
                };
                return WriteOutcome::Applied {
                    revision: mod_revision,
                };
            }
            WriteAttempt::TooLarge => return WriteOutcome::TooLarge,
            WriteAttempt::Superseded => return WriteOutcome::LeaseEnded,
            WriteAttempt::Retry => backoff.wait().await,
        }
    }
    WriteOutcome::LeaseEnded
}

async fn try_write(
    node: &Node,
    lease: &ShardLease,
    sequence: Sequence,
    record: &SequenceRecord,
    transaction: &Transaction,
) -> WriteAttempt {
    match node.clients.kv.txn(transaction, KV_DEADLINE).await {
        Ok(TransactionOutcome::Committed { revision }) => WriteAttempt::Applied {
            mod_revision: revision,
        },
        Ok(TransactionOutcome::Conflict) | Err(KvError::NoAnswer { .. }) => {
            resolve_attempt(node, lease, sequence, record).await
        }
        Err(KvError::TooLarge { answer, .. }) => {
            error!(fencing_token = %lease.fencing_token, answer, "the store refused a shard write as too large");
            WriteAttempt::TooLarge
        }
        Err(error) if error.is_protocol_error() => {
            error!(fencing_token = %lease.fencing_token, %error, "unexpected answer to a shard write");
            WriteAttempt::Retry
        }
        Err(_) => WriteAttempt::Retry,
    }
}

/// Builds the transaction of a write. Its conditions are that the leader record is that of this
/// lease and that the sequence record is as the previous write left it. It also writes `record`
/// as the new sequence record.
fn fenced_transaction(
    lease: &ShardLease,
    sequence: Sequence,
    record: &SequenceRecord,
    write: &ShardWrite,
) -> Result<Transaction, serde_json::Error> {
    let mut transaction = Transaction::default()
        .guard(keys::leader(), lease.fencing_token.revision())
        .guard(keys::sequence(), sequence.mod_revision)
        .change(Mutation::put(
            keys::sequence(),
            serde_json::to_value(record)?,
        ));
    transaction
        .mutations
        .extend(write.mutations.iter().cloned());
    Ok(transaction)
}

/// Determines whether a write was applied after its transaction got a conflict or no answer, by
/// reading the sequence record from the store. `record` is the sequence record of this write,
/// `sequence` describes that of the previous write.
async fn resolve_attempt(
    node: &Node,
    lease: &ShardLease,
    sequence: Sequence,
    record: &SequenceRecord,
) -> WriteAttempt {
    let mod_revision = match read_sequence(node).await {
        Ok(Some(found)) if found.record == *record => {
            return WriteAttempt::Applied {
                mod_revision: found.mod_revision,
            };
        }
        Ok(found) => found.map_or(0, |found| found.mod_revision),
        Err(_) => return WriteAttempt::Retry,
    };
    if mod_revision != sequence.mod_revision {
        warn!(fencing_token = %lease.fencing_token, "lease superseded: another controller wrote the shard's sequence record");
        lease.end();
        return WriteAttempt::Superseded;
    }
    if may_still_lead(node, lease).await {
        WriteAttempt::Retry
    } else {
        WriteAttempt::Superseded
    }
}

/// The sequence record as read from the store.
struct StoredSequence {
    record: SequenceRecord,
    mod_revision: u64,
}

/// Reads the sequence record. Returns `None` if it is missing or cannot be parsed.
async fn read_sequence(node: &Node) -> Result<Option<StoredSequence>, KvError> {
    let item = node.clients.kv.get(&keys::sequence(), KV_DEADLINE).await?;
    Ok(item.and_then(|item| {
        let record = serde_json::from_value(item.value).ok()?;
        Some(StoredSequence {
            record,
            mod_revision: item.mod_revision,
        })
    }))
}
