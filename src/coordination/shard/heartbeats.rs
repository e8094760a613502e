//! What workers send in their heartbeats, and what they are answered.

use std::time::{Duration, Instant};

use super::commands::{clear_allowed, stop};
use super::plan::startup;
use super::{Action, Attempt, Machine, Phase, Shard};
use crate::protocol::users::JobKind;
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};
use crate::protocol::{AttemptId, MachineId, TaskId};

/// Pause before a machine that sends old numbers is asked again.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// What to answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with these commands; the worker's lease is renewed.
    Answer(Vec<Command>),
    /// The machine is known to be gone, or a higher fencing token is about.
    Refuse,
}

impl Shard {
    /// A worker's own heartbeat; the caller answers it at once.
    pub fn heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> HeartbeatOutcome {
        if self
            .deleted_machines
            .contains_key(heartbeat.machine.as_str())
        {
            return HeartbeatOutcome::Refuse;
        }
        if heartbeat.fencing_token > self.fencing_token {
            self.out.push(Action::Fenced {
                seen: heartbeat.fencing_token,
            });
            return HeartbeatOutcome::Refuse;
        }
        self.apply_heartbeat(heartbeat, now);
        let Some(machine) = self.machines.get_mut(heartbeat.machine.as_str()) else {
            return HeartbeatOutcome::Refuse;
        };
        // Whatever the worker makes of this answer, its lease can't end later
        // than it would if it took it. Nobody takes the answer to a copy.
        let numbers = (heartbeat.agent_epoch, heartbeat.sequence);
        if numbers > machine.last_heartbeat {
            machine.last_heartbeat = numbers;
            machine.renewed = Some(now);
            machine.lease_expires_at = machine
                .lease_expires_at
                .max(now + self.policy.worker_lease_bound());
        }
        let current = machine.agent_epoch == Some(heartbeat.agent_epoch)
            && machine.sequence == heartbeat.sequence;
        let commands = if machine.token_acknowledged && current {
            answer_commands(machine)
        } else {
            Vec::new()
        };
        HeartbeatOutcome::Answer(commands)
    }

    /// Takes in a heartbeat that came by itself or with a command's answer.
    pub(super) fn apply_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) {
        if heartbeat.fencing_token > self.fencing_token {
            self.out.push(Action::Fenced {
                seen: heartbeat.fencing_token,
            });
            return;
        }
        if self
            .deleted_machines
            .contains_key(heartbeat.machine.as_str())
        {
            return;
        }
        let lease_expires_at = now + self.policy.worker_lease_bound();
        let Some(machine) = self.adopt(heartbeat, now) else {
            return;
        };
        let id = machine.id.clone();
        let numbers = (heartbeat.agent_epoch, heartbeat.sequence);
        if heartbeat.agent_epoch <= machine.ended_epochs || numbers <= machine.numbers() {
            // A copy or a late message; or the machine came back with a worker
            // that began anew. The machine itself tells.
            if numbers < machine.numbers() && machine.command_retry.is_none_or(|at| at <= now) {
                machine.command_retry = Some(now + ASK_AGAIN);
                self.probe(&id, heartbeat.agent_epoch);
            }
            return;
        }
        machine.last_contact = Some(now);
        machine.vanished = false;
        machine.unanswered = 0;
        let new_epoch = machine.agent_epoch != Some(heartbeat.agent_epoch);
        let had_epoch = machine.agent_epoch.is_some();
        if new_epoch {
            // Its lease runs from when it began, which was before now; what we
            // reckoned with so far was an earlier epoch's.
            machine.lease_expires_at = machine.lease_expires_at.max(lease_expires_at);
        }
        machine.agent_epoch = Some(heartbeat.agent_epoch);
        machine.sequence = heartbeat.sequence;
        if new_epoch && had_epoch {
            // The worker killed and forgot all that its last agent epoch held.
            machine.ended_epochs = machine.ended_epochs.max(heartbeat.agent_epoch - 1);
            // We heard it, and still its lease ended: it may not hear us.
            machine.outbound_unreachable = true;
            tracing::info!(machine = %id, agent_epoch = heartbeat.agent_epoch, "worker began a new agent epoch");
            // What an earlier leader started in this agent epoch is not reconciled.
            self.remove_attempts(&id, now);
        }
        self.apply_preemption_notice(&id, heartbeat.preemption_notice_s, now);
        if heartbeat.fencing_token < self.fencing_token {
            // Its list may change yet by commands of an earlier leader.
            self.probe(&id, heartbeat.agent_epoch);
            return;
        }
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        if !machine.token_acknowledged {
            machine.token_acknowledged = true;
            tracing::debug!(machine = %id, "machine synced");
        }
        self.take_tasks(&id, &heartbeat.tasks, now);
        self.reconcile_machine(&id);
        self.admit(&id);
        self.needs_pass = true;
    }

    fn adopt(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> Option<&mut Machine> {
        let id: MachineId = heartbeat.machine.as_str().into();
        let lease_expires_at = now + self.policy.worker_lease_bound();
        if self.machines.contains(&id) {
            self.note_boot(&id, now);
        } else {
            self.machines
                .insert(Machine::new(id.clone(), now, lease_expires_at));
        }
        let machine = self.machines.get_mut(&id)?;
        if machine.last_contact.is_none() {
            machine.idle_since = Some(now);
        }
        machine.describe(
            &heartbeat.addr,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
        );
        Some(machine)
    }

    /// Takes in how long a machine took that is heard for the first time. One that was
    /// rented before this leader began may have come up unheard.
    fn note_boot(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        if machine.last_contact.is_some() || machine.admitted || machine.rented < self.acquired {
            return;
        }
        let Some(kind) = self.types.get(&*machine.machine_type) else {
            return;
        };
        let took = now.saturating_duration_since(machine.rented);
        let ratio = took.as_secs_f64() / startup(kind).as_secs_f64().max(1.0);
        let boots = &mut self.autoscaler.boot_times;
        let (kind, zone) = (&machine.machine_type, &machine.zone);
        boots.note_arrival(kind, zone, machine.rented, ratio, now);
    }

    fn apply_preemption_notice(
        &mut self,
        id: &MachineId,
        preemption_notice_s: Option<f64>,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(left) = preemption_notice_s.filter(|s| s.is_finite()) else {
            return;
        };
        let left = Duration::from_secs_f64(left.clamp(0.0, 1e6));
        if machine.preemption_notice.is_none() {
            tracing::info!(machine = %id, ?left, "the cloud takes the machine away");
        }
        machine.preemption_notice = Some(now + left);
        for attempt in machine.attempts.values_mut() {
            let Some(spec) = attempt.spec.clone() else {
                continue;
            };
            if spec.kind == JobKind::Service {
                attempt.want_stop(Duration::ZERO);
            } else if spec.is_gang() {
                // The others of the gang have to be told in time as well.
                if attempt.stop.is_some() {
                    continue;
                }
                let enough = spec.checkpoint_s > 0.0 && left >= spec.save_time();
                attempt.want_stop(if enough { left } else { Duration::ZERO });
            } else if spec.checkpoint_s > 0.0 {
                if left.as_secs_f64() >= spec.save_s {
                    // Saving takes its time: later would be too late.
                    if left.as_secs_f64() < spec.save_s * 2.0 + 3.0 {
                        attempt.want_stop(left);
                    }
                }
            } else if Self::hopeless(attempt, left, now) {
                attempt.want_stop(Duration::ZERO);
            }
        }
    }

    /// Compares a synced heartbeat's list with the books.
    fn take_tasks(&mut self, id: &MachineId, tasks: &[TaskStatus], now: Instant) {
        let mut listed = Vec::with_capacity(tasks.len());
        for line in tasks {
            listed.push(line.attempt_id());
            self.take_task(id, line, now);
        }
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        // What was shown before and is not any more is gone for good. What was
        // never shown may still land.
        listed.sort();
        let gone: Vec<AttemptId> = machine
            .attempts
            .iter()
            .filter(|(key, attempt)| {
                attempt.phase != Phase::Launching && listed.binary_search(key).is_err()
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove_attempt(id, &key, now);
        }
    }

    fn take_task(&mut self, id: &MachineId, line: &TaskStatus, now: Instant) {
        let key = line.attempt_id();
        let known = self
            .machines
            .get(id)
            .is_some_and(|m| m.attempts.contains_key(&key));
        if !known {
            self.adopt_attempt(id, &key, line.state != TaskState::Ended, now);
        }
        let phase = match line.state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Ended => Phase::Ended(line.outcome.unwrap_or(AttemptOutcome::Other)),
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(attempt) = machine.attempts.get_mut(&key) else {
            return;
        };
        if attempt.phase == phase {
            return;
        }
        let had_ended = attempt.ended();
        attempt.phase = phase;
        attempt.since = now;
        if phase == Phase::Running {
            tracing::debug!(machine = %id, task = %line.task, "running");
            attempt.running_since.get_or_insert(now);
        }
        let started = matches!(phase, Phase::Waiting | Phase::Running | Phase::Saving)
            || phase == Phase::Ended(AttemptOutcome::Done);
        let image = attempt.spec.as_ref().map(|spec| spec.image.clone());
        if let (true, Some(image)) = (started, image) {
            machine.use_image(&image, IMAGES_REMEMBERED);
        }
        if let Phase::Ended(outcome) = phase
            && !had_ended
        {
            self.attempt_ended(id, &key, outcome, now);
        }
    }

    /// A task on a machine that an earlier leader started.
    fn adopt_attempt(&mut self, id: &MachineId, key: &AttemptId, live: bool, now: Instant) {
        let task = &key.task;
        let mut attempt = Attempt::new(None, Phase::Launching, now);
        attempt.adopted = true;
        match self.jobs.get_mut(&task.job) {
            Some(job) if task.index < job.spec.tasks => {
                attempt.spec = Some(job.spec.clone());
                let unwanted = job.final_stage.is_some()
                    || job.done().contains(task.index)
                    || job.live().contains_key(&task.index);
                if unwanted {
                    attempt.want_stop(Duration::ZERO);
                }
                if live {
                    job.put(task.index, id);
                }
            }
            _ if live => {
                // Its job was over before we came.
                attempt.want_stop(Duration::ZERO);
                self.out.push(Action::ReadFinal {
                    job: task.job.clone(),
                });
            }
            _ => {}
        }
        if let Some(machine) = self.machines.get_mut(id) {
            if live {
                machine.idle_since = None;
            }
            machine.attempts.insert(key.clone(), attempt);
        }
    }

    fn attempt_ended(
        &mut self,
        id: &MachineId,
        key: &AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let task = &key.task;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if !machine.busy() {
            machine.idle_since.get_or_insert(now);
        }
        let Some(attempt) = machine.attempts.get_mut(key) else {
            return;
        };
        let ended = AttemptSummary::of(attempt, now);
        tracing::debug!(machine = %id, %task, ?outcome, asked = ended.asked, "attempt ended");
        let Some(job) = self.jobs.get(&task.job) else {
            attempt.clearable = true;
            return;
        };
        // A finish stays listed until it is on record; anything else is only
        // of interest to this leader.
        attempt.clearable = outcome != AttemptOutcome::Done || job.final_stage.is_some();
        self.apply_outcome(id, task, outcome, &ended, now);
        self.release(id, task);
        self.finish_if_done(&task.job.clone());
    }

    /// What an attempt's end means for its job.
    fn apply_outcome(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        outcome: AttemptOutcome,
        ended: &AttemptSummary,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match outcome {
            AttemptOutcome::Done => self.task_done(task, ended, now),
            AttemptOutcome::Error if !ended.asked && job.final_stage.is_none() => {
                let ran = ended.ran.unwrap_or_default();
                self.attempt_failed(&task.job, id, ended.began, ran, now);
            }
            AttemptOutcome::NoRoom
            | AttemptOutcome::Busy
            | AttemptOutcome::Unknown
            | AttemptOutcome::Other => {
                job.not_before = Some(now + REFUSED_START_PAUSE);
            }
            AttemptOutcome::GangIncomplete => self.gang_came_apart(&task.job, now),
            AttemptOutcome::Error | AttemptOutcome::Stopped | AttemptOutcome::GangPeerLost => {}
        }
    }

    fn task_done(&mut self, task: &TaskId, ended: &AttemptSummary, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        self.writes.progress_changed(now);
        if job.spec.is_gang() {
            // All tasks of a gang complete together, also those of which nobody
            // will hear again, since their machine was lost at that moment.
            self.gang_task_done(&task.job);
        } else {
            job.complete(task.index);
            if let Some(ran) = ended.ran.filter(|_| ended.typical) {
                job.ran.note(ran);
            }
        }
        self.task_succeeded(&task.job);
    }
}

/// What is known of an attempt that has ended.
struct AttemptSummary {
    /// It was told to stop.
    asked: bool,
    /// Its run time may be compared with others.
    typical: bool,
    /// When it was decided, or first seen.
    began: Instant,
    /// How long it was seen running.
    ran: Option<Duration>,
}

impl AttemptSummary {
    fn of(attempt: &Attempt, now: Instant) -> Self {
        let since = attempt.running_since;
        Self {
            asked: attempt.stop.is_some(),
            typical: !attempt.overdue && !attempt.adopted,
            began: attempt.began,
            ran: since.map(|since| now.saturating_duration_since(since)),
        }
    }
}

/// Pause before a job's tasks are started again after a worker refused one.
const REFUSED_START_PAUSE: Duration = Duration::from_millis(500);

/// Images that a machine is taken to cache; the worker decides what it keeps.
const IMAGES_REMEMBERED: usize = 12;

/// All that a worker should know, repeated with each answer.
fn answer_commands(machine: &Machine) -> Vec<Command> {
    let mut commands = Vec::new();
    for (
        AttemptId {
            task,
            number: attempt_number,
        },
        attempt,
    ) in &machine.attempts
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
                commands.push(stop(task, *attempt_number, grace));
            }
        } else if let Some(grace) = attempt.stop
            && !attempt.ended()
            && attempt.phase != Phase::Launching
            && (grace.is_zero() || attempt.phase != Phase::Saving)
        {
            commands.push(stop(task, *attempt_number, grace));
        }
    }
    commands
}
