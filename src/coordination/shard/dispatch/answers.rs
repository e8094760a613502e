//! What a batch of commands came to.

use std::time::{Duration, Instant};

use super::COMMAND_RETRY;
use crate::coordination::shard::autoscaler::DeletionReason;
use crate::coordination::shard::{CommandOutcome, Phase, Shard};
use crate::protocol::workers::Command;
use crate::protocol::{AttemptId, MachineId};

impl Shard {
    /// A batch of commands was answered, or was given up.
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
        let last = machine.command == Some(number);
        if last {
            machine.command = None;
        }
        let executed = matches!(outcome, CommandOutcome::Executed(_));
        let lost = matches!(outcome, CommandOutcome::NoAnswer);
        for command in sent {
            let Some(attempt) = machine.attempts.get_mut(&command.attempt_id()) else {
                continue;
            };
            attempt.in_flight = false;
            match command {
                Command::Launch { .. } if lost => attempt.unanswered = true,
                Command::Stop { grace_s, .. } if executed => {
                    let grace = Duration::from_secs_f64(grace_s.max(0.0));
                    attempt.stop_sent = attempt.stop.is_some_and(|wanted| wanted >= grace);
                }
                _ => {}
            }
        }
        let asked_at = machine.asked_at;
        match outcome {
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Refused(heartbeat) => {
                machine.outbound_unreachable = false;
                if (heartbeat.agent_epoch, heartbeat.sequence) <= asked_at && last {
                    // An answer is no copy, and numbers only rise: the machine
                    // came back with a worker that began anew. What it held is
                    // gone, and what is under way to it may land yet; only its
                    // deletion tells the two apart.
                    self.begin_deletion(id, now, DeletionReason::WorkerRestarted);
                    return;
                }
                self.apply_heartbeat(&heartbeat, now);
                if executed {
                    self.reconcile_launches(id, sent, now);
                }
            }
            CommandOutcome::NotSent | CommandOutcome::NoAnswer => {
                machine.command_retry = Some(now + COMMAND_RETRY);
                machine.unanswered += 1;
                machine.outbound_unreachable = true;
            }
        }
        self.needs_pass = true;
    }

    /// After an executed batch, a launch that its heartbeat does not show (and
    /// that no later heartbeat showed) has come and gone.
    fn reconcile_launches(&mut self, id: &MachineId, sent: &[Command], now: Instant) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let missing: Vec<AttemptId> = sent
            .iter()
            .filter_map(|command| match command {
                Command::Launch { .. } => Some(command.attempt_id()),
                _ => None,
            })
            .filter(|key| {
                machine
                    .attempts
                    .get(key)
                    .is_some_and(|a| a.phase == Phase::Launching && !a.unanswered)
            })
            .collect();
        for key in missing {
            self.remove_attempt(id, &key, now);
        }
    }
}
