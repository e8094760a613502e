//! A machine's health: the evidence against it, and whether it may get tasks.

use std::fmt;
use std::time::Instant;

use super::FailureEvidence;
use crate::protocol::{JobId, MachineId};

/// Overdue attempts after which a machine is cordoned.
const OVERDUE_ATTEMPTS_TO_CORDON: u32 = 2;

/// Why a machine was cordoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CordonReason {
    /// Tasks of several jobs that succeed elsewhere failed on it.
    Failures,
    /// Several of its tasks ran far longer than others of their jobs elsewhere.
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

/// What attempts have shown of a machine.
///
/// Invariant: it is cordoned from the moment at which its evidence suffices, and for good.
#[derive(Debug, Default)]
pub struct MachineHealth {
    failures: FailureEvidence,
    overdue_attempts: u32,
    cordon: Option<CordonReason>,
}

impl MachineHealth {
    /// Whether it gets no new tasks and is deleted once it is empty.
    pub fn is_cordoned(&self) -> bool {
        self.cordon.is_some()
    }

    /// Whether it gets no new tasks until more is known of recent failures.
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.failures.is_quarantined(now)
    }

    /// A job failed on it. Returns why it is cordoned if it is for this.
    pub(super) fn note_failure(
        &mut self,
        job: &JobId,
        sound: bool,
        now: Instant,
    ) -> Option<CordonReason> {
        self.failures.note_failure(job, sound, now);
        self.cordon_if(self.failures.proves_fault(), CordonReason::Failures)
    }

    /// A job that may have failed on it has succeeded elsewhere. Returns why it is cordoned
    /// if it is for this.
    pub(super) fn confirm_failure(&mut self, job: &JobId) -> Option<CordonReason> {
        self.failures.confirm(job);
        self.cordon_if(self.failures.proves_fault(), CordonReason::Failures)
    }

    /// The failure of a job that may have failed on it is no evidence.
    pub(super) fn withdraw_failure(&mut self, job: &JobId) {
        self.failures.withdraw(job);
    }

    /// One more attempt on it is overdue. Returns why it is cordoned if it is for this.
    pub(super) fn note_overdue_attempt(&mut self) -> Option<CordonReason> {
        self.overdue_attempts += 1;
        let slow = self.overdue_attempts >= OVERDUE_ATTEMPTS_TO_CORDON;
        self.cordon_if(slow, CordonReason::Slowness)
    }

    fn cordon_if(&mut self, proven: bool, reason: CordonReason) -> Option<CordonReason> {
        if !proven || self.is_cordoned() {
            return None;
        }
        self.cordon = Some(reason);
        self.cordon
    }
}

/// Logs that a machine was cordoned.
pub(super) fn log_cordon(machine: &MachineId, reason: CordonReason) {
    tracing::info!(%machine, %reason, "machine cordoned");
}
