//! The history of a job's failed attempts, and the pause before its next attempt.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::protocol::{JobId, MachineId};

/// A job counts as crash-looping once its tasks have failed on this many machines without a
/// success.
const MACHINES_TO_CRASH_LOOP: usize = 3;
/// A job also counts as crash-looping after this many rounds of failures without a success, for
/// clusters with fewer machines.
const ROUNDS_TO_CRASH_LOOP: u32 = 4;
/// Pause after the second consecutive round of failures; it doubles with each further round.
const BACKOFF_BASE: Duration = Duration::from_secs(1);
/// Longest pause between two rounds, before jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Most times that the pause doubles: with more, it would exceed [`BACKOFF_MAX`] anyway.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Largest share of the pause by which jitter shortens or prolongs it, so that jobs that failed
/// together aren't retried together.
const BACKOFF_JITTER: f64 = 0.25;
/// A running task counts as a success once it has run for this many times the run time of its
/// job's longest failed attempt, plus [`SUCCESS_MARGIN`].
const SUCCESS_RUN_TIME_FACTOR: u32 = 2;
/// Time added to that multiple, for jobs whose attempts fail immediately.
const SUCCESS_MARGIN: Duration = Duration::from_secs(5);

/// An attempt that failed by itself.
#[derive(Debug, Clone, Copy)]
pub(in crate::coordination::shard) struct FailedAttempt<'a> {
    /// The job whose task was attempted.
    pub job: &'a JobId,
    /// The machine on which the attempt ran.
    pub machine: &'a MachineId,
    /// When the leader decided to start the attempt.
    pub created_at: Instant,
    /// For how long the attempt ran.
    pub run_time: Duration,
}

/// A job's failed attempts. A success resets the counts that make the job crash-looping, but not
/// the set of machines or the longest run time.
#[derive(Debug, Default)]
pub struct FailureHistory {
    /// The machines on which the job's tasks failed. They are avoided, even after a success on
    /// another machine.
    machines: BTreeSet<MachineId>,
    /// How many of `machines` were added since the last success.
    machines_since_success: usize,
    /// Rounds of failures since the last success. Failures of attempts that ran at the same time
    /// count as one round.
    rounds: u32,
    /// When the first failure of the last round was recorded.
    last_round_at: Option<Instant>,
    /// The longest run time of a failed attempt.
    longest_run: Duration,
}

impl FailureHistory {
    /// Whether a task of the job has failed on the machine.
    pub fn has_failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// The number of machines on which tasks of the job have failed.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The machines on which tasks of the job have failed.
    pub(super) fn machines(&self) -> &BTreeSet<MachineId> {
        &self.machines
    }

    /// Whether no task of the job has failed since the last success.
    pub fn is_clear(&self) -> bool {
        self.rounds == 0
    }

    /// Whether the job is likely to fail on every machine.
    pub fn is_crash_looping(&self) -> bool {
        self.machines_since_success >= MACHINES_TO_CRASH_LOOP || self.rounds >= ROUNDS_TO_CRASH_LOOP
    }

    /// Records a failure. Returns the pause before the next attempt if the failure starts a new
    /// round, other than the first one.
    pub(super) fn note_failure(
        &mut self,
        failure: &FailedAttempt<'_>,
        now: Instant,
    ) -> Option<Duration> {
        if self.machines.insert(failure.machine.clone()) {
            self.machines_since_success += 1;
        }
        self.longest_run = self.longest_run.max(failure.run_time);
        if self
            .last_round_at
            .is_some_and(|started| failure.created_at <= started)
        {
            return None;
        }
        self.last_round_at = Some(now);
        self.rounds += 1;
        self.backoff(failure.job)
    }

    /// The pause after the current round; None after the first one. A single round is most likely
    /// the machine's fault, so the job is retried on another machine at once.
    fn backoff(&self, job: &JobId) -> Option<Duration> {
        let doublings = self.rounds.checked_sub(2)?.min(MAX_BACKOFF_DOUBLINGS);
        let pause = (BACKOFF_BASE * (1 << doublings)).min(BACKOFF_MAX);
        Some(pause.mul_f64(1.0 + BACKOFF_JITTER * jitter(job, self.rounds)))
    }

    /// Records that a task has succeeded: earlier failures no longer count against the job.
    pub(super) fn note_success(&mut self) {
        self.machines_since_success = 0;
        self.rounds = 0;
        self.last_round_at = None;
    }

    /// The run time after which a running task counts as a success.
    pub(super) fn success_run_time(&self) -> Duration {
        self.longest_run * SUCCESS_RUN_TIME_FACTOR + SUCCESS_MARGIN
    }
}

/// A pseudo-random number from -1 to 1, derived from the job's id and the round.
fn jitter(job: &JobId, round: u32) -> f64 {
    let mut hasher = DefaultHasher::new();
    (job, round).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64 * 2.0 - 1.0
}
