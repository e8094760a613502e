//! Finding machines that are far slower than their kin.

use std::time::{Duration, Instant};

use super::{Phase, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::JobKind;

/// Least number of completed tasks of a job, and least share of its tasks, that
/// tell how long the others should run: the first to end are the shortest.
const KIN: u32 = 3;
const KIN_SHARE: f64 = 0.5;
/// A task that has run this much longer than its kin is overdue.
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
        let enough = self.count >= KIN && f64::from(self.count) >= f64::from(tasks) * KIN_SHARE;
        enough.then(|| (self.total / self.count).mul_f64(FAR_SLOWER) + ALLOWANCE)
    }
}

impl Shard {
    /// Gives machines up on which several tasks run far longer than their kin
    /// do elsewhere: their work moves, as far as it can be saved with it.
    pub(super) fn find_slow_machines(&mut self, now: Instant) {
        let mut slow: Vec<MachineId> = Vec::new();
        for machine in self.machines.values_mut() {
            for (key, attempt) in &mut machine.attempts {
                if attempt.overdue || attempt.phase != Phase::Running || attempt.stop.is_some() {
                    continue;
                }
                let bound = self
                    .jobs
                    .get(&key.0.job)
                    // Tasks that resume from a checkpoint run for any time.
                    .filter(|job| job.spec.checkpoint_s <= 0.0)
                    .and_then(|job| job.ran.overdue_after(job.spec.tasks));
                let ran = attempt
                    .running_since
                    .map(|since| now.saturating_duration_since(since));
                if let (Some(ran), Some(bound)) = (ran, bound)
                    && ran > bound
                {
                    attempt.overdue = true;
                    machine.slow_tasks += 1;
                }
            }
            if machine.slow_tasks >= SLOW_TASKS && !machine.condemned {
                machine.condemned = true;
                tracing::info!(machine = %machine.id, "machine given up: far slower than its kin");
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
                JobKind::Batch => spec.save_time(),
                JobKind::Standing => Duration::ZERO,
            });
        }
        self.restless = true;
    }
}
