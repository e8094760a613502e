//! Machines and the attempts that may exist on them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Action, CommandOutcome, Shard};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::workers::{Command, Ending};
use crate::protocol::{JobId, MachineId, TaskId};

/// Pause before commands are sent again by themselves; reports carry them too.
const RETRY: Duration = Duration::from_secs(1);

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Decided; no report has shown it yet.
    Launching,
    Fetching,
    Running,
    Saving,
    Ended(Ending),
}

/// One try to run a task on a machine.
#[derive(Debug)]
pub struct Attempt {
    /// What it uses; unknown for an orphan whose job is being looked up.
    pub spec: Option<Arc<JobSpec>>,
    pub phase: Phase,
    pub since: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// A launch was sent to which no answer came: it may land at any time
    /// until the session ends, so the attempt must never be cleared.
    pub unanswered: bool,
    /// In a batch of commands that is under way.
    pub in_flight: bool,
    /// Wanted to stop, with this time to save.
    pub stop: Option<Duration>,
    /// The stop with that time has been executed.
    pub stop_sent: bool,
    /// Its end is on record: the worker may forget it.
    pub clearable: bool,
}

impl Attempt {
    pub fn new(spec: Option<Arc<JobSpec>>, phase: Phase, now: Instant) -> Self {
        Self {
            spec,
            phase,
            since: now,
            running_since: None,
            unanswered: false,
            in_flight: false,
            stop: None,
            stop_sent: false,
            clearable: false,
        }
    }

    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Asks it to stop; a shorter grace replaces a longer one.
    pub fn want_stop(&mut self, grace: Duration) {
        if self.ended() || self.stop.is_some_and(|wanted| wanted <= grace) {
            return;
        }
        self.stop = Some(grace);
        self.stop_sent = false;
    }

    /// Work that stopping it now would lose.
    pub fn work_at_risk(&self, now: Instant) -> Duration {
        let Some(since) = self.running_since else {
            return Duration::ZERO;
        };
        let ran = now.saturating_duration_since(since);
        match &self.spec {
            Some(spec) if spec.checkpoint_s > 0.0 => {
                ran.min(Duration::from_secs_f64(spec.save_s.min(1e6)))
            }
            _ => ran,
        }
    }
}

/// What a machine can hold or what is held on it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Amounts {
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
}

impl Amounts {
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            cores: spec.cores,
            accelerators: spec.accelerators,
            mem_gb: spec.mem_gb,
        }
    }

    pub fn of_type(kind: &MachineType) -> Self {
        Self {
            cores: kind.cores,
            accelerators: kind.accelerators,
            mem_gb: kind.mem_gb,
        }
    }

    pub fn take(&mut self, spec: &JobSpec) {
        self.cores -= spec.cores;
        self.accelerators -= spec.accelerators;
        self.mem_gb -= spec.mem_gb;
    }

    pub fn give(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.accelerators += spec.accelerators;
        self.mem_gb += spec.mem_gb;
    }

    /// How many tasks of a job fit.
    pub fn fits(&self, spec: &JobSpec) -> u32 {
        const SLACK: f64 = 1e-9;
        let ratio = |have: f64, need: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + SLACK) / need).floor()
            }
        };
        let n = ratio(self.cores, spec.cores)
            .min(ratio(self.accelerators, spec.accelerators))
            .min(ratio(self.mem_gb, spec.mem_gb));
        n.clamp(0.0, 1e6) as u32
    }
}

/// A machine of the shard.
#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub session: Option<u64>,
    pub seq: u64,
    /// Sessions up to this one are over, whatever late messages say.
    pub dead_sessions: u64,
    /// A report has carried our term: no older command can land any more.
    pub synced: bool,
    /// Its roster record is written: it may get tasks.
    pub admitted: bool,
    pub admission_asked: bool,
    /// Last message of its worker that reached us.
    pub heard: Option<Instant>,
    /// Its worker's lease has surely ended after this.
    pub lease_over: Instant,
    /// When the cloud takes it away, as far as was said.
    pub notice: Option<Instant>,
    pub attempts: BTreeMap<(TaskId, u64), Attempt>,
    /// Images it holds or fetches, most recently used last.
    pub images: Vec<String>,
    /// When its rental was asked for, as far as is known.
    pub rented: Instant,
    pub idle_since: Option<Instant>,
    /// Jobs that failed on it by error.
    pub errors: Vec<JobId>,
    /// Gets no new tasks and is given back when empty.
    pub condemned: bool,
    /// Being emptied, so that it can be given back.
    pub draining: bool,
    /// A deletion is under way.
    pub deleting: bool,
    pub deletion_since: Option<Instant>,
    /// It was on the cloud's list, and is no more.
    pub listed: bool,
    pub vanished: bool,
    /// The batch of commands that is under way.
    pub command: Option<u64>,
    pub command_retry: Option<Instant>,
    /// Batches of commands without an answer since it was last heard.
    pub unanswered: u32,
}

impl Machine {
    pub fn new(id: MachineId, now: Instant, lease_over: Instant) -> Self {
        Self {
            id,
            addr: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            session: None,
            seq: 0,
            dead_sessions: 0,
            synced: false,
            admitted: false,
            admission_asked: false,
            heard: None,
            lease_over,
            notice: None,
            attempts: BTreeMap::new(),
            images: Vec::new(),
            rented: now,
            idle_since: None,
            errors: Vec::new(),
            condemned: false,
            draining: false,
            deleting: false,
            deletion_since: None,
            listed: false,
            vanished: false,
            command: None,
            command_retry: None,
            unanswered: 0,
        }
    }

    /// Whether its worker has ever been expected to report to us.
    pub fn should_report(&self) -> bool {
        !self.deleting && (self.heard.is_some() || self.admitted)
    }

    pub fn silence(&self, now: Instant) -> Duration {
        match self.heard {
            Some(heard) => now.saturating_duration_since(heard),
            None => Duration::MAX,
        }
    }

    /// Whether new tasks may be started on it.
    pub fn open(&self, now: Instant, suspect: Duration) -> bool {
        self.synced
            && self.admitted
            && self
                .session
                .is_some_and(|session| session > self.dead_sessions)
            && !self.deleting
            && !self.condemned
            && !self.draining
            && self.notice.is_none()
            && !self.vanished
            && self.silence(now) < suspect
            && self
                .attempts
                .values()
                .all(|a| a.ended() || a.spec.is_some())
    }

    /// The attempt of a task that may exist and has not ended.
    pub fn live_attempt(&self, job: &JobId, index: u32) -> Option<&Attempt> {
        let from = TaskId {
            job: job.clone(),
            index,
        };
        self.attempts
            .range((from.clone(), 0)..=(from, u64::MAX))
            .map(|(_, attempt)| attempt)
            .find(|attempt| !attempt.ended())
    }

    /// What may be in use on it.
    pub fn free(&self, kind: &MachineType) -> Amounts {
        let mut free = Amounts::of_type(kind);
        for attempt in self.attempts.values().filter(|a| !a.ended()) {
            match &attempt.spec {
                Some(spec) => free.take(spec),
                None => return Amounts::default(),
            }
        }
        free
    }

    pub fn busy(&self) -> bool {
        self.attempts.values().any(|a| !a.ended())
    }

    /// Notes that an image is used, and forgets what the cache can't hold.
    pub fn use_image(&mut self, image: &str, most: usize) {
        self.images.retain(|held| held != image);
        self.images.push(image.to_owned());
        if self.images.len() > most {
            self.images.remove(0);
        }
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|held| held == image)
    }
}

impl Shard {
    /// Takes back launches that were never sent and are not wanted any more.
    pub(super) fn withdraw_launches(&mut self, now: Instant) {
        let withdrawn: Vec<(MachineId, (TaskId, u64))> = self
            .machines
            .values()
            .flat_map(|machine| {
                machine
                    .attempts
                    .iter()
                    .filter(|(_, a)| {
                        a.phase == Phase::Launching
                            && a.stop.is_some()
                            && !a.in_flight
                            && !a.unanswered
                    })
                    .map(|(key, _)| (machine.id.clone(), key.clone()))
            })
            .collect();
        for (machine, key) in withdrawn {
            self.remove_attempt(&machine, &key, now);
        }
    }

    /// Sends what each machine has not been told yet.
    pub(super) fn flush_commands(&mut self, now: Instant) {
        let ids: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| {
                m.synced
                    && m.command.is_none()
                    && !m.deleting
                    && m.command_retry.is_none_or(|at| at <= now)
                    && m.attempts.values().any(needs_telling)
            })
            .map(|m| m.id.clone())
            .collect();
        for id in ids {
            self.send_commands(&id);
        }
    }

    fn send_commands(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(session) = machine.session else {
            return;
        };
        let mut commands = Vec::new();
        // Clears first, so that what they free can be used by the launches.
        for ((task, take), attempt) in &mut machine.attempts {
            if clear_allowed(attempt) {
                commands.push(Command::Clear {
                    task: task.clone(),
                    attempt: *take,
                });
            }
        }
        for ((task, take), attempt) in &mut machine.attempts {
            if let Some(grace) = stop_to_send(attempt) {
                commands.push(stop(task, *take, grace));
                attempt.in_flight = true;
            }
        }
        for ((task, take), attempt) in &mut machine.attempts {
            if attempt.phase == Phase::Launching && !attempt.unanswered && attempt.stop.is_none() {
                commands.push(Command::Launch {
                    task: task.clone(),
                    attempt: *take,
                });
                attempt.in_flight = true;
            }
        }
        self.next_command += 1;
        machine.command = Some(self.next_command);
        machine.command_retry = None;
        self.out.push(Action::Command {
            machine: id.clone(),
            addr: machine.addr.clone(),
            session,
            number: self.next_command,
            commands,
        });
    }

    /// Sends an empty batch: it raises the worker's term and returns a report.
    pub(super) fn probe(&mut self, id: &MachineId, session: u64) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.command.is_some() || machine.addr.is_empty() {
            return;
        }
        self.next_command += 1;
        machine.command = Some(self.next_command);
        machine.command_retry = None;
        self.out.push(Action::Command {
            machine: id.clone(),
            addr: machine.addr.clone(),
            session,
            number: self.next_command,
            commands: Vec::new(),
        });
    }

    /// Probes machines that have not shown our term yet, and silent ones.
    pub(super) fn probe_unsynced(&mut self, now: Instant) {
        let due: Vec<(MachineId, u64)> = self
            .machines
            .values()
            .filter(|m| {
                let quiet = m.silence(now) > self.policy.report.mul_f64(1.5);
                (!m.synced || quiet)
                    && m.should_report()
                    && m.command.is_none()
                    && m.command_retry.is_none_or(|at| at <= now)
            })
            .map(|m| (m.id.clone(), m.session.unwrap_or(1)))
            .collect();
        for (id, session) in due {
            self.probe(&id, session);
        }
    }

    pub(super) fn retry_commands(&mut self, now: Instant) {
        for machine in self.machines.values_mut() {
            if machine.command_retry.is_some_and(|at| at <= now) {
                machine.command_retry = None;
            }
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
        if machine.command == Some(number) {
            machine.command = None;
        }
        let executed = matches!(outcome, CommandOutcome::Executed(_));
        let lost = matches!(outcome, CommandOutcome::NoAnswer);
        for command in sent {
            let (task, take) = match command {
                Command::Launch { task, attempt }
                | Command::Stop { task, attempt, .. }
                | Command::Clear { task, attempt } => (task, attempt),
            };
            let Some(attempt) = machine.attempts.get_mut(&(task.clone(), *take)) else {
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
        match outcome {
            CommandOutcome::Executed(report) | CommandOutcome::Refused(report) => {
                self.apply_report(&report, now);
                if executed {
                    self.settle_launches(id, sent, now);
                }
            }
            CommandOutcome::NotSent | CommandOutcome::NoAnswer => {
                machine.command_retry = Some(now + RETRY);
                machine.unanswered += 1;
            }
        }
        self.restless = true;
    }

    /// After an executed batch, a launch that its report does not show (and
    /// that no later report showed) has come and gone.
    fn settle_launches(&mut self, id: &MachineId, sent: &[Command], now: Instant) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let missing: Vec<(TaskId, u64)> = sent
            .iter()
            .filter_map(|command| match command {
                Command::Launch { task, attempt } => Some((task.clone(), *attempt)),
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
    pub(super) fn remove_attempt(&mut self, id: &MachineId, key: &(TaskId, u64), now: Instant) {
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
            self.release(id, &key.0);
        }
        self.restless = true;
    }

    /// A task may start elsewhere: its attempt here has ended or is gone.
    pub(super) fn release(&mut self, id: &MachineId, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            if job.live.get(&task.index) == Some(id) {
                job.live.remove(&task.index);
            }
            let job_id = job.id.clone();
            self.drop_job_if_empty(&job_id);
        }
        self.restless = true;
    }

    /// The machine holds nothing any more: its session or it itself is gone.
    pub(super) fn empty_machine(&mut self, id: &MachineId, now: Instant) {
        let keys: Vec<(TaskId, u64)> = match self.machines.get(id) {
            Some(machine) => machine.attempts.keys().cloned().collect(),
            None => return,
        };
        for key in keys {
            self.remove_attempt(id, &key, now);
        }
        if self.unresolved.remove(id) && self.unresolved.is_empty() {
            tracing::info!(
                term = self.term,
                "every machine of the roster is accounted for"
            );
        }
        self.restless = true;
    }

    /// Ends the sessions whose leases are surely over.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let over: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| now > m.lease_over && (m.busy() || self.unresolved.contains(&m.id)))
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            if let Some(machine) = self.machines.get_mut(&id) {
                if let Some(session) = machine.session {
                    machine.dead_sessions = machine.dead_sessions.max(session);
                }
                tracing::info!(machine = %id, "worker lease over");
            }
            self.empty_machine(&id, now);
        }
    }

    /// Whether a batch task can't be expected to end before a notice does.
    pub(super) fn hopeless(attempt: &Attempt, left: Duration, now: Instant) -> bool {
        let Some(spec) = &attempt.spec else {
            return false;
        };
        if spec.kind == JobKind::Standing {
            return true;
        }
        let ran = attempt
            .running_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        spec.duration().saturating_sub(ran) > left * 2
    }
}

/// Whether a machine should hear of an attempt by `/commands` now.
fn needs_telling(attempt: &Attempt) -> bool {
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

pub(super) fn stop(task: &TaskId, take: u64, grace: Duration) -> Command {
    Command::Stop {
        task: task.clone(),
        attempt: take,
        grace_s: grace.as_secs_f64(),
    }
}
