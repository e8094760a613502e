//! Machines and the attempts that may exist on them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{FailureEvidence, MachineLoad, Policy};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::AttemptOutcome;
use crate::protocol::{AttemptId, JobId, MachineId, TaskId};

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Decided; no heartbeat has shown it yet.
    Launching,
    /// Waiting for its image.
    Fetching,
    /// A gang's task that waits for the others.
    Waiting,
    /// Running.
    Running,
    /// Saving its progress before it stops.
    Saving,
    /// Over, for this reason.
    Ended(AttemptOutcome),
}

/// One try to run a task on a machine.
#[derive(Debug)]
pub struct Attempt {
    /// What it uses; unknown for an orphan whose job is being looked up.
    pub spec: Option<Arc<JobSpec>>,
    /// How far it is.
    pub phase: Phase,
    /// When it was decided, or first seen.
    pub began: Instant,
    /// Since when it is in this phase.
    pub since: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Started by an earlier leader: it has run for longer than was seen.
    pub adopted: bool,
    /// A launch was sent to which no answer came: it may land at any time
    /// until the agent epoch ends, so the attempt must never be cleared.
    pub unanswered: bool,
    /// In a batch of commands that is under way.
    pub in_flight: bool,
    /// Wanted to stop, with this time to save.
    pub stop: Option<Duration>,
    /// The stop with that time has been executed.
    pub stop_sent: bool,
    /// Its end is on record: the worker may forget it.
    pub clearable: bool,
    /// It has run far longer than others of its job, and its machine was noted for it.
    pub overdue: bool,
}

impl Attempt {
    /// An attempt that begins in this phase.
    pub fn new(spec: Option<Arc<JobSpec>>, phase: Phase, now: Instant) -> Self {
        Self {
            spec,
            phase,
            began: now,
            since: now,
            running_since: None,
            adopted: false,
            unanswered: false,
            in_flight: false,
            stop: None,
            stop_sent: false,
            clearable: false,
            overdue: false,
        }
    }

    /// Whether it has ended.
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
            Some(spec) if spec.checkpoint_s > 0.0 => ran.min(spec.save_time()),
            _ => ran,
        }
    }
}

/// What sums of amounts may be off by.
const AMOUNT_ROUNDING: f64 = 1e-9;

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

    pub fn give_many(&mut self, spec: &JobSpec, tasks: u32) {
        let tasks = f64::from(tasks);
        self.cores += spec.cores * tasks;
        self.accelerators += spec.accelerators * tasks;
        self.mem_gb += spec.mem_gb * tasks;
    }

    pub fn give(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.accelerators += spec.accelerators;
        self.mem_gb += spec.mem_gb;
    }

    /// What is left when so much is taken.
    pub fn less(&self, taken: &Self) -> Self {
        Self {
            cores: self.cores - taken.cores,
            accelerators: self.accelerators - taken.accelerators,
            mem_gb: self.mem_gb - taken.mem_gb,
        }
    }

    /// Whether a task of a job fits.
    pub fn holds(&self, spec: &JobSpec) -> bool {
        let fits = |have: f64, need: f64| need <= 0.0 || have + AMOUNT_ROUNDING >= need;
        fits(self.cores, spec.cores)
            && fits(self.accelerators, spec.accelerators)
            && fits(self.mem_gb, spec.mem_gb)
    }

    /// How many tasks of a job fit.
    pub fn fits(&self, spec: &JobSpec) -> u32 {
        let ratio = |have: f64, need: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + AMOUNT_ROUNDING) / need).floor()
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
    /// Its name.
    pub id: MachineId,
    /// Its worker's address; empty while it isn't known.
    pub addr: String,
    /// Its type.
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The agent epoch in which its worker was last heard.
    pub agent_epoch: Option<u64>,
    /// The newest number of that agent epoch.
    pub sequence: u64,
    /// The newest that it reported by itself, as (agent epoch, number): what is not
    /// newer is a copy that nobody waits for.
    pub last_heartbeat: (u64, u64),
    /// Agent epochs up to this one are over, whatever late messages say.
    pub ended_epochs: u64,
    /// A heartbeat has carried our fencing token: no older command can land any more.
    pub token_acknowledged: bool,
    /// Its roster record is written: it may get tasks.
    pub admitted: bool,
    /// The write of its roster record has been asked for.
    pub admission_asked: bool,
    /// Last message of its worker that reached us.
    pub last_contact: Option<Instant>,
    /// Since when it is on our books.
    pub known: Instant,
    /// When a heartbeat that came by itself last renewed its worker's lease.
    pub renewed: Option<Instant>,
    /// Its worker's lease has surely ended after this.
    pub lease_expires_at: Instant,
    /// When the cloud takes it away, as far as was said.
    pub preemption_notice: Option<Instant>,
    /// All attempts that may exist on it, by task and attempt number.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// What they amount to, as last counted.
    pub load: MachineLoad,
    /// Images it holds or fetches, most recently used last.
    pub images: Vec<String>,
    /// When its rental was asked for, as far as is known.
    pub rented: Instant,
    /// Since when nothing has run on it.
    pub idle_since: Option<Instant>,
    /// Jobs that failed on it.
    pub failures: FailureEvidence,
    /// Tasks that ran far longer on it than others of their jobs elsewhere.
    pub slow_tasks: u32,
    /// Gets no new tasks and is given back when empty.
    pub cordoned: bool,
    /// Being emptied, so that it can be given back.
    pub draining: bool,
    /// A deletion is under way.
    pub deleting: bool,
    /// When a deletion without an answer is asked for again.
    pub deletion_retry: Option<Instant>,
    /// It has been on the cloud's list.
    pub listed: bool,
    /// It should be on the cloud's list, and isn't.
    pub vanished: bool,
    /// The batch of commands that is under way.
    pub command: Option<u64>,
    /// The newest numbers known when that batch was sent: what answers it is
    /// newer, unless the worker has started over.
    pub asked_at: (u64, u64),
    /// Commands don't reach it, as far as is known: it gets no new work until
    /// it answers some.
    pub outbound_unreachable: bool,
    /// When commands may be sent again after a failure.
    pub command_retry: Option<Instant>,
    /// Batches of commands without an answer since it was last heard.
    pub unanswered: u32,
}

impl Machine {
    /// A machine of which nothing is known but its name.
    pub fn new(id: MachineId, now: Instant, lease_expires_at: Instant) -> Self {
        Self {
            id,
            addr: String::new(),
            machine_type: "".into(),
            zone: "".into(),
            spot: false,
            agent_epoch: None,
            sequence: 0,
            last_heartbeat: (0, 0),
            ended_epochs: 0,
            token_acknowledged: false,
            admitted: false,
            admission_asked: false,
            last_contact: None,
            known: now,
            renewed: None,
            lease_expires_at,
            preemption_notice: None,
            attempts: BTreeMap::new(),
            load: MachineLoad::default(),
            images: Vec::new(),
            rented: now,
            idle_since: None,
            failures: FailureEvidence::default(),
            slow_tasks: 0,
            cordoned: false,
            draining: false,
            deleting: false,
            deletion_retry: None,
            listed: false,
            vanished: false,
            command: None,
            asked_at: (0, 0),
            outbound_unreachable: false,
            command_retry: None,
            unanswered: 0,
        }
    }

    /// What a heartbeat, the list or the roster says of it.
    pub fn describe(&mut self, addr: &str, machine_type: &str, zone: &str, spot: bool) {
        if self.addr != addr {
            addr.clone_into(&mut self.addr);
        }
        if *self.machine_type != *machine_type {
            self.machine_type = machine_type.into();
        }
        if *self.zone != *zone {
            self.zone = zone.into();
        }
        self.spot = spot;
    }

    /// The newest numbers that came from its worker.
    pub fn numbers(&self) -> (u64, u64) {
        (self.agent_epoch.unwrap_or(0), self.sequence)
    }

    /// Whether its worker has ever been expected to send heartbeats to us.
    pub fn expects_heartbeats(&self) -> bool {
        !self.deleting && (self.last_contact.is_some() || self.admitted)
    }

    /// For how long its worker has not been heard in any way.
    pub fn since_last_contact(&self, now: Instant) -> Duration {
        match self.last_contact {
            Some(last_contact) => now.saturating_duration_since(last_contact),
            None => Duration::MAX,
        }
    }

    /// For how long its worker has not reported by itself. It may still answer
    /// what it is asked, but only its heartbeats renew its lease.
    pub fn since_own_heartbeat(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.renewed.unwrap_or(self.known))
    }

    /// Whether new tasks may be started on it.
    pub fn open(&self, now: Instant, policy: &Policy) -> bool {
        self.token_acknowledged
            && self.admitted
            && self
                .agent_epoch
                .is_some_and(|agent_epoch| agent_epoch > self.ended_epochs)
            && !self.outbound_unreachable
            && !self.deleting
            && !self.cordoned
            && !self.failures.quarantines(now)
            && !self.draining
            && self.preemption_notice.is_none()
            && !self.vanished
            && self.since_last_contact(now) < policy.suspect_after
            && self.since_own_heartbeat(now) < policy.heartbeat_overdue()
            && self.load.unknown == 0
    }

    /// All attempts of one job.
    pub fn attempts_of(&self, job: &JobId) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.attempts.range(range_of(job))
    }

    /// All attempts of one job, to change.
    pub fn attempts_of_mut(&mut self, job: &JobId) -> impl Iterator<Item = &mut Attempt> {
        self.attempts
            .range_mut(range_of(job))
            .map(|(_, attempt)| attempt)
    }

    /// What is left beside all that may be in use on it.
    pub fn free(&self, kind: &MachineType) -> Amounts {
        if self.load.unknown > 0 {
            return Amounts::default();
        }
        Amounts::of_type(kind).less(&self.load.used)
    }

    /// Whether an attempt on it may not have ended.
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

    /// Whether it holds an image, as far as is known.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|held| held == image)
    }
}

/// Where a job's attempts stand among a machine's.
fn range_of(job: &JobId) -> std::ops::RangeInclusive<AttemptId> {
    let at = |index, number| {
        let job = job.clone();
        let task = TaskId { job, index };
        AttemptId { task, number }
    };
    at(0, 0)..=at(u32::MAX, u64::MAX)
}
