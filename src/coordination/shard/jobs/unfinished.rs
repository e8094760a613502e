//! Unfinished jobs, as they are read from the key-value store.

use crate::storage::records::JobRecord;

/// An unfinished job in the key-value store.
#[derive(Debug, Clone)]
pub struct UnfinishedJob {
    /// The job's id.
    pub id: String,
    /// The revision at which the record was last modified.
    pub mod_revision: u64,
    /// The record.
    pub record: JobRecord,
}

impl UnfinishedJob {
    /// A job's record as it was read.
    pub fn new(id: impl Into<String>, mod_revision: u64, record: JobRecord) -> Self {
        Self {
            id: id.into(),
            mod_revision,
            record,
        }
    }
}
