//! Removal of attempts that can no longer exist, and marking of machines as reconciled.

use std::time::Instant;

use crate::coordination::shard::{Placement, Shard};
use crate::protocol::{AttemptId, MachineId};

/// Why an attempt can't exist on its machine any more, nor start there later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination::shard) enum RemovalProof {
    /// A heartbeat with this leader's fencing token lacks the attempt, which an earlier one listed.
    NoLongerListed,
    /// The worker executed the only launch, and its answer doesn't list the attempt.
    EndedBeforeAnswer,
    /// No launch of the attempt was ever sent.
    NeverSent,
    /// The worker's agent epoch has ended, by a heartbeat of a later one or since its lease has
    /// certainly expired: it has killed its tasks, and refuses commands for that epoch.
    EpochEnded,
    /// The cloud has confirmed the machine's deletion.
    MachineDeleted,
}

impl Shard {
    /// Removes an attempt that can no longer exist, with its placement unless the attempt has ended,
    /// which removed it already.
    pub(in crate::coordination::shard) fn remove_attempt(
        &mut self,
        machine_id: &MachineId,
        attempt_id: &AttemptId,
        proof: RemovalProof,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(attempt) = machine.attempts.remove(attempt_id) else {
            return;
        };
        tracing::debug!(
            machine = %machine_id,
            task = %attempt_id.task,
            attempt = attempt_id.number,
            phase = ?attempt.phase,
            reason = ?proof,
            "attempt forgotten"
        );
        machine.note_idle_if_unused(now);
        if !attempt.ended() {
            self.remove_placement(machine_id, attempt_id);
        }
        self.needs_pass = true;
    }

    /// Removes the placement of an attempt that has ended or was removed. The task may start
    /// elsewhere if no other attempt of it may exist.
    pub(in crate::coordination::shard) fn remove_placement(
        &mut self,
        machine_id: &MachineId,
        attempt_id: &AttemptId,
    ) {
        let task = &attempt_id.task;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let placement = Placement {
                machine: machine_id.clone(),
                attempt_number: attempt_id.number,
            };
            job.remove_placement(task.index, &placement);
            let job_id = job.id.clone();
            self.drop_finished_job_without_attempts(&job_id);
        }
        self.needs_pass = true;
    }

    /// Removes all attempts of a machine and marks it as reconciled. The machine holds no tasks
    /// any more, not even unknown ones: its worker's lease has expired, or it was deleted.
    pub(in crate::coordination::shard) fn empty_machine(
        &mut self,
        machine_id: &MachineId,
        proof: RemovalProof,
        now: Instant,
    ) {
        self.remove_attempts(machine_id, proof, now);
        self.mark_reconciled(machine_id);
        self.needs_pass = true;
    }

    /// Marks a machine as reconciled, since all tasks that an earlier leader started on it are
    /// known now.
    pub(in crate::coordination::shard) fn mark_reconciled(&mut self, machine_id: &MachineId) {
        if self.unreconciled.remove(machine_id) {
            tracing::info!(
                fencing_token = %self.fencing_token,
                "every recovered machine is reconciled"
            );
        }
    }

    /// Removes all attempts of a machine, since none of them can exist any more. If the machine is
    /// unreconciled, it may still hold tasks that this leader does not know of.
    pub(in crate::coordination::shard) fn remove_attempts(
        &mut self,
        machine_id: &MachineId,
        proof: RemovalProof,
        now: Instant,
    ) {
        let attempt_ids: Vec<AttemptId> = match self.machines.get(machine_id) {
            Some(machine) => machine.attempts.keys().cloned().collect(),
            None => return,
        };
        for attempt_id in attempt_ids {
            self.remove_attempt(machine_id, &attempt_id, proof, now);
        }
    }
}
