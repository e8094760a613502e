//! Reconciliation of a heartbeat's task list with the attempts that the shard knows.

use std::time::{Duration, Instant};

use super::RemovalProof;
use super::recovery::launched_by;
use crate::coordination::shard::{Action, Attempt, InvariantViolation, Phase, Placement, Shard};
use crate::protocol::workers::{TaskState, TaskStatus};
use crate::protocol::{AttemptId, MachineId};

impl Shard {
    /// Updates a machine's attempts from the task list of its worker. The worker must have
    /// acknowledged this leader's fencing token, so that it executes no command of an earlier
    /// leader after this list.
    pub(super) fn reconcile_attempts(
        &mut self,
        machine_id: &MachineId,
        tasks: &[TaskStatus],
        now: Instant,
    ) {
        let mut listed_ids = Vec::with_capacity(tasks.len());
        for status in tasks {
            listed_ids.push(status.attempt_id());
            self.apply_status(machine_id, status, now);
        }
        listed_ids.sort();
        for attempt_id in self.unlisted_attempts(machine_id, &listed_ids) {
            self.remove_attempt(machine_id, &attempt_id, RemovalProof::NoLongerListed, now);
        }
    }

    /// Attempts that an earlier heartbeat listed and this one does not: they no longer exist. An
    /// attempt that no heartbeat has listed is left out, since its launch may still arrive at the
    /// worker. `listed_ids` must be sorted.
    fn unlisted_attempts(
        &self,
        machine_id: &MachineId,
        listed_ids: &[AttemptId],
    ) -> Vec<AttemptId> {
        let Some(machine) = self.machines.get(machine_id) else {
            return Vec::new();
        };
        machine
            .attempts
            .iter()
            .filter(|(attempt_id, attempt)| {
                attempt.phase != Phase::Launching && listed_ids.binary_search(attempt_id).is_err()
            })
            .map(|(attempt_id, _)| attempt_id.clone())
            .collect()
    }

    /// Applies one entry of the task list to its attempt.
    fn apply_status(&mut self, machine_id: &MachineId, status: &TaskStatus, now: Instant) {
        let attempt_id = status.attempt_id();
        let is_live = status.state != TaskState::Ended;
        let machine = self.machines.get(machine_id);
        let known = machine.and_then(|machine| machine.attempts.get(&attempt_id));
        match known.map(Attempt::ended) {
            None => {
                self.check_launched_by_earlier_leader(machine_id, &attempt_id);
                self.adopt_attempt(machine_id, &attempt_id, is_live, now);
            }
            Some(true) if is_live => self.revive_attempt(machine_id, &attempt_id, now),
            Some(_) => {}
        }
        let phase = Phase::from(status);
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(attempt) = machine.attempts.get_mut(&attempt_id) else {
            return;
        };
        if attempt.phase == phase {
            return;
        }
        let had_ended = attempt.ended();
        attempt.enter_phase(phase, now);
        if phase == Phase::Running {
            tracing::debug!(machine = %machine_id, task = %status.task, "task is running");
        }
        if let Some(spec) = attempt.spec.clone().filter(|_| phase.has_image()) {
            machine.note_image_use(&spec.image);
        }
        if let Phase::Ended(outcome) = phase
            && !had_ended
        {
            self.attempt_ended(machine_id, &attempt_id, outcome, now);
        }
    }

    /// Reports an attempt of this leader's that it had removed, since no copy of its launch could be
    /// carried out any more.
    fn check_launched_by_earlier_leader(&mut self, machine_id: &MachineId, attempt_id: &AttemptId) {
        if launched_by(attempt_id.number) == self.fencing_token {
            self.report_violation(&InvariantViolation::RemovedAttemptListed {
                machine: machine_id.clone(),
                attempt: attempt_id.clone(),
            });
        }
    }

    /// Replaces an attempt that had ended by one that runs: the worker has forgotten it, and a
    /// late copy of its launch started it again. Further copies may arrive, so it is not cleared again.
    fn revive_attempt(&mut self, machine_id: &MachineId, attempt_id: &AttemptId, now: Instant) {
        self.report_violation(&InvariantViolation::EndedAttemptRuns {
            machine: machine_id.clone(),
            attempt: attempt_id.clone(),
        });
        self.adopt_attempt(machine_id, attempt_id, true, now);
        let machine = self.machines.get_mut(machine_id);
        if let Some(attempt) = machine.and_then(|machine| machine.attempts.get_mut(attempt_id)) {
            attempt.has_unanswered_launch = true;
        }
    }

    /// Adds an attempt that this leader doesn't know as live: an earlier leader launched it, or it
    /// runs again, in which case further copies of its launch may arrive. A stop is requested if its job is finished, or if its task is completed or has
    /// another attempt.
    fn adopt_attempt(
        &mut self,
        machine_id: &MachineId,
        attempt_id: &AttemptId,
        is_live: bool,
        now: Instant,
    ) {
        let task = &attempt_id.task;
        let mut attempt = Attempt::new_adopted(now);
        if launched_by(attempt_id.number) == self.fencing_token {
            attempt
                .launch_fence
                .note_launch(self.command_tokens().highest());
        }
        match self.jobs.get_mut(&task.job) {
            Some(job) if task.index < job.spec.tasks => {
                attempt.spec = Some(job.spec.clone());
                if !job.needs_attempt(task.index) {
                    attempt.request_stop(Duration::ZERO);
                }
                if is_live {
                    let placement = Placement {
                        machine: machine_id.clone(),
                        attempt_number: attempt_id.number,
                    };
                    job.add_placement(task.index, placement);
                }
            }
            _ if is_live => {
                // The job finished before this leader was elected. Its final record says what
                // resources the attempt uses.
                attempt.request_stop(Duration::ZERO);
                self.pending_actions.push(Action::ReadFinal {
                    job: task.job.clone(),
                });
            }
            _ => {}
        }
        if let Some(machine) = self.machines.get_mut(machine_id) {
            if is_live {
                machine.note_busy();
            }
            machine.attempts.insert(attempt_id.clone(), attempt);
        }
    }
}
