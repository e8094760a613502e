//! Handling of the outcomes of command batches.
//!
//! The action executor reports the outcome of every batch here: an answer, which carries a
//! heartbeat that the reconciler applies, or a failure, after which the batch is retried.

use std::time::{Duration, Instant};

use crate::coordination::shard::autoscaler::DeletionReason;
use crate::coordination::shard::machines::HeartbeatNumber;
use crate::coordination::shard::reconciler::RemovalProof;
use crate::coordination::shard::{Attempt, CommandOutcome, Machine, Phase, Shard};
use crate::protocol::workers::Command;
use crate::protocol::{AttemptId, MachineId};

/// Pause between the failure of a batch and the next batch to the same worker. During the
/// pause the answers to the worker's periodic heartbeats repeat the commands.
const COMMAND_RETRY_PAUSE: Duration = Duration::from_secs(1);

impl Shard {
    /// Handles the outcome of a batch of commands. The action executor calls this once for
    /// each [`crate::coordination::shard::Action::Command`].
    pub fn command_answered(
        &mut self,
        machine_id: &MachineId,
        number: u64,
        sent: &[Command],
        outcome: CommandOutcome,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let batch = machine.commands.complete(number);
        note_outcomes(machine, sent, &outcome);
        let is_executed = matches!(outcome, CommandOutcome::Executed(_));
        match outcome {
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Refused(heartbeat) => {
                machine.commands.note_answer();
                let answer = HeartbeatNumber::from(&heartbeat);
                if batch.is_some_and(|batch| answer <= batch.newest_heartbeat_when_sent) {
                    // An answer is never a duplicate, and the heartbeat numbers of one
                    // worker process only increase, so the worker process has restarted.
                    // Its tasks are lost, and commands for the previous process may still
                    // arrive at the new one. Only deleting the machine separates the two.
                    self.begin_deletion(machine_id, now, DeletionReason::WorkerRestarted);
                    return;
                }
                self.apply_heartbeat(&heartbeat, now);
                if is_executed {
                    self.remove_unlisted_launches(machine_id, sent, now);
                }
            }
            CommandOutcome::NotSent | CommandOutcome::NoAnswer => {
                machine.commands.note_failure(now + COMMAND_RETRY_PAUSE);
            }
        }
        self.needs_pass = true;
    }

    /// Removes the attempts of `sent` whose launches the worker executed but whose tasks its
    /// answer does not list: they ended and the worker forgot them before it answered.
    fn remove_unlisted_launches(&mut self, machine_id: &MachineId, sent: &[Command], now: Instant) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        let is_unlisted = |attempt_id: &AttemptId| {
            machine
                .attempts
                .get(attempt_id)
                .is_some_and(|a| a.phase == Phase::Launching && !a.has_unanswered_launch)
        };
        let unlisted: Vec<AttemptId> = sent
            .iter()
            .filter(|command| matches!(command, Command::Launch { .. }))
            .map(Command::attempt_id)
            .filter(is_unlisted)
            .collect();
        for attempt_id in unlisted {
            self.remove_attempt(
                machine_id,
                &attempt_id,
                RemovalProof::EndedBeforeAnswer,
                now,
            );
        }
    }
}

/// Records the outcome of a batch on each attempt that a command of the batch is for.
fn note_outcomes(machine: &mut Machine, sent: &[Command], outcome: &CommandOutcome) {
    for command in sent {
        if let Some(attempt) = machine.attempts.get_mut(&command.attempt_id()) {
            note_outcome(attempt, command, outcome);
        }
    }
}

/// Records the outcome of one command on the attempt that the command is for.
fn note_outcome(attempt: &mut Attempt, command: &Command, outcome: &CommandOutcome) {
    attempt.has_command_in_flight = false;
    match (command, outcome) {
        (Command::Launch { .. }, CommandOutcome::NoAnswer) => attempt.has_unanswered_launch = true,
        (Command::Stop { grace_s, .. }, CommandOutcome::Executed(_)) => {
            attempt.note_stop_executed(Duration::from_secs_f64(grace_s.max(0.0)));
        }
        _ => {}
    }
}
