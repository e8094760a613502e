//! Building and sending batches of commands.
//!
//! A batch holds the commands of one machine that are due at the same time; the worker
//! executes them in the order of the batch.

use std::time::Instant;

use crate::coordination::shard::{Action, Machine, Shard};
use crate::coordination::worker_leases::commands::{launch_command, stop_command};
use crate::coordination::worker_leases::run_permit::RunPermit;
use crate::protocol::workers::Command;
use crate::protocol::{AttemptId, MachineId};

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
        commands: Vec<Command>,
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
            number,
            commands,
        });
    }
}

/// The clear commands for a machine: they permit its worker to forget ended attempts whose
/// outcome it no longer needs to keep.
pub(super) fn clear_commands(machine: &Machine) -> Vec<Command> {
    machine
        .attempts
        .iter()
        .filter(|(_, attempt)| attempt.is_clear_allowed())
        .map(|(attempt_id, _)| clear_command(attempt_id))
        .collect()
}

/// Appends a command for each stop that the worker has not executed yet, and marks these
/// attempts as having a command in flight.
pub(super) fn push_pending_stops(machine: &mut Machine, commands: &mut Vec<Command>) {
    for (attempt_id, attempt) in &mut machine.attempts {
        if let Some(grace) = attempt.stop_to_send() {
            commands.push(stop_command(attempt_id, grace));
            attempt.has_command_in_flight = true;
        }
    }
}

/// Appends a command for each launch that was not sent yet, and marks these attempts as
/// having a command in flight.
pub(super) fn push_pending_launches(
    machine: &mut Machine,
    permit: &RunPermit,
    commands: &mut Vec<Command>,
) {
    for (attempt_id, attempt) in &mut machine.attempts {
        if attempt.needs_launch() {
            commands.push(launch_command(attempt_id, permit));
            attempt.has_command_in_flight = true;
        }
    }
}

fn clear_command(attempt_id: &AttemptId) -> Command {
    Command::Clear {
        task: attempt_id.task.clone(),
        attempt: attempt_id.number,
    }
}
