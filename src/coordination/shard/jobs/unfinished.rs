//! The form in which unfinished jobs are read from the key-value store.

use crate::storage::records::JobRecord;

/// An unfinished job as read from the key-value store.
#[derive(Debug, Clone)]
pub struct UnfinishedJob {
    /// The job's id.
    pub id: String,
    /// The store revision at which the job's record was last modified.
    pub mod_revision: u64,
    /// The job's record.
    pub record: JobRecord,
}

impl UnfinishedJob {
    /// Creates it from a job's id, the revision of its record, and the record.
    pub fn new(id: impl Into<String>, mod_revision: u64, record: JobRecord) -> Self {
        Self {
            id: id.into(),
            mod_revision,
            record,
        }
    }
}
