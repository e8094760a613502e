//! Transitions of a job's durable state that the store has to commit before anybody gets a confirmation.

use super::keys;
use super::records::FinalRecord;
use crate::protocol::kv::{Mutation, Transaction};

/// Replaces a job's open record, if it is still the one of this revision, by its final one. The
/// precondition makes it happen at most once: of a completion and a cancellation that meet, one
/// is committed, and a final state never changes.
pub fn finish_job(
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
