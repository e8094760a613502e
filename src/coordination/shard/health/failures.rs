//! What failed attempts say of their job and of the machines they ran on.
//!
//! A faulty machine fails tasks of sound jobs; a job submitted with a mistake fails on
//! every machine. One failure doesn't tell the two apart, so jobs and machines are judged
//! against one another: a job that fails in several places without any success is no
//! evidence against a machine, and gets few tries at a time until one succeeds.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::coordination::shard::{Job, Phase, Shard};
use crate::protocol::{JobId, MachineId};

/// On how many machines a job without a success has to fail to be suspected of failing
/// everywhere.
const MACHINES_TO_SUSPECT: usize = 3;
/// The same in rounds of failures, where there are fewer machines.
const ROUNDS_TO_SUSPECT: u32 = 4;
/// Tasks of a suspected job that may exist at a time.
const TRIES_AT_ONCE: u32 = 2;
/// Pause after the second round of failures in a row; it doubles with each one more.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause between two tries of a job that fails everywhere.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// Share by which pauses are spread, so that jobs that failed together don't come back
/// together.
const JITTER: f64 = 0.25;
/// A task that has run for so many times the longest failed attempt, and some more, is a
/// success.
const OUTLIVED: u32 = 2;
const OUTLIVED_MARGIN: Duration = Duration::from_secs(5);
/// How many sound jobs must fail on a machine before it is given up.
const SOUND_JOBS_TO_CORDON: usize = 2;
/// How many jobs must fail on a machine before it gets no new tasks for a while.
const JOBS_TO_QUARANTINE: usize = 2;
/// How long a failure whose cause isn't known counts against its machine.
const QUARANTINE: Duration = Duration::from_secs(60);

/// A job's failed attempts since its last success.
#[derive(Debug, Default)]
pub struct FailureHistory {
    /// Where its tasks failed, to be avoided. A success elsewhere doesn't clear this.
    machines: BTreeSet<MachineId>,
    /// Of these, those since the last success.
    unexplained: usize,
    /// Rounds of failures in a row: attempts that were under way together count once.
    rounds: u32,
    /// When the last round began.
    last_round: Option<Instant>,
    /// How long a failed attempt ran at the most.
    longest_run: Duration,
}

impl FailureHistory {
    /// Whether a task of the job has failed on a machine.
    pub fn includes(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// On how many machines tasks of it have failed.
    pub fn machines(&self) -> usize {
        self.machines.len()
    }

    /// Whether nothing has failed since the last success.
    pub fn is_clear(&self) -> bool {
        self.rounds == 0
    }

    /// Whether the job is likely to fail everywhere.
    pub fn is_suspect(&self) -> bool {
        self.unexplained >= MACHINES_TO_SUSPECT || self.rounds >= ROUNDS_TO_SUSPECT
    }

    /// Notes a failure of an attempt that began at `began` and ran for `ran`; returns the
    /// pause until the next try, if one is due.
    fn note_failure(
        &mut self,
        job: &JobId,
        machine: &MachineId,
        began: Instant,
        ran: Duration,
        now: Instant,
    ) -> Option<Duration> {
        if self.machines.insert(machine.clone()) {
            self.unexplained += 1;
        }
        self.longest_run = self.longest_run.max(ran);
        if self.last_round.is_some_and(|round| began <= round) {
            return None;
        }
        self.last_round = Some(now);
        self.rounds += 1;
        // A single failure is most likely the machine's fault: try elsewhere at once.
        let doubled = self.rounds.checked_sub(2)?.min(16);
        let pause = (FIRST_PAUSE * (1 << doubled)).min(LONGEST_PAUSE);
        Some(pause.mul_f64(1.0 + JITTER * spread(job, self.rounds)))
    }

    /// A task has succeeded: what failed so far says nothing of the job any more.
    fn note_success(&mut self) {
        self.unexplained = 0;
        self.rounds = 0;
        self.last_round = None;
    }

    /// How long a task has to run to count as a success.
    fn success_after(&self) -> Duration {
        self.longest_run * OUTLIVED + OUTLIVED_MARGIN
    }
}

/// A number from -1 to 1 that differs from job to job and from round to round.
fn spread(job: &JobId, round: u32) -> f64 {
    let mut hasher = DefaultHasher::new();
    (job, round).hash(&mut hasher);
    hasher.finish() as f64 / u64::MAX as f64 * 2.0 - 1.0
}

/// Jobs that failed on one machine, as evidence against it.
#[derive(Debug, Default)]
pub struct FailureEvidence {
    /// Jobs that have succeeded elsewhere.
    sound: BTreeSet<JobId>,
    /// Jobs of which nothing else is known, and when they failed.
    open: Vec<(JobId, Instant)>,
}

impl FailureEvidence {
    /// Whether the machine should get no new tasks until more is known.
    pub fn quarantines(&self, now: Instant) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < QUARANTINE;
        let open = self.open.iter().filter(|(_, at)| recent(at)).count();
        open > 0 && self.sound.len() + open >= JOBS_TO_QUARANTINE
    }

    fn note_failure(&mut self, job: &JobId, sound: bool, now: Instant) {
        self.withdraw(job);
        if sound {
            self.sound.insert(job.clone());
        } else if !self.sound.contains(job) {
            self.open
                .retain(|(_, at)| now.saturating_duration_since(*at) < QUARANTINE);
            self.open.push((job.clone(), now));
        }
    }

    /// The job has succeeded elsewhere.
    fn confirm(&mut self, job: &JobId) {
        if self.withdraw(job) {
            self.sound.insert(job.clone());
        }
    }

    /// The job is no evidence; true if it was some.
    fn withdraw(&mut self, job: &JobId) -> bool {
        let before = self.open.len();
        self.open.retain(|(open, _)| open != job);
        self.open.len() < before
    }

    fn proves_fault(&self) -> bool {
        self.sound.len() >= SOUND_JOBS_TO_CORDON
    }
}

impl Job {
    /// Whether its tries are limited, since it has failed everywhere so far.
    pub fn is_suspect(&self) -> bool {
        self.failures.is_suspect()
    }

    /// How many more of its tasks may be started, as far as its failures tell.
    pub(in crate::coordination::shard) fn tries_left(&self) -> u32 {
        if self.is_suspect() && !self.spec.is_gang() {
            TRIES_AT_ONCE.saturating_sub(self.live().len() as u32)
        } else {
            u32::MAX
        }
    }
}

impl Shard {
    /// An attempt that began at `began` failed by itself after it had run for `ran`.
    pub(in crate::coordination::shard) fn attempt_failed(
        &mut self,
        id: &JobId,
        machine_id: &MachineId,
        began: Instant,
        ran: Duration,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let was_suspect = job.is_suspect();
        let pause = job.failures.note_failure(id, machine_id, began, ran, now);
        if let Some(pause) = pause {
            job.not_before = Some(now + pause);
        }
        if job.is_suspect() {
            if !was_suspect {
                tracing::info!(job = %id, "job fails everywhere: few of its tasks are tried at a time");
                self.withdraw_evidence(id);
            }
            return;
        }
        let sound = !job.done().is_empty();
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.failures.note_failure(id, sound, now);
        }
        self.cordon_if_faulty(machine_id);
    }

    /// A task of a job has completed, or has run for long: where others of it failed, the
    /// machine is more likely at fault.
    pub(in crate::coordination::shard) fn task_succeeded(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.failures.is_clear() {
            return;
        }
        if job.is_suspect() {
            tracing::info!(job = %id, "a task of a job that failed everywhere has succeeded");
        }
        job.failures.note_success();
        job.not_before = None;
        for machine_id in job.failures.machines.clone() {
            if let Some(machine) = self.machines.get_mut(&machine_id) {
                machine.failures.confirm(id);
            }
            self.cordon_if_faulty(&machine_id);
        }
    }

    /// A job that fails everywhere, or that was cancelled, is no evidence against the
    /// machines on which it failed.
    pub(in crate::coordination::shard) fn withdraw_evidence(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for machine_id in &job.failures.machines {
            if let Some(machine) = self.machines.get_mut(machine_id) {
                machine.failures.withdraw(id);
            }
        }
    }

    fn cordon_if_faulty(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.failures.proves_fault() && !machine.cordoned {
            machine.cordoned = true;
            tracing::info!(machine = %id, "machine given up: tasks of several jobs failed on it");
        }
    }

    /// Takes tasks that have run for longer than any failed attempt of their job for
    /// successes: a service has no other.
    pub(in crate::coordination::shard) fn note_outliving_tasks(&mut self, now: Instant) {
        let failing = self.jobs.values().filter(|job| !job.failures.is_clear());
        let outlived: Vec<JobId> = failing
            .filter(|job| self.has_outliving_task(job, now))
            .map(|job| job.id.clone())
            .collect();
        for id in outlived {
            self.task_succeeded(&id);
        }
    }

    fn has_outliving_task(&self, job: &Job, now: Instant) -> bool {
        let long_enough = job.failures.success_after();
        let hosts = job.live().values().filter_map(|id| self.machines.get(id));
        hosts
            .flat_map(|machine| machine.attempts_of(&job.id))
            .any(|(_, attempt)| {
                let since = attempt
                    .running_since
                    .filter(|_| attempt.phase == Phase::Running);
                since.is_some_and(|since| now.saturating_duration_since(since) > long_enough)
            })
    }
}
