//! A job's failed attempts, and when the next may start.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::protocol::{JobId, MachineId};

/// On how many machines a job's tasks have to fail without a success for it to count as
/// crash-looping.
const MACHINES_TO_CRASH_LOOP: usize = 3;
/// The same in rounds of failures, for a cluster with fewer machines.
const ROUNDS_TO_CRASH_LOOP: u32 = 4;
/// Pause after the second round of failures in a row; it doubles with each further round.
const BACKOFF_BASE: Duration = Duration::from_secs(1);
/// Longest pause between two rounds, before jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// How often the pause doubles at the most: more would exceed [`BACKOFF_MAX`] anyway.
const BACKOFF_DOUBLINGS: u32 = 16;
/// Share of the pause by which it is shortened or prolonged, so that jobs that failed
/// together aren't retried together.
const BACKOFF_JITTER: f64 = 0.25;
/// A running task counts as a success after so many times its job's longest failed attempt,
/// and [`SUCCESS_MARGIN`] more.
const SUCCESS_MULTIPLE: u32 = 2;
/// Time added to that multiple, for jobs that fail at once.
const SUCCESS_MARGIN: Duration = Duration::from_secs(5);

/// An attempt that failed by itself.
#[derive(Debug, Clone, Copy)]
pub(in crate::coordination::shard) struct FailedAttempt<'a> {
    /// The job.
    pub job: &'a JobId,
    /// Where the attempt ran.
    pub machine: &'a MachineId,
    /// When the attempt was decided.
    pub began: Instant,
    /// For how long it ran.
    pub ran: Duration,
}

/// A job's failed attempts since its last success.
#[derive(Debug, Default)]
pub struct FailureHistory {
    /// Where its tasks failed: these machines are avoided. A success elsewhere doesn't
    /// clear them.
    machines: BTreeSet<MachineId>,
    /// How many of these were added since the last success.
    machines_since_success: usize,
    /// Rounds of failures since the last success: attempts that ran at the same time count
    /// as one round.
    rounds: u32,
    /// When the first failure of the last round was noted.
    last_round: Option<Instant>,
    /// The longest run of a failed attempt.
    longest_run: Duration,
}

impl FailureHistory {
    /// Whether a task of the job has failed on the machine.
    pub fn includes(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// On how many machines tasks of the job have failed.
    pub fn machines(&self) -> usize {
        self.machines.len()
    }

    /// The machines on which tasks of the job have failed.
    pub(super) fn failed_on(&self) -> &BTreeSet<MachineId> {
        &self.machines
    }

    /// Whether nothing has failed since the last success.
    pub fn is_clear(&self) -> bool {
        self.rounds == 0
    }

    /// Whether the job is likely to fail on every machine.
    pub fn is_crash_looping(&self) -> bool {
        self.machines_since_success >= MACHINES_TO_CRASH_LOOP || self.rounds >= ROUNDS_TO_CRASH_LOOP
    }

    /// Notes a failure; returns the pause until the next attempt, if one is due.
    pub(super) fn note_failure(
        &mut self,
        failure: &FailedAttempt<'_>,
        now: Instant,
    ) -> Option<Duration> {
        if self.machines.insert(failure.machine.clone()) {
            self.machines_since_success += 1;
        }
        self.longest_run = self.longest_run.max(failure.ran);
        if self.last_round.is_some_and(|round| failure.began <= round) {
            return None;
        }
        self.last_round = Some(now);
        self.rounds += 1;
        self.backoff(failure.job)
    }

    /// The pause after the present round. A single round is most likely the machine's fault:
    /// the job is retried elsewhere at once.
    fn backoff(&self, job: &JobId) -> Option<Duration> {
        let doublings = self.rounds.checked_sub(2)?.min(BACKOFF_DOUBLINGS);
        let pause = (BACKOFF_BASE * (1 << doublings)).min(BACKOFF_MAX);
        Some(pause.mul_f64(1.0 + BACKOFF_JITTER * jitter(job, self.rounds)))
    }

    /// A task has succeeded: earlier failures are no evidence against the job any more.
    pub(super) fn note_success(&mut self) {
        self.machines_since_success = 0;
        self.rounds = 0;
        self.last_round = None;
    }

    /// How long a task has to run to count as a success.
    pub(super) fn success_after(&self) -> Duration {
        self.longest_run * SUCCESS_MULTIPLE + SUCCESS_MARGIN
    }
}

/// A number from -1 to 1 that differs from job to job and from round to round.
fn jitter(job: &JobId, round: u32) -> f64 {
    let mut hasher = DefaultHasher::new();
    (job, round).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64 * 2.0 - 1.0
}
