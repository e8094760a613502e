//! Batches of commands.

use std::time::Duration;

use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::workers::Command;
use crate::protocol::{AttemptId, MachineId, TaskId};

impl Shard {
    /// Sends a machine all commands that its attempts need.
    pub(super) fn send_commands(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(agent_epoch) = machine.agent_epoch() else {
            return;
        };
        // Clears come first and launches last, so that launches find the resources that
        // the others release.
        let mut commands = clear_commands(machine);
        take_stops(machine, &mut commands);
        take_launches(machine, &mut commands);
        self.send_batch(id, agent_epoch, commands);
    }

    /// Sends a batch; the machine gets no other until this one is answered or fails.
    pub(super) fn send_batch(&mut self, id: &MachineId, agent_epoch: u64, commands: Vec<Command>) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        self.last_batch_number += 1;
        let number = self.last_batch_number;
        let newest = machine.epochs.newest();
        machine.commands.begin(number, newest);
        self.out.push(Action::Command {
            machine: id.clone(),
            addr: machine.addr.clone(),
            agent_epoch,
            number,
            commands,
        });
    }
}

/// Commands that let the worker forget attempts whose outcome is recorded.
pub(super) fn clear_commands(machine: &Machine) -> Vec<Command> {
    machine
        .attempts
        .iter()
        .filter(|(_, attempt)| attempt.is_clear_allowed())
        .map(|(id, _)| clear_command(id))
        .collect()
}

/// Adds the stops that the worker has not executed yet, and marks them as in flight.
fn take_stops(machine: &mut Machine, commands: &mut Vec<Command>) {
    for (id, attempt) in &mut machine.attempts {
        if let Some(grace) = attempt.stop_to_send() {
            commands.push(stop_command(&id.task, id.number, grace));
            attempt.in_flight = true;
        }
    }
}

/// Adds the launches that were not sent yet, and marks them as in flight.
fn take_launches(machine: &mut Machine, commands: &mut Vec<Command>) {
    for (id, attempt) in &mut machine.attempts {
        if attempt.needs_launch() {
            commands.push(launch_command(id));
            attempt.in_flight = true;
        }
    }
}

fn clear_command(id: &AttemptId) -> Command {
    Command::Clear {
        task: id.task.clone(),
        attempt: id.number,
    }
}

pub(super) fn launch_command(id: &AttemptId) -> Command {
    Command::Launch {
        task: id.task.clone(),
        attempt: id.number,
    }
}

/// The command that stops an attempt with a grace period to save its progress.
pub(in crate::coordination::shard) fn stop_command(
    task: &TaskId,
    attempt_number: u64,
    grace: Duration,
) -> Command {
    Command::Stop {
        task: task.clone(),
        attempt: attempt_number,
        grace_s: grace.as_secs_f64(),
    }
}
