//! A machine's health: the evidence that it is faulty or slow, and whether it may get tasks.

use std::fmt;
use std::time::Instant;

use super::FailureEvidence;
use crate::protocol::{JobId, MachineId};

/// Number of overdue attempts on a machine after which it is cordoned.
const OVERDUE_ATTEMPTS_TO_CORDON: u32 = 2;

/// Why a machine was cordoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CordonReason {
    /// Tasks of several jobs failed on the machine, while other tasks of these jobs succeeded.
    Failures,
    /// Several tasks ran far longer on the machine than tasks of the same jobs elsewhere.
    Slowness,
}

impl fmt::Display for CordonReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "tasks of several sound jobs failed on it",
            Self::Slowness => "its tasks run far longer than others of their jobs",
        })
    }
}

/// The health of one machine, judged from the attempts on it.
///
/// Invariant: the machine is cordoned as soon as the evidence suffices, and stays cordoned.
#[derive(Debug, Default)]
pub struct MachineHealth {
    failures: FailureEvidence,
    overdue_attempts: u32,
    cordon_reason: Option<CordonReason>,
}

impl MachineHealth {
    /// Whether the machine gets no new tasks and is deleted once it is empty.
    pub fn is_cordoned(&self) -> bool {
        self.cordon_reason.is_some()
    }

    /// Whether the machine gets no new tasks for now, because recent failures of several jobs may
    /// be its fault.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.failures.is_quarantined(now)
    }

    /// Records that a job failed on the machine. Returns the reason if the machine is cordoned as a
    /// result.
    pub(super) fn note_failure(
        &mut self,
        job: &JobId,
        is_sound: bool,
        now: Instant,
    ) -> Option<CordonReason> {
        self.failures.note_failure(job, is_sound, now);
        self.cordon_if(self.failures.proves_fault(), CordonReason::Failures)
    }

    /// Records that a job that may have failed on the machine has succeeded elsewhere. Returns the
    /// reason if the machine is cordoned as a result.
    pub(super) fn confirm_failure(&mut self, job: &JobId) -> Option<CordonReason> {
        self.failures.mark_job_sound(job);
        self.cordon_if(self.failures.proves_fault(), CordonReason::Failures)
    }

    /// Withdraws the failure of a job, if there is one, as evidence against the machine.
    pub(super) fn withdraw_failure(&mut self, job: &JobId) {
        self.failures.withdraw(job);
    }

    /// Records that one more attempt on the machine is overdue. Returns the reason if the machine
    /// is cordoned as a result.
    pub(super) fn note_overdue_attempt(&mut self) -> Option<CordonReason> {
        self.overdue_attempts += 1;
        let is_slow = self.overdue_attempts >= OVERDUE_ATTEMPTS_TO_CORDON;
        self.cordon_if(is_slow, CordonReason::Slowness)
    }

    fn cordon_if(&mut self, is_proven: bool, reason: CordonReason) -> Option<CordonReason> {
        if !is_proven || self.is_cordoned() {
            return None;
        }
        self.cordon_reason = Some(reason);
        self.cordon_reason
    }
}

/// Logs that a machine was cordoned.
pub(super) fn log_cordon(machine: &MachineId, reason: CordonReason) {
    tracing::info!(%machine, %reason, "machine cordoned");
}
