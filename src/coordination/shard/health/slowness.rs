//! Finding machines on which tasks run far longer than others of the same job elsewhere.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Phase, Shard};
use crate::protocol::users::JobKind;
use crate::protocol::{AttemptId, MachineId};

/// Least number of completed tasks of a job, and least share of its tasks, that
/// tell how long the others should run: the first to end are the shortest.
const LEAST_COMPLETED: u32 = 3;
const LEAST_COMPLETED_SHARE: f64 = 0.5;
/// A task that has run this much longer than the average of its job is overdue.
const FAR_SLOWER: f64 = 2.5;
/// Room for short tasks, whose times say little.
const ALLOWANCE: Duration = Duration::from_secs(5);
/// Overdue tasks after which a machine is given up.
const SLOW_TASKS: u32 = 2;

/// Run times of one job's completed tasks.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunTimes {
    total: Duration,
    count: u32,
}

impl RunTimes {
    pub fn note(&mut self, ran: Duration) {
        self.total += ran;
        self.count += 1;
    }

    /// The time past which a task is overdue, once enough are known.
    fn overdue_after(&self, tasks: u32) -> Option<Duration> {
        let enough = self.count >= LEAST_COMPLETED
            && f64::from(self.count) >= f64::from(tasks) * LEAST_COMPLETED_SHARE;
        enough.then(|| (self.total / self.count).mul_f64(FAR_SLOWER) + ALLOWANCE)
    }
}

impl Shard {
    /// Gives machines up on which several tasks run far longer than others of their
    /// jobs do elsewhere: their work moves, as far as it can be saved with it.
    pub(in crate::coordination::shard) fn find_slow_machines(&mut self, now: Instant) {
        let mut overdue: Vec<(MachineId, AttemptId)> = Vec::new();
        for job in self.jobs.values() {
            // Tasks that resume from a checkpoint run for any time.
            let bound = job.ran.overdue_after(job.spec.tasks);
            let comparable = job.spec.checkpoint_s <= 0.0 && !job.spec.is_gang();
            let Some(bound) = bound.filter(|_| comparable) else {
                continue;
            };
            let mut hosts: Vec<&MachineId> = job.live().values().collect();
            hosts.sort();
            hosts.dedup();
            for machine in hosts.into_iter().filter_map(|id| self.machines.get(id)) {
                for (key, attempt) in machine.attempts_of(&job.id) {
                    let over = attempt
                        .running_since
                        .is_some_and(|since| now.saturating_duration_since(since) > bound);
                    let runs = attempt.phase == Phase::Running && attempt.stop.is_none();
                    if over && runs && !attempt.overdue {
                        overdue.push((machine.id.clone(), key.clone()));
                    }
                }
            }
        }
        let mut slow: Vec<MachineId> = Vec::new();
        for (id, key) in overdue {
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            if let Some(attempt) = machine.attempts.get_mut(&key) {
                attempt.overdue = true;
                machine.slow_tasks += 1;
            }
            if machine.slow_tasks >= SLOW_TASKS && !machine.cordoned {
                machine.cordoned = true;
                tracing::info!(machine = %machine.id, "machine given up: its tasks run far longer than others of their jobs");
                slow.push(machine.id.clone());
            }
        }
        for id in slow {
            self.clear_slow_machine(&id);
        }
    }

    fn clear_slow_machine(&mut self, id: &MachineId) {
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
