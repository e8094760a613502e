//! The published interfaces: types, parsing and validation.
//!
//! The wire's own field names appear only in this layer, as serde renames.

pub mod cloud;
pub mod kv;
pub mod peer_messages;
#[allow(
    missing_docs,
    reason = "the derive of rkyv adds fields without documentation"
)]
pub mod peers;
pub mod users;
pub mod workers;

use std::fmt;
use std::sync::Arc;

/// A job's id as its user chose it.
pub type JobId = Arc<str>;
/// A machine's name as the cloud gave it.
pub type MachineId = Arc<str>;

/// Identifies one term of a shard's leadership; a later leader's is larger.
///
/// It is the store revision at which the leader's record was written, so that it rises with
/// every election. It fences commands to workers, which drop those with a lower token than the
/// highest they have seen, and writes to the store, which require that the leader's record still
/// has this revision. On the wire to workers it is `Baton` (PROTOCOL, "Tokens").
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token of the leader whose record was written at this store revision.
    pub const fn new(revision: u64) -> Self {
        Self(revision)
    }

    /// The store revision at which the leader's record was written.
    pub const fn revision(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job that it belongs to.
    pub job: JobId,
    /// Its number in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads `job/index`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        if job.is_empty() || index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// One attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The attempt's number. It never repeats for a task, whatever a leader that failed had
    /// started. All tasks of one attempt of a gang carry the same.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
