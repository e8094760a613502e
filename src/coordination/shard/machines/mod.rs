//! Machines and the attempts that may exist on them.

mod admission;
mod agent_epochs;
mod amounts;
mod attempt;
mod command_channel;
mod deleted;
mod set;
mod worker_lease;

pub use agent_epochs::{AgentEpochs, EpochChange, HeartbeatNumber};
pub use amounts::Amounts;
pub use attempt::{Attempt, Phase};
pub use command_channel::CommandChannel;
pub use deleted::DeletedMachines;
pub use set::{MachineLoad, Machines};
pub use worker_lease::WorkerLease;

use admission::Admission;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{MachineHealth, Policy};
use crate::protocol::cloud::MachineType;
use crate::protocol::{AttemptId, JobId, MachineId, TaskId};

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
    /// The agent epochs and newest heartbeats of its worker.
    pub epochs: AgentEpochs,
    /// A heartbeat has carried our fencing token: no older command can land any more.
    pub token_acknowledged: bool,
    /// How far its entry in the stored roster is.
    admission: Admission,
    /// Last message of its worker that reached us.
    pub last_contact: Option<Instant>,
    /// The bound on its worker's lease.
    pub lease: WorkerLease,
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
    /// What attempts on it have shown of it.
    pub health: MachineHealth,
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
    /// The path of commands to its worker.
    pub commands: CommandChannel,
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
            epochs: AgentEpochs::default(),
            token_acknowledged: false,
            admission: Admission::default(),
            last_contact: None,
            lease: WorkerLease::new(now, lease_expires_at),
            preemption_notice: None,
            attempts: BTreeMap::new(),
            load: MachineLoad::default(),
            images: Vec::new(),
            rented: now,
            idle_since: None,
            health: MachineHealth::default(),
            draining: false,
            deleting: false,
            deletion_retry: None,
            listed: false,
            vanished: false,
            commands: CommandChannel::default(),
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

    /// The agent epoch in which its worker last sent a heartbeat.
    pub fn agent_epoch(&self) -> Option<u64> {
        self.epochs.current()
    }

    /// Whether its entry in the stored roster is written: it may get tasks.
    pub fn is_admitted(&self) -> bool {
        self.admission == Admission::Admitted
    }

    /// Whether the write of its roster entry has to be queued now; from then on it is.
    pub fn request_admission(&mut self) -> bool {
        let is_due = self.admission == Admission::Unrecorded && !self.deleting;
        if is_due {
            self.admission = Admission::Requested;
        }
        is_due
    }

    /// Its entry in the stored roster is written.
    pub fn set_admitted(&mut self) {
        self.admission = Admission::Admitted;
    }

    /// Whether it is rented and has not booted, as far as is known: its worker has never been
    /// heard from.
    pub fn is_booting(&self) -> bool {
        self.last_contact.is_none() && !self.is_admitted()
    }

    /// Whether its worker is expected to send heartbeats to us.
    pub fn expects_heartbeats(&self) -> bool {
        !self.deleting && !self.is_booting()
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
        self.lease.since_renewal(now)
    }

    /// Whether new tasks may be started on it.
    pub fn open(&self, now: Instant, policy: &Policy) -> bool {
        self.token_acknowledged
            && self.is_admitted()
            && self.epochs.is_live()
            && !self.commands.is_unreachable()
            && !self.deleting
            && !self.health.is_cordoned()
            && !self.health.is_quarantined(now)
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
