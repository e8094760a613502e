//! Telling workers what to do, and when they must have forgotten it.

mod answers;
mod lease_expiry;
mod repeated;

pub(super) use repeated::commands_to_repeat;

use std::time::{Duration, Instant};

use super::{Action, Phase, Shard};
use crate::protocol::workers::Command;
use crate::protocol::{AttemptId, MachineId, TaskId};

/// Pause before commands are sent again by themselves; heartbeats carry them too.
const COMMAND_RETRY: Duration = Duration::from_secs(1);
/// Silence past the latest usual heartbeat after which a worker is asked.
const PROBE_LATE: Duration = Duration::from_millis(750);

impl Shard {
    /// Takes back launches that were never sent and are not wanted any more.
    pub(super) fn withdraw_launches(&mut self, now: Instant) {
        self.machines.refresh();
        let withdrawn: Vec<(MachineId, AttemptId)> = self
            .machines
            .values()
            .filter(|machine| machine.load.has_withdrawable_launch)
            .flat_map(|machine| {
                machine
                    .attempts
                    .iter()
                    .filter(|(_, attempt)| attempt.is_withdrawable())
                    .map(|(key, _)| (machine.id.clone(), key.clone()))
            })
            .collect();
        for (machine, key) in withdrawn {
            self.remove_attempt(&machine, &key, now);
        }
    }

    /// Sends what each machine has not been told yet.
    pub(super) fn flush_commands(&mut self, now: Instant) {
        self.machines.refresh();
        let ids = self.machines.ids(|m| {
            m.load.has_pending_commands
                && m.token_acknowledged
                && m.command.is_none()
                && !m.deleting
                && m.command_retry.is_none_or(|at| at <= now)
        });
        for id in ids {
            self.send_commands(&id);
        }
    }

    fn send_commands(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(agent_epoch) = machine.agent_epoch else {
            return;
        };
        let mut commands = Vec::new();
        // Clears first, so that what they free can be used by the launches.
        for (
            AttemptId {
                task,
                number: attempt_number,
            },
            attempt,
        ) in &mut machine.attempts
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
        ) in &mut machine.attempts
        {
            if let Some(grace) = attempt.stop_to_send() {
                commands.push(stop_command(task, *attempt_number, grace));
                attempt.in_flight = true;
            }
        }
        for (
            AttemptId {
                task,
                number: attempt_number,
            },
            attempt,
        ) in &mut machine.attempts
        {
            if attempt.phase == Phase::Launching && !attempt.unanswered && attempt.stop.is_none() {
                commands.push(Command::Launch {
                    task: task.clone(),
                    attempt: *attempt_number,
                });
                attempt.in_flight = true;
            }
        }
        self.issue(id, agent_epoch, commands);
    }

    /// Puts a batch under way: the machine's only one until it is answered.
    fn issue(&mut self, id: &MachineId, agent_epoch: u64, commands: Vec<Command>) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        self.next_command += 1;
        machine.command = Some(self.next_command);
        machine.asked_at = machine.numbers();
        machine.command_retry = None;
        self.out.push(Action::Command {
            machine: id.clone(),
            addr: machine.addr.clone(),
            agent_epoch,
            number: self.next_command,
            commands,
        });
    }

    /// Sends an empty batch: it raises the worker's fencing token and returns a heartbeat.
    pub(super) fn probe(&mut self, id: &MachineId, agent_epoch: u64) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.command.is_some() || machine.addr.is_empty() {
            return;
        }
        self.issue(id, agent_epoch, Vec::new());
    }

    /// Probes machines that have not shown our fencing token yet, and silent ones.
    pub(super) fn probe_due_machines(&mut self, now: Instant) {
        let due: Vec<(MachineId, u64)> = self
            .machines
            .values()
            .filter(|m| {
                let quiet = m.since_last_contact(now)
                    > self.policy.heartbeat_interval.mul_f64(1.25) + PROBE_LATE;
                (!m.token_acknowledged || quiet || m.outbound_unreachable)
                    && m.expects_heartbeats()
                    && m.command.is_none()
                    && m.command_retry.is_none_or(|at| at <= now)
            })
            .map(|m| (m.id.clone(), m.agent_epoch.unwrap_or(1)))
            .collect();
        for (id, agent_epoch) in due {
            self.probe(&id, agent_epoch);
        }
    }
}

/// The command that stops an attempt, with this time to save its progress.
pub(super) fn stop_command(task: &TaskId, attempt_number: u64, grace: Duration) -> Command {
    Command::Stop {
        task: task.clone(),
        attempt: attempt_number,
        grace_s: grace.as_secs_f64(),
    }
}
