//! The commands that the answer to a heartbeat repeats.

use super::stop_command;
use crate::coordination::shard::{Machine, Phase};
use crate::protocol::AttemptId;
use crate::protocol::workers::Command;

/// All that a worker should know, repeated with each answer.
pub(in crate::coordination::shard) fn commands_to_repeat(machine: &Machine) -> Vec<Command> {
    let mut commands = Vec::new();
    for (
        AttemptId {
            task,
            number: attempt_number,
        },
        attempt,
    ) in &machine.attempts
    {
        if attempt.is_clear_allowed() {
            commands.push(Command::Clear {
                task: task.clone(),
                attempt: *attempt_number,
            });
        }
    }
    for (
        AttemptId {
            task,
            number: attempt_number,
        },
        attempt,
    ) in &machine.attempts
    {
        // A stop may be repeated, and one that is on its way may be lost.
        if attempt.in_flight && attempt.phase == Phase::Launching {
            continue;
        }
        if attempt.phase == Phase::Launching && attempt.unanswered {
            // This pins a launch that may still be on its way: once the worker
            // knows the attempt, a late copy has no effect.
            commands.push(Command::Launch {
                task: task.clone(),
                attempt: *attempt_number,
            });
            if let Some(grace) = attempt.stop {
                commands.push(stop_command(task, *attempt_number, grace));
            }
        } else if let Some(grace) = attempt.stop
            && !attempt.ended()
            && attempt.phase != Phase::Launching
            && (grace.is_zero() || attempt.phase != Phase::Saving)
        {
            commands.push(stop_command(task, *attempt_number, grace));
        }
    }
    commands
}
