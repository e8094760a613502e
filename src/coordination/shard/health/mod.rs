//! Health of jobs and machines, as judged from how attempts end and how long they run.

mod failures;
mod slowness;

pub use failures::{FailureEvidence, FailureHistory};
pub use slowness::RunTimes;
