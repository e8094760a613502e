//! Facts of jobs that must be written before they are told.

use super::keys;
use super::records::FinalRecord;
use crate::protocol::kv::{Mutation, Transaction};

/// Moves a job from its unfinished record, at a known version, to its final
/// one. A job never moves back.
pub fn finish_job(
    id: &str,
    mod_revision: u64,
    last: &FinalRecord,
) -> Result<Transaction, serde_json::Error> {
    Ok(Transaction::default()
        .guard(keys::job(id), mod_revision)
        .change(Mutation::delete(keys::job(id)))
        .change(Mutation::put(
            keys::final_job(id),
            serde_json::to_value(last)?,
        )))
}
