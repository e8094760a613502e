//! Outcomes of batches of commands.

use std::time::{Duration, Instant};

use crate::coordination::shard::autoscaler::DeletionReason;
use crate::coordination::shard::machines::HeartbeatNumber;
use crate::coordination::shard::{Attempt, CommandOutcome, Machine, Phase, Shard};
use crate::protocol::workers::Command;
use crate::protocol::{AttemptId, MachineId};

/// Pause before commands are sent again after a batch failed. Until then the answers to
/// the worker's own heartbeats repeat them.
const COMMAND_RETRY_PAUSE: Duration = Duration::from_secs(1);

impl Shard {
    /// A batch of commands was answered or failed. Called by the action executor once for
    /// each [`crate::coordination::shard::Action::Command`].
    pub fn command_answered(
        &mut self,
        id: &MachineId,
        number: u64,
        sent: &[Command],
        outcome: CommandOutcome,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let batch = machine.commands.complete(number);
        note_outcomes(machine, sent, &outcome);
        let is_executed = matches!(outcome, CommandOutcome::Executed(_));
        match outcome {
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Refused(heartbeat) => {
                machine.commands.note_answer();
                let answer = HeartbeatNumber::from(&heartbeat);
                if batch.is_some_and(|batch| answer <= batch.newest_when_sent) {
                    // An answer is never a copy, and the numbers of one worker process
                    // only rise: the worker process has started over. Its tasks are lost,
                    // and commands sent to the process before it may still arrive. Only
                    // deleting the machine tells these apart.
                    self.begin_deletion(id, now, DeletionReason::WorkerRestarted);
                    return;
                }
                self.apply_heartbeat(&heartbeat, now);
                if is_executed {
                    self.remove_unlisted_launches(id, sent, now);
                }
            }
            CommandOutcome::NotSent | CommandOutcome::NoAnswer => {
                machine.commands.note_failure(now + COMMAND_RETRY_PAUSE);
            }
        }
        self.needs_pass = true;
    }

    /// Removes launches that the worker executed and does not list: the attempts ended and
    /// were forgotten before its answer.
    fn remove_unlisted_launches(&mut self, id: &MachineId, sent: &[Command], now: Instant) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let is_unlisted = |id: &AttemptId| {
            machine
                .attempts
                .get(id)
                .is_some_and(|a| a.phase == Phase::Launching && !a.unanswered)
        };
        let unlisted: Vec<AttemptId> = sent
            .iter()
            .filter(|command| matches!(command, Command::Launch { .. }))
            .map(Command::attempt_id)
            .filter(is_unlisted)
            .collect();
        for key in unlisted {
            self.remove_attempt(id, &key, now);
        }
    }
}

/// Notes on a machine's attempts what became of the commands for them.
fn note_outcomes(machine: &mut Machine, sent: &[Command], outcome: &CommandOutcome) {
    for command in sent {
        if let Some(attempt) = machine.attempts.get_mut(&command.attempt_id()) {
            note_outcome(attempt, command, outcome);
        }
    }
}

/// Notes on an attempt what became of a command for it.
fn note_outcome(attempt: &mut Attempt, command: &Command, outcome: &CommandOutcome) {
    attempt.in_flight = false;
    match (command, outcome) {
        (Command::Launch { .. }, CommandOutcome::NoAnswer) => attempt.unanswered = true,
        (Command::Stop { grace_s, .. }, CommandOutcome::Executed(_)) => {
            attempt.note_stop_executed(Duration::from_secs_f64(grace_s.max(0.0)));
        }
        _ => {}
    }
}
