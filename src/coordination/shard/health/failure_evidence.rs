//! The evidence that a machine is faulty: which jobs failed on it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::protocol::JobId;

/// How many sound jobs must fail on a machine before it is cordoned.
const SOUND_JOBS_TO_CORDON: usize = 2;
/// How many jobs must fail on a machine before it is quarantined.
const JOBS_TO_QUARANTINE: usize = 2;
/// How long a failure of a job that isn't known to be sound counts against its machine.
const QUARANTINE: Duration = Duration::from_secs(60);

/// The jobs that failed on one machine. A job is sound once a task of it has succeeded on
/// some machine.
#[derive(Debug, Default)]
pub(super) struct FailureEvidence {
    /// Jobs known to be sound.
    sound: BTreeSet<JobId>,
    /// Jobs not known to be sound, and when they failed.
    unexplained: Vec<(JobId, Instant)>,
}

impl FailureEvidence {
    /// Whether the machine should get no new tasks until more is known.
    pub(super) fn is_quarantined(&self, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < QUARANTINE;
        let unexplained = self.unexplained.iter().filter(|(_, at)| recent(at)).count();
        unexplained > 0 && self.sound.len() + unexplained >= JOBS_TO_QUARANTINE
    }

    /// A job failed on the machine.
    pub(super) fn note_failure(&mut self, job: &JobId, sound: bool, now: Instant) {
        self.withdraw(job);
        if sound {
            self.sound.insert(job.clone());
        } else if !self.sound.contains(job) {
            self.unexplained
                .retain(|(_, at)| now.saturating_duration_since(*at) < QUARANTINE);
            self.unexplained.push((job.clone(), now));
        }
    }

    /// The job has succeeded elsewhere: if it failed here, it is sound evidence.
    pub(super) fn confirm(&mut self, job: &JobId) {
        if self.withdraw(job) {
            self.sound.insert(job.clone());
        }
    }

    /// The job's unexplained failure is no evidence; returns whether there was one.
    pub(super) fn withdraw(&mut self, job: &JobId) -> bool {
        let before = self.unexplained.len();
        self.unexplained.retain(|(failed, _)| failed != job);
        self.unexplained.len() < before
    }

    /// Whether the machine is faulty beyond doubt.
    pub(super) fn proves_fault(&self) -> bool {
        self.sound.len() >= SOUND_JOBS_TO_CORDON
    }
}
