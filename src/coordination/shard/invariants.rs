//! Invariants of the shard's decisions on cancelled jobs, checked where the decisions leave it.
//!
//! A violation is a fault of the program. It is logged and counted, and the decision is corrected;
//! it ends no controller.

use thiserror::Error;

use super::Shard;
use crate::protocol::{AttemptId, MachineId, TaskId};

/// A decision that the shard's own knowledge forbids.
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
}

impl InvariantViolation {
    fn subject(&self) -> (&MachineId, &AttemptId) {
        let (Self::MissingStop { machine, attempt } | Self::LaunchOfClosedJob { machine, attempt }) =
            self;
        (machine, attempt)
    }
}

impl Shard {
    /// Logs and counts a violation. Ends the test in which it happens.
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
        panic!("{violation}: {attempt:?} on {machine}");
    }

    /// Whether a task may run as far as this leader knows: its job is unfinished and has the task.
    pub(super) fn is_open_task(&self, task: &TaskId) -> bool {
        self.jobs
            .get(&task.job)
            .is_some_and(|job| job.final_stage.is_none() && task.index < job.spec.tasks)
    }
}
