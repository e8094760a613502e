//! Removal of attempts that can't exist any more, and of machines from the unreconciled set.

use std::time::Instant;

use crate::coordination::shard::Shard;
use crate::protocol::{AttemptId, MachineId, TaskId};

impl Shard {
    /// Takes an attempt that can't exist any more off the books.
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
        if !machine.busy() {
            machine.idle_since.get_or_insert(now);
        }
        if !attempt.ended() {
            self.release(id, &key.task);
        }
        self.needs_pass = true;
    }

    /// A task may start elsewhere: its attempt here has ended or is gone.
    pub(in crate::coordination::shard) fn release(&mut self, id: &MachineId, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.lift(task.index, id);
            let job_id = job.id.clone();
            self.drop_job_if_empty(&job_id);
        }
        self.needs_pass = true;
    }

    /// The machine holds nothing any more: its lease has ended, or it is gone.
    pub(in crate::coordination::shard) fn empty_machine(&mut self, id: &MachineId, now: Instant) {
        self.remove_attempts(id, now);
        self.reconcile_machine(id);
        self.needs_pass = true;
    }

    /// What an earlier leader may have started on a machine is known now.
    pub(in crate::coordination::shard) fn reconcile_machine(&mut self, id: &MachineId) {
        if self.unreconciled.remove(id) {
            tracing::info!(
                fencing_token = %self.fencing_token,
                "every machine of the roster is reconciled"
            );
        }
    }

    /// Nothing that is on the books of a machine can exist any more. Something
    /// else may be there, if it isn't reconciled.
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
