//! Writes of the shard's keys: fenced, and applied in order.
//!
//! Each write is one transaction, conditional on the leader record of this leadership
//! and on the sequence record as the last write left it. So no write is applied once
//! another controller leads, none is applied twice, and none before its predecessor.

use tracing::{error, warn};

use super::fencing::may_still_lead;
use crate::coordination::leadership::lease::{Sequence, ShardLease};
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::retry::Backoff;
use crate::coordination::shard::ShardWrite;
use crate::protocol::kv::{Mutation, Transaction};
use crate::storage::keys;
use crate::storage::kv_client::{KvError, TransactionOutcome};
use crate::storage::records::{FORMAT_VERSION, SequenceRecord};

/// What became of a shard write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The store has applied it.
    Applied,
    /// The store will not take it as it is, now or later.
    TooLarge,
    /// The lease ended before the write was known to be applied.
    LeaseEnded,
}

/// What one try of a write came to.
enum WriteTry {
    /// The store has applied the write, by this try or an earlier one.
    Applied {
        /// The sequence record's new modification revision.
        mod_revision: u64,
    },
    /// The store refuses the write as it is.
    TooLarge,
    /// Another controller leads, or wrote the sequence record: the lease has been ended.
    Superseded,
    /// The write was not applied, as far as could be read: it has to be sent again.
    Unresolved,
}

/// Applies one shard write, again after failures, as long as the lease has not ended.
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
    let mut retry = Backoff::default();
    while !lease.has_ended() {
        match try_write(node, lease, *sequence, &record, &transaction).await {
            WriteTry::Applied { mod_revision } => {
                *sequence = Sequence {
                    mod_revision,
                    number: record.number,
                };
                return WriteOutcome::Applied;
            }
            WriteTry::TooLarge => return WriteOutcome::TooLarge,
            WriteTry::Superseded => return WriteOutcome::LeaseEnded,
            WriteTry::Unresolved => retry.wait().await,
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
) -> WriteTry {
    match node.clients.kv.txn(transaction, KV_DEADLINE).await {
        Ok(TransactionOutcome::Committed { revision }) => WriteTry::Applied {
            mod_revision: revision,
        },
        Ok(TransactionOutcome::Conflict) | Err(KvError::NoAnswer { .. }) => {
            resolve(node, lease, sequence, record).await
        }
        Err(KvError::TooLarge { answer, .. }) => {
            error!(fencing_token = %lease.fencing_token, answer, "the store refused a shard write as too large");
            WriteTry::TooLarge
        }
        Err(error) if error.is_protocol_error() => {
            error!(fencing_token = %lease.fencing_token, %error, "unexpected answer to a shard write");
            WriteTry::Unresolved
        }
        Err(_) => WriteTry::Unresolved,
    }
}

/// The write with its conditions: the leader record is ours, and the sequence record is
/// as the last write left it.
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

/// Finds out what a conflict or a lost answer means, by the sequence record in the store:
/// `record` is the one of this write, `sequence` that of the write before.
async fn resolve(
    node: &Node,
    lease: &ShardLease,
    sequence: Sequence,
    record: &SequenceRecord,
) -> WriteTry {
    let mod_revision = match read_sequence(node).await {
        Ok(Some(found)) if found.record == *record => {
            return WriteTry::Applied {
                mod_revision: found.mod_revision,
            };
        }
        Ok(found) => found.map_or(0, |found| found.mod_revision),
        Err(_) => return WriteTry::Unresolved,
    };
    if mod_revision != sequence.mod_revision {
        warn!(fencing_token = %lease.fencing_token, "superseded: another leader wrote the shard");
        lease.end();
        return WriteTry::Superseded;
    }
    if may_still_lead(node, lease).await {
        WriteTry::Unresolved
    } else {
        WriteTry::Superseded
    }
}

/// The sequence record in the store.
struct StoredSequence {
    record: SequenceRecord,
    mod_revision: u64,
}

/// Reads the sequence record; None if there is none that can be parsed.
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
