//! Removal of attempts that can't exist any more, and the end of a machine's reconciliation.

use std::time::Instant;

use crate::coordination::shard::Shard;
use crate::protocol::{AttemptId, MachineId, TaskId};

impl Shard {
    /// Removes an attempt that can't exist any more, and releases its task.
    pub(in crate::coordination::shard) fn remove_attempt(
        &mut self,
        id: &MachineId,
        key: &AttemptId,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(attempt) = machine.attempts.remove(key) else {
            return;
        };
        machine.note_idle_if_unused(now);
        if !attempt.ended() {
            self.release(id, &key.task);
        }
        self.needs_pass = true;
    }

    /// Releases a task, whose attempt on a machine has ended or was removed: it may start
    /// elsewhere.
    pub(in crate::coordination::shard) fn release(&mut self, id: &MachineId, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.remove_placement(task.index, id);
            let job_id = job.id.clone();
            self.drop_job_if_empty(&job_id);
        }
        self.needs_pass = true;
    }

    /// A machine holds no task any more, known or unknown: its worker's lease has expired, or
    /// it was deleted.
    pub(in crate::coordination::shard) fn empty_machine(&mut self, id: &MachineId, now: Instant) {
        self.remove_attempts(id, now);
        self.reconcile_machine(id);
        self.needs_pass = true;
    }

    /// All tasks that an earlier leader started on a machine are known now.
    pub(in crate::coordination::shard) fn reconcile_machine(&mut self, id: &MachineId) {
        if self.unreconciled.remove(id) {
            tracing::info!(
                fencing_token = %self.fencing_token,
                "every recovered machine is reconciled"
            );
        }
    }

    /// Removes all attempts of a machine: none of them can exist any more. Unknown tasks may
    /// still be there if the machine is unreconciled.
    pub(in crate::coordination::shard) fn remove_attempts(&mut self, id: &MachineId, now: Instant) {
        let keys: Vec<AttemptId> = match self.machines.get(id) {
            Some(machine) => machine.attempts.keys().cloned().collect(),
            None => return,
        };
        for key in keys {
            self.remove_attempt(id, &key, now);
        }
    }
}
