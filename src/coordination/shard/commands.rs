//! Telling workers what to do, and when they must have forgotten it.

use std::time::{Duration, Instant};

use super::machines::{Attempt, Phase};
use super::{Action, CommandOutcome, Shard};
use crate::protocol::users::JobKind;
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
                    .filter(|(_, attempt)| withdrawable(attempt))
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
            if clear_allowed(attempt) {
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
            if let Some(grace) = stop_to_send(attempt) {
                commands.push(stop(task, *attempt_number, grace));
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
                    self.begin_deletion(id, now, "its worker has started over");
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

    /// Takes an attempt that can't exist any more off the books.
    pub(super) fn remove_attempt(&mut self, id: &MachineId, key: &AttemptId, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(attempt) = machine.attempts.remove(key) else {
            return;
        };
        if !machine.busy() {
            machine.idle_since.get_or_insert(now);
        }
        if !attempt.ended() {
            self.release(id, &key.task);
        }
        self.needs_pass = true;
    }

    /// A task may start elsewhere: its attempt here has ended or is gone.
    pub(super) fn release(&mut self, id: &MachineId, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.lift(task.index, id);
            let job_id = job.id.clone();
            self.drop_job_if_empty(&job_id);
        }
        self.needs_pass = true;
    }

    /// The machine holds nothing any more: its lease has ended, or it is gone.
    pub(super) fn empty_machine(&mut self, id: &MachineId, now: Instant) {
        self.remove_attempts(id, now);
        self.reconcile_machine(id);
        self.needs_pass = true;
    }

    /// What an earlier leader may have started on a machine is known now.
    pub(super) fn reconcile_machine(&mut self, id: &MachineId) {
        if self.unreconciled.remove(id) && self.unreconciled.is_empty() {
            tracing::info!(
                fencing_token = %self.fencing_token,
                "every machine of the roster is reconciled"
            );
        }
    }

    /// Nothing that is on the books of a machine can exist any more. Something
    /// else may be there, if it isn't reconciled.
    pub(super) fn remove_attempts(&mut self, id: &MachineId, now: Instant) {
        let keys: Vec<AttemptId> = match self.machines.get(id) {
            Some(machine) => machine.attempts.keys().cloned().collect(),
            None => return,
        };
        for key in keys {
            self.remove_attempt(id, &key, now);
        }
    }

    /// Ends the agent epochs whose leases are surely over.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        if self.others_may_answer() {
            return;
        }
        // What was surely over when others' answers were last reckoned with is
        // so for ever: a later answer revives nothing.
        let Some(answers) = self.answers_by_others(now) else {
            return;
        };
        let known_at = answers.known_at;
        let lease = self.policy.worker_lease_bound();
        if answers.last.is_some_and(|last| known_at <= last + lease) {
            return;
        }
        let over: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| {
                known_at > m.lease_expires_at
                    && (!m.load.idle() || self.unreconciled.contains(&m.id))
            })
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            if let Some(machine) = self.machines.get_mut(&id) {
                if let Some(agent_epoch) = machine.agent_epoch {
                    machine.ended_epochs = machine.ended_epochs.max(agent_epoch);
                }
                tracing::info!(machine = %id, "worker lease over");
            }
            self.empty_machine(&id, known_at);
        }
    }

    /// Whether a batch task can't be expected to end before a notice does.
    pub(super) fn hopeless(attempt: &Attempt, left: Duration, now: Instant) -> bool {
        let Some(spec) = &attempt.spec else {
            return false;
        };
        if spec.kind == JobKind::Service {
            return true;
        }
        let ran = attempt
            .running_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        spec.duration().saturating_sub(ran) > left * 2
    }
}

/// Whether a launch was never sent and is not wanted any more.
pub(super) fn withdrawable(attempt: &Attempt) -> bool {
    attempt.phase == Phase::Launching
        && attempt.stop.is_some()
        && !attempt.in_flight
        && !attempt.unanswered
}

/// Whether a machine should hear of an attempt by `/commands` now.
pub(super) fn needs_command(attempt: &Attempt) -> bool {
    if attempt.in_flight {
        return false;
    }
    match attempt.phase {
        Phase::Launching => !attempt.unanswered && attempt.stop.is_none(),
        Phase::Ended(_) => false,
        _ => stop_to_send(attempt).is_some(),
    }
}

pub(super) fn stop_to_send(attempt: &Attempt) -> Option<Duration> {
    if attempt.ended() || attempt.phase == Phase::Launching || attempt.stop_sent {
        return None;
    }
    attempt.stop
}

pub(super) fn clear_allowed(attempt: &Attempt) -> bool {
    attempt.ended() && attempt.clearable && !attempt.unanswered && !attempt.in_flight
}

pub(super) fn stop(task: &TaskId, attempt_number: u64, grace: Duration) -> Command {
    Command::Stop {
        task: task.clone(),
        attempt: attempt_number,
        grace_s: grace.as_secs_f64(),
    }
}
