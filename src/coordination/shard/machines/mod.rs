//! Machines and the attempts that may exist on them.
//!
//! This module owns the state of each machine: what is known of its worker, the attempts on
//! it, and whether it may get new tasks. All components of the shard read and change it
//! through [`Machines`]. It never decides: when a machine is drained, cordoned or deleted is
//! up to the autoscaler and the health checks.

mod admission;
mod agent_epochs;
mod attempt;
mod command_channel;
mod deleted;
mod deletion;
mod image_cache;
mod resources;
mod set;
mod worker_lease;

pub(super) use agent_epochs::{AgentEpochs, EpochChange, HeartbeatNumber};
pub use attempt::{Attempt, Phase};
pub(super) use command_channel::CommandChannel;
pub(super) use deleted::DeletedMachines;
pub(super) use resources::Resources;
pub use set::{MachineLoad, Machines};
pub(super) use worker_lease::WorkerLease;

use admission::Admission;
use deletion::Deletion;
use image_cache::ImageCache;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{MachineHealth, Policy};
use crate::protocol::cloud::MachineType;
use crate::protocol::{AttemptId, JobId, MachineId, TaskId};

/// A machine of the shard, and its worker as far as this leader knows it.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its worker's address, `host:port`; empty while it isn't known.
    pub addr: String,
    /// The name of its machine type.
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// The agent epochs and newest heartbeats of its worker.
    pub epochs: AgentEpochs,
    /// Whether a heartbeat has carried this leader's fencing token: the worker refuses all
    /// older commands.
    pub token_acknowledged: bool,
    /// How far its entry in the stored roster is.
    admission: Admission,
    /// When the last new heartbeat of its worker arrived, as an answer or by itself.
    pub last_contact: Option<Instant>,
    /// The bound on its worker's lease.
    pub lease: WorkerLease,
    /// When the cloud will preempt it, by the last notice.
    pub preemption_notice: Option<Instant>,
    /// All attempts that may exist on it.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// What the attempts amount to, as last counted by [`Machines::refresh`].
    pub load: MachineLoad,
    images: ImageCache,
    /// When it was rented, as far as is known.
    pub rented: Instant,
    /// Since when it has been up without an attempt that may run on it.
    idle_since: Option<Instant>,
    /// What attempts on it have shown of it.
    pub health: MachineHealth,
    /// Whether it is being drained, to be deleted once it is empty.
    pub draining: bool,
    /// How far its deletion is.
    deletion: Deletion,
    /// Whether the cloud's machine list has held it.
    pub listed: bool,
    /// Whether the cloud's machine list lacks it though it should hold it.
    pub vanished: bool,
    /// The path of commands to its worker.
    pub commands: CommandChannel,
}

impl Machine {
    /// A machine of which only the name is known.
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
            images: ImageCache::default(),
            rented: now,
            idle_since: None,
            health: MachineHealth::default(),
            draining: false,
            deletion: Deletion::default(),
            listed: false,
            vanished: false,
            commands: CommandChannel::default(),
        }
    }

    /// Updates how a heartbeat, the machine list or the roster describes it.
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
        let is_due = self.admission == Admission::Unrecorded && !self.is_deleting();
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

    /// Whether its deletion was decided.
    pub fn is_deleting(&self) -> bool {
        self.deletion != Deletion::None
    }

    /// Decides its deletion; false if it was decided before.
    pub fn begin_deletion(&mut self) -> bool {
        let is_new = !self.is_deleting();
        if is_new {
            self.deletion = Deletion::Pending;
        }
        is_new
    }

    /// Puts the next request to delete it off until a moment.
    pub fn retry_deletion_at(&mut self, at: Instant) {
        self.deletion = Deletion::RetryAt(at);
    }

    /// Whether its deletion has to be requested again now.
    pub fn deletion_retry_is_due(&self, now: Instant) -> bool {
        matches!(self.deletion, Deletion::RetryAt(at) if at <= now)
    }

    /// Its deletion is requested again.
    pub fn note_deletion_retried(&mut self) {
        self.deletion = Deletion::Pending;
    }

    /// Since when it has been up without an attempt that may run on it.
    pub fn idle_since(&self) -> Option<Instant> {
        self.idle_since
    }

    /// It is idle from now on: its worker has been heard from for the first time.
    pub fn begin_idle(&mut self, now: Instant) {
        self.idle_since = Some(now);
    }

    /// An attempt may run on it from now on.
    pub fn note_busy(&mut self) {
        self.idle_since = None;
    }

    /// An attempt on it has ended: it is idle from now on, or since before, unless another
    /// attempt may run on it.
    pub fn note_idle_if_unused(&mut self, now: Instant) {
        if !self.busy() {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Whether its worker is expected to send heartbeats to this leader.
    pub fn expects_heartbeats(&self) -> bool {
        !self.is_deleting() && !self.is_booting()
    }

    /// Time since a heartbeat of its worker arrived, as an answer or by itself.
    pub fn since_last_contact(&self, now: Instant) -> Duration {
        match self.last_contact {
            Some(last_contact) => now.saturating_duration_since(last_contact),
            None => Duration::MAX,
        }
    }

    /// Time since its worker sent a heartbeat by itself. It may still answer commands, but
    /// only the answers to its own heartbeats renew its lease.
    pub fn since_own_heartbeat(&self, now: Instant) -> Duration {
        self.lease.since_renewal(now)
    }

    /// Whether new tasks may be started on it.
    pub fn open(&self, now: Instant, policy: &Policy) -> bool {
        self.token_acknowledged
            && self.is_admitted()
            && self.epochs.is_live()
            && !self.commands.is_unreachable()
            && !self.is_deleting()
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

    /// All attempts of one job, mutable.
    pub fn attempts_of_mut(&mut self, job: &JobId) -> impl Iterator<Item = &mut Attempt> {
        self.attempts
            .range_mut(range_of(job))
            .map(|(_, attempt)| attempt)
    }

    /// What is free on it, of the given type, beside all that may be in use.
    pub fn free(&self, kind: &MachineType) -> Resources {
        if self.load.unknown > 0 {
            return Resources::default();
        }
        Resources::of_machine_type(kind).minus(&self.load.used)
    }

    /// Whether an attempt on it has not ended.
    pub fn busy(&self) -> bool {
        self.attempts.values().any(|a| !a.ended())
    }

    /// Notes that an image is used on it.
    pub fn use_image(&mut self, image: &str) {
        self.images.note_use(image);
    }

    /// Whether it is assumed to cache an image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.contains(image)
    }
}

/// The range of a job's attempts in the order of all attempts.
fn range_of(job: &JobId) -> std::ops::RangeInclusive<AttemptId> {
    let at = |index, number| {
        let job = job.clone();
        let task = TaskId { job, index };
        AttemptId { task, number }
    };
    at(0, 0)..=at(u32::MAX, u64::MAX)
}

#[cfg(test)]
mod tests;
