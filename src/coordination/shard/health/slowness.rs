//! Detects machines on which tasks run far longer than tasks of the same job elsewhere.

use std::time::{Duration, Instant};

use super::machine_health::log_cordon;
use crate::coordination::shard::{Attempt, Job, Machine, Phase, Shard};
use crate::protocol::users::JobKind;
use crate::protocol::{AttemptId, MachineId};

/// Fewest completed tasks of a job from which the expected run time of its other tasks is derived.
const MIN_COMPLETED_TASKS: u32 = 3;
/// Smallest share of a job's tasks that must have completed for the same purpose, since the first
/// tasks to complete are the shortest.
const MIN_COMPLETED_SHARE: f64 = 0.5;
/// A task is overdue once it has run for this many times the mean run time of its job's completed
/// tasks, plus [`RUN_TIME_MARGIN`].
const OVERDUE_RUN_TIME_FACTOR: f64 = 2.5;
/// Time added to that multiple, for short tasks, whose run times vary more.
const RUN_TIME_MARGIN: Duration = Duration::from_secs(5);

/// The run times of one job's completed tasks, as their sum and number.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTimes {
    total: Duration,
    count: u32,
}

impl RunTimes {
    /// Adds the run time of a task that has completed.
    pub fn add(&mut self, run_time: Duration) {
        self.total += run_time;
        self.count += 1;
    }

    /// The run time beyond which a task is overdue, for a job with this many tasks; None while too
    /// few of them have completed.
    fn overdue_after(&self, tasks: u32) -> Option<Duration> {
        let has_enough = self.count >= MIN_COMPLETED_TASKS
            && f64::from(self.count) >= f64::from(tasks) * MIN_COMPLETED_SHARE;
        has_enough
            .then(|| (self.total / self.count).mul_f64(OVERDUE_RUN_TIME_FACTOR) + RUN_TIME_MARGIN)
    }
}

/// An attempt that has run for too long and is not yet counted against its machine.
struct OverdueAttempt {
    machine: MachineId,
    attempt: AttemptId,
}

impl Shard {
    /// Cordons machines on which several tasks run far longer than tasks of the same jobs
    /// elsewhere, and stops their tasks so that they start on other machines. Batch and gang tasks
    /// get time to save a checkpoint.
    pub(in crate::coordination::shard) fn find_slow_machines(&mut self, now: Instant) {
        let overdue: Vec<OverdueAttempt> = self
            .jobs
            .values()
            .flat_map(|job| self.overdue_attempts(job, now))
            .collect();
        let slow_machines: Vec<MachineId> = overdue
            .iter()
            .filter_map(|overdue| self.note_overdue(overdue))
            .collect();
        for id in slow_machines {
            self.evict_tasks(&id);
        }
    }

    /// The overdue attempts of one job.
    fn overdue_attempts(&self, job: &Job, now: Instant) -> Vec<OverdueAttempt> {
        // The run time of an attempt that resumes from a checkpoint may have any length.
        let is_comparable = job.spec.checkpoint_s <= 0.0 && !job.spec.is_gang();
        let overdue_after = job.run_times.overdue_after(job.spec.tasks);
        let Some(overdue_after) = overdue_after.filter(|_| is_comparable) else {
            return Vec::new();
        };
        let mut hosts: Vec<&MachineId> = job.live().machines().collect();
        hosts.sort();
        hosts.dedup();
        let hosts = hosts.into_iter().filter_map(|id| self.machines.get(id));
        hosts
            .flat_map(|machine| overdue_on(machine, job, overdue_after, now))
            .collect()
    }

    /// Counts an overdue attempt against its machine; returns the machine's id if the machine is
    /// cordoned as a result.
    fn note_overdue(&mut self, overdue: &OverdueAttempt) -> Option<MachineId> {
        let machine = self.machines.get_mut(&overdue.machine)?;
        machine.attempts.get_mut(&overdue.attempt)?.is_overdue = true;
        let reason = machine.health.note_overdue_attempt()?;
        log_cordon(&machine.id, reason);
        Some(machine.id.clone())
    }

    /// Stops all tasks on a machine. Tasks of batch and gang jobs get time to save a checkpoint.
    fn evict_tasks(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for attempt in machine.attempts.values_mut() {
            let Some(spec) = attempt.spec.clone() else {
                continue;
            };
            attempt.request_stop(match spec.kind {
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
    let is_late = attempt
        .running_since
        .is_some_and(|since| now.saturating_duration_since(since) > overdue_after);
    is_late
        && attempt.phase == Phase::Running
        && attempt.stop_grace().is_none()
        && !attempt.is_overdue
}
