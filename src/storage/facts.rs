//! Facts of jobs that must be written before they are told.

use super::keys;
use super::records::FinalRecord;
use crate::protocol::state::{Change, Txn};

/// Moves a job from its unfinished record, at a known version, to its final
/// one. A job never moves back.
pub fn end_job(id: &str, version: u64, last: &FinalRecord) -> Result<Txn, serde_json::Error> {
    Ok(Txn::default()
        .guard(keys::job(id), version)
        .change(Change::delete(keys::job(id)))
        .change(Change::put(
            keys::final_job(id),
            serde_json::to_value(last)?,
        )))
}
