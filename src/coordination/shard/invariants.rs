//! Invariants of the shard: of its decisions on cancelled jobs, checked where the decisions leave it, and
//! of what workers may list after its commands.
//!
//! A violation is a fault of the program. It is logged and counted, and the decision is corrected;
//! it ends no controller.

use thiserror::Error;

use super::Shard;
use crate::protocol::{AttemptId, MachineId, TaskId};

/// A decision that the shard's own knowledge forbids, or a heartbeat that its earlier decisions should
/// have made impossible.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvariantViolation {
    /// A reconciled heartbeat lists a task of a job that is not open, and no stop was requested.
    #[error("no stop was requested for a listed task of a job that is not open")]
    MissingStop {
        /// The worker's machine.
        machine: MachineId,
        /// The attempt that runs.
        attempt: AttemptId,
    },
    /// A batch of commands launches a task of a job that is not open.
    #[error("a launch was decided for a job that is not open")]
    LaunchOfClosedJob {
        /// The worker's machine.
        machine: MachineId,
        /// The attempt that would start.
        attempt: AttemptId,
    },
    /// An attempt that had ended is live again: a copy of its launch was carried out after the worker
    /// had forgotten it.
    #[error("an attempt that had ended runs again")]
    EndedAttemptRuns {
        /// The worker's machine.
        machine: MachineId,
        /// The attempt that runs.
        attempt: AttemptId,
    },
    /// A worker lists an attempt that this leader launched, and removed with the proof that it can't
    /// start any more.
    #[error("an attempt that was proven to be over is listed again")]
    RemovedAttemptListed {
        /// The worker's machine.
        machine: MachineId,
        /// The attempt that is listed.
        attempt: AttemptId,
    },
}

impl InvariantViolation {
    fn subject(&self) -> (&MachineId, &AttemptId) {
        let (Self::MissingStop { machine, attempt }
        | Self::LaunchOfClosedJob { machine, attempt }
        | Self::EndedAttemptRuns { machine, attempt }
        | Self::RemovedAttemptListed { machine, attempt }) = self;
        (machine, attempt)
    }
}

impl Shard {
    /// Logs and counts a violation. Ends the test in which it happens, unless the test brings it about.
    pub(super) fn report_violation(&mut self, violation: &InvariantViolation) {
        let (machine, attempt) = violation.subject();
        tracing::error!(
            fencing_token = %self.fencing_token,
            %machine,
            task = %attempt.task,
            attempt = attempt.number,
            reason = %violation,
            "invariant violated"
        );
        self.violation_count += 1;
        #[cfg(test)]
        assert!(
            self.are_violations_expected,
            "{violation}: {attempt:?} on {machine}"
        );
    }

    /// Lets a test bring about violations.
    #[cfg(test)]
    pub fn expect_violations(&mut self) {
        self.are_violations_expected = true;
    }

    /// How many violations were reported.
    #[cfg(test)]
    pub fn violation_count(&self) -> u64 {
        self.violation_count
    }

    /// Whether a task may run as far as this leader knows: its job is unfinished and has the task.
    pub(super) fn is_open_task(&self, task: &TaskId) -> bool {
        self.jobs
            .get(&task.job)
            .is_some_and(|job| job.final_stage.is_none() && task.index < job.spec.tasks)
    }
}
