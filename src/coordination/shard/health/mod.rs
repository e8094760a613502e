//! Health of jobs and machines, judged from how attempts end and how long they run.
//!
//! A faulty machine fails tasks of sound jobs; a job submitted with a mistake fails on every
//! machine. A single failure doesn't show which of the two is at fault, so jobs and machines are
//! compared with one another:
//!
//! - A job whose tasks fail on several machines without a success is *crash-looping*
//!   ([`FailureHistory`]): its failures are no evidence against machines, and only a few of its
//!   tasks are tried at a time, with increasing pauses, until one succeeds.
//! - A machine on which recent failures of several jobs have no known cause is
//!   *quarantined* ([`MachineHealth`]): it gets no new tasks for a while.
//! - A machine on which tasks of several sound jobs failed, or run far longer than elsewhere
//!   ([`RunTimes`]), is *cordoned*: it gets no new tasks and is deleted once it is empty.
//!
//! The shard calls `failures` as heartbeats report ended attempts, and `slowness` about once
//! a second. This module starts no tasks and deletes no machines: the scheduler and the autoscaler
//! act on its results.

mod failure_evidence;
mod failure_history;
mod failures;
mod machine_health;
mod slowness;

pub use failure_history::FailureHistory;
pub use machine_health::MachineHealth;
pub(super) use slowness::RunTimes;

use failure_evidence::FailureEvidence;
pub(in crate::coordination::shard) use failure_history::FailedAttempt;

#[cfg(test)]
mod tests;
