//! Machines and the attempts that may exist on them.
//!
//! This module owns the state of each machine: what the leader knows about its worker, the
//! attempts on it, and whether it may get new tasks. All components of the shard read and change
//! this state through [`Machines`]. Nothing here decides that a machine is drained, cordoned or
//! deleted: the autoscaler and the health checks do.

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
use crate::protocol::{AttemptId, CommandToken, JobId, MachineId, TaskId};

/// Most bytes that the attempts in a heartbeat may take. A heartbeat takes 64 KiB at most (PROTOCOL);
/// the rest is for its other fields.
const MAX_LISTED_BYTES: usize = 56 * 1024;
/// Most bytes of an attempt's entry in a heartbeat, without the name of its job.
const MAX_STATUS_BYTES: usize = 120;
/// Bytes that the entry of one more attempt is counted as, with the name of its job.
const NEW_STATUS_BYTES: usize = 160;

/// A machine of the shard, and what this leader knows about its worker.
#[derive(Debug)]
pub struct Machine {
    /// The machine's name.
    pub id: MachineId,
    /// The worker's address, `host:port`; empty while it is unknown.
    pub addr: String,
    /// The name of its machine type.
    pub machine_type: Arc<str>,
    /// The machine's zone.
    pub zone: Arc<str>,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// The agent epochs and newest heartbeats of the worker.
    pub epochs: AgentEpochs,
    /// Whether a heartbeat has carried this leader's fencing token: from then on the worker
    /// refuses commands of earlier leaders.
    pub token_acknowledged: bool,
    /// The highest token of a message that this leader has sent to the worker, or that the worker has
    /// seen of this leader.
    pub command_token: CommandToken,
    /// State of the machine's entry in the stored roster.
    admission: Admission,
    /// When the last new heartbeat of the worker arrived, periodic or in answer to commands.
    pub last_contact: Option<Instant>,
    /// The upper bound on the expiry of the worker's lease.
    pub lease: WorkerLease,
    /// When the cloud will preempt the machine, according to the last notice.
    pub preemption_notice: Option<Instant>,
    /// All attempts that may exist on the machine.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// The load of these attempts, as last counted by [`Machines::refresh`].
    pub load: MachineLoad,
    images: ImageCache,
    /// When the machine was rented, or when this leader first learned of it.
    pub rented: Instant,
    /// Since when the machine has been up without a live attempt; None while it boots or has one.
    idle_since: Option<Instant>,
    /// Evidence, from the attempts on the machine, on whether the machine is faulty.
    pub health: MachineHealth,
    /// Whether the machine is being drained, to be deleted once it is empty.
    pub draining: bool,
    /// Progress of the machine's deletion.
    deletion: Deletion,
    /// Whether the cloud's machine list has contained the machine.
    pub was_listed: bool,
    /// Whether the cloud's machine list lacks the machine although it should contain it.
    pub is_missing_from_list: bool,
    /// State of the command delivery to the worker.
    pub commands: CommandChannel,
}

impl Machine {
    /// Creates a machine of which only the name is known. `now` counts as the time at which it
    /// was rented.
    pub fn new(id: MachineId, now: Instant, lease_expires_at: Instant) -> Self {
        Self {
            id,
            addr: String::new(),
            machine_type: "".into(),
            zone: "".into(),
            spot: false,
            epochs: AgentEpochs::default(),
            token_acknowledged: false,
            command_token: CommandToken::default(),
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
            was_listed: false,
            is_missing_from_list: false,
            commands: CommandChannel::default(),
        }
    }

    /// Sets the properties that a heartbeat, the machine list or the roster reports.
    pub fn update_description(&mut self, addr: &str, machine_type: &str, zone: &str, spot: bool) {
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

    /// The agent epoch of the worker's newest heartbeat; None before the first heartbeat.
    pub fn agent_epoch(&self) -> Option<u64> {
        self.epochs.current()
    }

    /// Whether the machine's entry in the stored roster is written, so that it may get tasks.
    pub fn is_admitted(&self) -> bool {
        self.admission == Admission::Admitted
    }

    /// Returns true if the write of the machine's roster entry has to be queued now, and marks it
    /// as queued: the caller queues it.
    pub fn request_admission(&mut self) -> bool {
        let is_due = self.admission == Admission::Unrecorded && !self.is_deleting();
        if is_due {
            self.admission = Admission::Requested;
        }
        is_due
    }

    /// Records that the machine's entry in the stored roster is written.
    pub fn set_admitted(&mut self) {
        self.admission = Admission::Admitted;
    }

    /// Whether the machine is rented and has not booted, as far as this leader knows: no heartbeat
    /// of its worker has arrived, and its roster entry is not written.
    pub fn is_booting(&self) -> bool {
        self.last_contact.is_none() && !self.is_admitted()
    }

    /// Whether the machine's deletion is decided.
    pub fn is_deleting(&self) -> bool {
        self.deletion != Deletion::None
    }

    /// Marks the machine's deletion as decided. Returns false if it already was.
    pub fn begin_deletion(&mut self) -> bool {
        let is_new = !self.is_deleting();
        if is_new {
            self.deletion = Deletion::Pending;
        }
        is_new
    }

    /// Delays the next deletion request to the cloud until `at`.
    pub fn retry_deletion_at(&mut self, at: Instant) {
        self.deletion = Deletion::RetryAt(at);
    }

    /// Whether the deletion has to be requested from the cloud again now.
    pub fn deletion_retry_is_due(&self, now: Instant) -> bool {
        matches!(self.deletion, Deletion::RetryAt(at) if at <= now)
    }

    /// Records that the deletion is requested from the cloud again.
    pub fn note_deletion_retried(&mut self) {
        self.deletion = Deletion::Pending;
    }

    /// Since when the machine has been up without a live attempt; None while it boots or has one.
    pub fn idle_since(&self) -> Option<Instant> {
        self.idle_since
    }

    /// Marks the machine as idle from `now` on, when its worker's first heartbeat arrives.
    pub fn begin_idle(&mut self, now: Instant) {
        self.idle_since = Some(now);
    }

    /// Marks the machine as not idle, since an attempt may run on it from now on.
    pub fn note_busy(&mut self) {
        self.idle_since = None;
    }

    /// Marks the machine as idle from `now` on when an attempt on it has ended, unless it is idle
    /// already or another attempt may run on it.
    pub fn note_idle_if_unused(&mut self, now: Instant) {
        if !self.has_live_attempt() {
            self.idle_since.get_or_insert(now);
        }
    }

    /// Whether the worker is expected to send heartbeats to this leader.
    pub fn expects_heartbeats(&self) -> bool {
        !self.is_deleting() && !self.is_booting()
    }

    /// Time since the last new heartbeat of the worker arrived, periodic or in answer to commands;
    /// [`Duration::MAX`] if none has arrived.
    pub fn since_last_contact(&self, now: Instant) -> Duration {
        match self.last_contact {
            Some(last_contact) => now.saturating_duration_since(last_contact),
            None => Duration::MAX,
        }
    }

    /// Time since the last periodic heartbeat of the worker. A worker without recent periodic
    /// heartbeats may still answer commands, but only the answers to periodic heartbeats renew its
    /// lease.
    pub fn since_periodic_heartbeat(&self, now: Instant) -> Duration {
        self.lease.since_periodic_heartbeat(now)
    }

    /// Whether new tasks may be started on the machine.
    pub fn is_schedulable(&self, now: Instant, policy: &Policy) -> bool {
        self.token_acknowledged
            && self.is_admitted()
            && self.epochs.is_live()
            && !self.commands.is_unreachable()
            && !self.is_deleting()
            && !self.health.is_cordoned()
            && !self.health.is_quarantined(now)
            && !self.draining
            && self.preemption_notice.is_none()
            && !self.is_missing_from_list
            && self.since_last_contact(now) < policy.suspect_after
            && self.since_periodic_heartbeat(now) < policy.heartbeat_overdue_after()
            && self.load.unknown_attempts == 0
            && self.listable_attempts() > 0
    }

    /// How many more attempts the worker's heartbeats may list: a worker whose heartbeat is larger than
    /// a request may be is not heard any more.
    pub fn listable_attempts(&self) -> usize {
        MAX_LISTED_BYTES.saturating_sub(self.load.listed_bytes) / NEW_STATUS_BYTES
    }

    /// Raises the token of this leader's messages to the worker, if a message under the raised one may
    /// clear an attempt that none under the present one may. A batch under the present token that is on
    /// its way would be refused, so the token stays while there is one.
    pub fn raise_token_for_clears(&mut self, usable: CommandToken) {
        if self.commands.is_in_flight() {
            return;
        }
        let is_waiting = |attempt: &Attempt| {
            attempt.is_clear_wanted()
                && attempt
                    .launch_fence
                    .clear_proof(self.command_token)
                    .is_none()
                && attempt.launch_fence.clear_proof(usable).is_some()
        };
        if self.attempts.values().any(is_waiting) {
            self.command_token = self.command_token.max(usable);
        }
    }

    /// All attempts of one job on the machine.
    pub fn attempts_of(&self, job: &JobId) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.attempts.range(attempt_range(job))
    }

    /// All attempts of one job on the machine, mutable.
    pub fn attempts_of_mut(&mut self, job: &JobId) -> impl Iterator<Item = &mut Attempt> {
        self.attempts
            .range_mut(attempt_range(job))
            .map(|(_, attempt)| attempt)
    }

    /// The resources of the machine, which is of the type `machine_type`, less those that its live
    /// attempts use; zero if the resource use of a live attempt is unknown.
    pub fn free(&self, machine_type: &MachineType) -> Resources {
        if self.load.unknown_attempts > 0 {
            return Resources::default();
        }
        Resources::of_machine_type(machine_type).minus(&self.load.used)
    }

    /// Whether the machine has an attempt that has not ended.
    pub fn has_live_attempt(&self) -> bool {
        self.attempts.values().any(|a| !a.ended())
    }

    /// Records that an image is used on the machine.
    pub fn note_image_use(&mut self, image: &str) {
        self.images.note_use(image);
    }

    /// Whether the machine is assumed to have an image in its cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.contains(image)
    }
}

/// The range of all possible attempt ids of a job.
fn attempt_range(job: &JobId) -> std::ops::RangeInclusive<AttemptId> {
    let at = |index, number| {
        let job = job.clone();
        let task = TaskId { job, index };
        AttemptId { task, number }
    };
    at(0, 0)..=at(u32::MAX, u64::MAX)
}

#[cfg(test)]
mod tests;
