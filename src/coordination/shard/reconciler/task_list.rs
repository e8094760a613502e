//! Reconciliation of a heartbeat's task list with the attempts that the shard knows.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Action, Attempt, Phase, Shard};
use crate::protocol::workers::{TaskState, TaskStatus};
use crate::protocol::{AttemptId, MachineId};

impl Shard {
    /// Brings a machine's attempts in line with the list of a worker that has acknowledged
    /// this leader's fencing token, and to which therefore no older command applies.
    pub(super) fn reconcile_attempts(
        &mut self,
        id: &MachineId,
        tasks: &[TaskStatus],
        now: Instant,
    ) {
        let mut listed = Vec::with_capacity(tasks.len());
        for status in tasks {
            listed.push(status.attempt_id());
            self.apply_status(id, status, now);
        }
        listed.sort();
        for key in self.vanished_attempts(id, &listed) {
            self.remove_attempt(id, &key, now);
        }
    }

    /// Attempts that an earlier heartbeat listed and this one does not: they have ceased to
    /// exist. A launch that was never listed may still arrive at the worker.
    fn vanished_attempts(&self, id: &MachineId, listed: &[AttemptId]) -> Vec<AttemptId> {
        let Some(machine) = self.machines.get(id) else {
            return Vec::new();
        };
        machine
            .attempts
            .iter()
            .filter(|(key, attempt)| {
                attempt.phase != Phase::Launching && listed.binary_search(key).is_err()
            })
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Applies one line of the list to the attempt that it is about.
    fn apply_status(&mut self, id: &MachineId, status: &TaskStatus, now: Instant) {
        let key = status.attempt_id();
        let is_known = self
            .machines
            .get(id)
            .is_some_and(|machine| machine.attempts.contains_key(&key));
        if !is_known {
            self.adopt_attempt(id, &key, status.state != TaskState::Ended, now);
        }
        let phase = Phase::from(status);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(attempt) = machine.attempts.get_mut(&key) else {
            return;
        };
        if attempt.phase == phase {
            return;
        }
        let had_ended = attempt.ended();
        attempt.enter(phase, now);
        if phase == Phase::Running {
            tracing::debug!(machine = %id, task = %status.task, "task is running");
        }
        if let Some(spec) = attempt.spec.clone().filter(|_| phase.has_image()) {
            machine.use_image(&spec.image);
        }
        if let Phase::Ended(outcome) = phase
            && !had_ended
        {
            self.attempt_ended(id, &key, outcome, now);
        }
    }

    /// Adds an attempt that an earlier leader launched. It is stopped if its job is finished,
    /// or if its task is completed or has another attempt.
    fn adopt_attempt(&mut self, id: &MachineId, key: &AttemptId, is_live: bool, now: Instant) {
        let task = &key.task;
        let mut attempt = Attempt::adopted(now);
        match self.jobs.get_mut(&task.job) {
            Some(job) if task.index < job.spec.tasks => {
                attempt.spec = Some(job.spec.clone());
                if !job.needs_attempt(task.index) {
                    attempt.want_stop(Duration::ZERO);
                }
                if is_live {
                    job.add_placement(task.index, id);
                }
            }
            _ if is_live => {
                // The job finished before this leader was elected: its final record tells
                // what the attempt uses.
                attempt.want_stop(Duration::ZERO);
                self.out.push(Action::ReadFinal {
                    job: task.job.clone(),
                });
            }
            _ => {}
        }
        if let Some(machine) = self.machines.get_mut(id) {
            if is_live {
                machine.note_busy();
            }
            machine.attempts.insert(key.clone(), attempt);
        }
    }
}
