//! Building and sending batches of commands.
//!
//! A batch holds the commands of one machine that are due at the same time; the worker
//! executes them in the order of the batch.

use std::time::Instant;

use crate::coordination::shard::{Action, Machine, Shard};
use crate::coordination::worker_leases::commands::CommandList;
use crate::coordination::worker_leases::run_permit::RunPermit;
use crate::protocol::MachineId;

impl Shard {
    /// Sends a machine one batch with all commands that its attempts need now.
    pub(super) fn send_commands(&mut self, machine_id: &MachineId, now: Instant) {
        let machine = self.machines.get(machine_id);
        let Some(agent_epoch) = machine.and_then(Machine::agent_epoch) else {
            return;
        };
        let commands = self.due_commands(machine_id, now);
        if !commands.is_empty() {
            self.send_batch(machine_id, agent_epoch, commands);
        }
    }

    /// Sends a batch to a machine, which gets no other until this one is answered or fails.
    pub(super) fn send_batch(
        &mut self,
        machine_id: &MachineId,
        agent_epoch: u64,
        commands: CommandList,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        self.last_batch_number += 1;
        let number = self.last_batch_number;
        let newest = machine.epochs.newest();
        machine.commands.note_sent(number, newest);
        self.pending_actions.push(Action::Command {
            machine: machine_id.clone(),
            addr: machine.addr.clone(),
            agent_epoch,
            token: commands.token(),
            number,
            commands: commands.into_commands(),
        });
    }
}

/// Adds a clear for each ended attempt whose outcome the worker no longer needs to keep, if the
/// token of the message permits it.
pub(super) fn push_clears(machine: &Machine, commands: &mut CommandList) {
    for (attempt_id, attempt) in &machine.attempts {
        if !attempt.is_clear_wanted() {
            continue;
        }
        if let Some(proof) = commands.clear(attempt_id, attempt.launch_fence) {
            tracing::debug!(
                machine = %machine.id,
                task = %attempt_id.task,
                attempt = attempt_id.number,
                token = %commands.token(),
                reason = ?proof,
                "worker may forget an ended attempt"
            );
        }
    }
}

/// Adds a command for each stop that the worker has not executed yet, and marks these
/// attempts as having a command in flight.
pub(super) fn push_pending_stops(machine: &mut Machine, commands: &mut CommandList) {
    for (attempt_id, attempt) in &mut machine.attempts {
        if let Some(grace) = attempt.stop_to_send() {
            commands.stop(attempt_id, grace);
            attempt.has_command_in_flight = true;
        }
    }
}

/// Adds a command for each launch that was not sent yet, and marks these attempts as
/// having a command in flight.
pub(super) fn push_pending_launches(
    machine: &mut Machine,
    permit: &RunPermit,
    commands: &mut CommandList,
) {
    for (attempt_id, attempt) in &mut machine.attempts {
        if attempt.needs_launch() {
            commands.launch(attempt_id, &mut attempt.launch_fence, permit);
            attempt.has_command_in_flight = true;
        }
    }
}
