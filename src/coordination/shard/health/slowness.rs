//! Machines on which tasks run far longer than others of the same job elsewhere.

use std::time::{Duration, Instant};

use super::machine_health::log_cordon;
use crate::coordination::shard::{Attempt, Job, Machine, Phase, Shard};
use crate::protocol::users::JobKind;
use crate::protocol::{AttemptId, MachineId};

/// Least number of a job's completed tasks that tell how long the others should run.
const MIN_COMPLETED: u32 = 3;
/// The same as a share of the job's tasks: the first to complete are the shortest.
const MIN_COMPLETED_SHARE: f64 = 0.5;
/// A task is overdue after so many times the mean run time of its job's completed tasks, and
/// [`RUN_TIME_MARGIN`] more.
const OVERDUE_MULTIPLE: f64 = 2.5;
/// Time added to that multiple, for short tasks, whose run times vary more.
const RUN_TIME_MARGIN: Duration = Duration::from_secs(5);

/// Run times of one job's completed tasks.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTimes {
    total: Duration,
    count: u32,
}

impl RunTimes {
    /// Notes that a task completed after it had run for `ran`.
    pub fn note(&mut self, ran: Duration) {
        self.total += ran;
        self.count += 1;
    }

    /// The run time past which a task of a job with so many tasks is overdue; none while too
    /// few have completed.
    fn overdue_after(&self, tasks: u32) -> Option<Duration> {
        let enough = self.count >= MIN_COMPLETED
            && f64::from(self.count) >= f64::from(tasks) * MIN_COMPLETED_SHARE;
        enough.then(|| (self.total / self.count).mul_f64(OVERDUE_MULTIPLE) + RUN_TIME_MARGIN)
    }
}

/// An attempt that has run for too long, not yet counted against its machine.
struct OverdueAttempt {
    machine: MachineId,
    attempt: AttemptId,
}

impl Shard {
    /// Cordons machines on which several tasks run far longer than others of their jobs do
    /// elsewhere, and moves their tasks, as far as checkpoints save their work.
    pub(in crate::coordination::shard) fn find_slow_machines(&mut self, now: Instant) {
        let overdue: Vec<OverdueAttempt> = self
            .jobs
            .values()
            .flat_map(|job| self.overdue_attempts(job, now))
            .collect();
        let slow: Vec<MachineId> = overdue
            .iter()
            .filter_map(|overdue| self.note_overdue(overdue))
            .collect();
        for id in slow {
            self.evict_tasks(&id);
        }
    }

    /// The overdue attempts of one job.
    fn overdue_attempts(&self, job: &Job, now: Instant) -> Vec<OverdueAttempt> {
        // Attempts that resume from a checkpoint run for any time.
        let comparable = job.spec.checkpoint_s <= 0.0 && !job.spec.is_gang();
        let overdue_after = job.ran.overdue_after(job.spec.tasks);
        let Some(overdue_after) = overdue_after.filter(|_| comparable) else {
            return Vec::new();
        };
        let mut hosts: Vec<&MachineId> = job.live().values().collect();
        hosts.sort();
        hosts.dedup();
        let hosts = hosts.into_iter().filter_map(|id| self.machines.get(id));
        hosts
            .flat_map(|machine| overdue_on(machine, job, overdue_after, now))
            .collect()
    }

    /// Counts an overdue attempt against its machine; returns the machine if it is cordoned
    /// for it.
    fn note_overdue(&mut self, overdue: &OverdueAttempt) -> Option<MachineId> {
        let machine = self.machines.get_mut(&overdue.machine)?;
        machine.attempts.get_mut(&overdue.attempt)?.overdue = true;
        let reason = machine.health.note_overdue_attempt()?;
        log_cordon(&machine.id, reason);
        Some(machine.id.clone())
    }

    /// Stops all tasks on a machine; those of batch jobs get the time to save a checkpoint.
    fn evict_tasks(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for attempt in machine.attempts.values_mut() {
            let Some(spec) = attempt.spec.clone() else {
                continue;
            };
            attempt.want_stop(match spec.kind {
                JobKind::Batch | JobKind::Gang => spec.save_time(),
                JobKind::Service => Duration::ZERO,
            });
        }
        self.needs_pass = true;
    }
}

/// The job's attempts on one machine that have become overdue.
fn overdue_on(
    machine: &Machine,
    job: &Job,
    overdue_after: Duration,
    now: Instant,
) -> impl Iterator<Item = OverdueAttempt> {
    let attempts = machine.attempts_of(&job.id);
    attempts
        .filter(move |(_, attempt)| is_overdue(attempt, overdue_after, now))
        .map(|(id, _)| OverdueAttempt {
            machine: machine.id.clone(),
            attempt: id.clone(),
        })
}

/// Whether an attempt has run for too long and doesn't count against its machine yet.
fn is_overdue(attempt: &Attempt, overdue_after: Duration, now: Instant) -> bool {
    let late = attempt
        .running_since
        .is_some_and(|since| now.saturating_duration_since(since) > overdue_after);
    late && attempt.phase == Phase::Running && attempt.stop().is_none() && !attempt.overdue
}
