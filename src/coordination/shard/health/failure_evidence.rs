//! The evidence that a machine is faulty: which jobs failed on it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::protocol::JobId;

/// How many sound jobs must fail on a machine before it is cordoned.
const SOUND_JOBS_TO_CORDON: usize = 2;
/// How many jobs must fail on a machine before it is quarantined.
const JOBS_TO_QUARANTINE: usize = 2;
/// How long a failure of a job that isn't known to be sound counts against its machine, from the
/// time of the failure.
const QUARANTINE_DURATION: Duration = Duration::from_secs(60);

/// The jobs that failed on one machine. A job is known to be sound once one of its tasks has
/// succeeded on any machine.
#[derive(Debug, Default)]
pub(super) struct FailureEvidence {
    /// Failed jobs that are known to be sound.
    sound: BTreeSet<JobId>,
    /// Failed jobs that are not known to be sound, with the time of each job's last failure.
    unexplained: Vec<(JobId, Instant)>,
}

impl FailureEvidence {
    /// Whether the machine should get no new tasks for now, because recent failures of several
    /// jobs may be its fault.
    pub(super) fn is_quarantined(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < QUARANTINE_DURATION;
        let unexplained = self
            .unexplained
            .iter()
            .filter(|(_, at)| is_recent(at))
            .count();
        unexplained > 0 && self.sound.len() + unexplained >= JOBS_TO_QUARANTINE
    }

    /// Records that a job failed on the machine. `is_sound` says that the job is known to be sound.
    pub(super) fn note_failure(&mut self, job: &JobId, is_sound: bool, now: Instant) {
        self.withdraw(job);
        if is_sound {
            self.sound.insert(job.clone());
        } else if !self.sound.contains(job) {
            self.unexplained
                .retain(|(_, at)| now.saturating_duration_since(*at) < QUARANTINE_DURATION);
            self.unexplained.push((job.clone(), now));
        }
    }

    /// Records that a task of the job has succeeded: if the job failed on this machine, that
    /// failure now counts as one of a sound job.
    pub(super) fn mark_job_sound(&mut self, job: &JobId) {
        if self.withdraw(job) {
            self.sound.insert(job.clone());
        }
    }

    /// Removes the job's unexplained failure from the evidence; returns whether there was one.
    pub(super) fn withdraw(&mut self, job: &JobId) -> bool {
        let before = self.unexplained.len();
        self.unexplained.retain(|(failed, _)| failed != job);
        self.unexplained.len() < before
    }

    /// Whether so many sound jobs failed on the machine that it has to be cordoned.
    pub(super) fn proves_fault(&self) -> bool {
        self.sound.len() >= SOUND_JOBS_TO_CORDON
    }
}
