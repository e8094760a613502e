//! Transactions that change a job's durable state. The store has to commit one before any user or
//! controller gets a confirmation of the change.

use super::keys;
use super::records::FinalRecord;
use crate::protocol::kv::{Mutation, Transaction};

/// The transaction that replaces a job's open record by its final record, provided that the open
/// record is still at this revision. The precondition makes the transition happen at most once: if
/// a completion and a cancellation compete, only one is committed, and a final state never changes.
pub fn finish_job_transaction(
    id: &str,
    mod_revision: u64,
    record: &FinalRecord,
) -> Result<Transaction, serde_json::Error> {
    let record = serde_json::to_value(record)?;
    Ok(Transaction::default()
        .guard(keys::job(id), mod_revision)
        .change(Mutation::delete(keys::job(id)))
        .change(Mutation::put(keys::final_job(id), record)))
}
