//! The commands that the answer to a heartbeat repeats.

use super::batch::{clear_commands, launch_command, stop_command};
use crate::coordination::shard::{Attempt, Machine, Phase};
use crate::protocol::AttemptId;
use crate::protocol::workers::Command;

/// The commands in the answer to a heartbeat: stops and clears may be repeated, and a
/// batch that holds them may be lost.
pub(in crate::coordination::shard) fn commands_to_repeat(machine: &Machine) -> Vec<Command> {
    let mut commands = clear_commands(machine);
    for (id, attempt) in &machine.attempts {
        match attempt.phase {
            Phase::Launching => repeat_launch(id, attempt, &mut commands),
            _ => repeat_stop(id, attempt, &mut commands),
        }
    }
    commands
}

/// Repeats a launch that got no answer and may still arrive: once the worker knows the
/// attempt, a late copy of the launch has no effect.
fn repeat_launch(id: &AttemptId, attempt: &Attempt, commands: &mut Vec<Command>) {
    if attempt.in_flight || !attempt.unanswered {
        return;
    }
    commands.push(launch_command(id));
    if let Some(grace) = attempt.stop() {
        commands.push(stop_command(&id.task, id.number, grace));
    }
}

/// Repeats a stop, except for an attempt that is saving its progress within its grace period.
fn repeat_stop(id: &AttemptId, attempt: &Attempt, commands: &mut Vec<Command>) {
    if let Some(grace) = attempt.stop()
        && !attempt.ended()
        && (grace.is_zero() || attempt.phase != Phase::Saving)
    {
        commands.push(stop_command(&id.task, id.number, grace));
    }
}
