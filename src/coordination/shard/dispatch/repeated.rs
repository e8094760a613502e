//! Commands that the answer to a heartbeat repeats.
//!
//! The reconciler puts these commands into the answer to a worker's periodic heartbeat,
//! because a batch that held them may be lost.

use super::batch::push_clears;
use crate::coordination::shard::{Attempt, Machine, Phase};
use crate::coordination::worker_leases::commands::CommandList;
use crate::coordination::worker_leases::run_permit::RunPermit;
use crate::protocol::AttemptId;

/// Adds to the answer to a heartbeat the commands that it repeats. Stops and clears may be
/// repeated safely; a launch is repeated only while an earlier copy may still arrive.
pub(in crate::coordination::shard) fn push_commands_to_repeat(
    machine: &mut Machine,
    permit: &RunPermit,
    commands: &mut CommandList,
) {
    push_clears(machine, commands);
    for (attempt_id, attempt) in &mut machine.attempts {
        match attempt.phase {
            Phase::Launching => repeat_launch(attempt_id, attempt, permit, commands),
            _ => repeat_stop(attempt_id, attempt, commands),
        }
    }
}

/// Treats launches in flight whose attempts are to be stopped as unanswered, so that the answer to a
/// heartbeat repeats them with their stops: the answer renews the lease, and a task that starts after
/// the heartbeat is not listed in it. Two copies of such a launch may then arrive in any order.
pub(in crate::coordination::shard) fn mark_launches_to_stop(machine: &mut Machine) {
    if !machine.commands.is_in_flight() {
        return;
    }
    for attempt in machine.attempts.values_mut() {
        let is_launch = attempt.phase == Phase::Launching && attempt.has_command_in_flight;
        if is_launch && attempt.stop_grace().is_some() {
            attempt.has_unanswered_launch = true;
        }
    }
}

/// Adds a launch that was sent, got no answer and may still arrive, and its stop if one was
/// requested. Once the worker knows the attempt, a late copy of the launch has no effect.
fn repeat_launch(
    attempt_id: &AttemptId,
    attempt: &mut Attempt,
    permit: &RunPermit,
    commands: &mut CommandList,
) {
    if !attempt.has_unanswered_launch {
        return;
    }
    commands.launch(attempt_id, &mut attempt.launch_fence, permit);
    if let Some(grace) = attempt.stop_grace() {
        commands.stop(attempt_id, grace);
    }
}

/// Adds the stop of an attempt, if one was requested, unless the attempt is already saving
/// its progress within its grace period.
fn repeat_stop(attempt_id: &AttemptId, attempt: &Attempt, commands: &mut CommandList) {
    if let Some(grace) = attempt.stop_grace()
        && !attempt.ended()
        && (grace.is_zero() || attempt.phase != Phase::Saving)
    {
        commands.stop(attempt_id, grace);
    }
}
