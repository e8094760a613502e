//! The records that the key-value store's values hold.
//!
//! A stored field's name is that of its serde rename, if it has one; it never changes, since
//! controllers of different versions read and write the same store while they are replaced one
//! by one. A field may be added with a default; a reader ignores fields that it doesn't know.

use serde::{Deserialize, Serialize};

use crate::protocol::cloud::Rental;
use crate::protocol::users::{JobSpec, JobStage};
use crate::protocol::workers::{WorkerHeartbeat, task_id};
use crate::protocol::{AttemptId, FencingToken, TaskId};

/// The only shard so far: every key of a shard's state carries its number.
pub const SHARD: u32 = 0;

/// Version of the record formats that this program writes. Since version 2, the roster is kept in
/// pages, and final job records have a key prefix of their own beside that of the open ones.
pub const FORMAT_VERSION: u32 = 2;

/// Limits on the names in a final record, in bytes. They are applied in this order until the record
/// fits into a value.
const NAME_LIMITS_BYTES: [usize; 3] = [200, 64, 16];

/// An open job: accepted, and neither done nor cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// Wall-clock time at which the job was accepted, in milliseconds since 1970.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// The job's description.
    pub spec: JobSpec,
}

/// A job in its final state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The final state: done or cancelled.
    pub stage: JobStage,
    /// How many tasks the job had.
    pub tasks: u32,
    /// The job's description, from which the resources of tasks that still run are accounted.
    pub spec: JobSpec,
}

impl FinalRecord {
    /// The final record of a job with this description.
    pub fn new(stage: JobStage, spec: JobSpec) -> Self {
        Self {
            format_version: FORMAT_VERSION,
            stage,
            tasks: spec.tasks,
            spec,
        }
    }

    /// Shortens the record, if possible to at most `value_bytes`, a limit that may have been
    /// lowered since the job was accepted. The resources of its tasks are kept; the list of
    /// machine types is dropped, since no task starts any more, and long names are truncated.
    pub fn shortened_to(mut self, value_bytes: usize) -> Self {
        if self.fits(value_bytes) {
            return self;
        }
        self.spec.machine_types = None;
        for max_bytes in NAME_LIMITS_BYTES {
            truncate_to(&mut self.spec.image, max_bytes);
            truncate_to(&mut self.spec.class, max_bytes);
            if self.fits(value_bytes) {
                break;
            }
        }
        self
    }

    fn fits(&self, value_bytes: usize) -> bool {
        serde_json::to_vec(self).is_ok_and(|text| text.len() <= value_bytes)
    }
}

/// Truncates a text to at most `max_bytes`, without splitting a character.
fn truncate_to(text: &mut String, max_bytes: usize) {
    let end = (0..=max_bytes.min(text.len()))
        .rev()
        .find(|at| text.is_char_boundary(*at));
    text.truncate(end.unwrap_or(0));
}

/// The shard's leader record. The store revision at which it was written is the leader's
/// fencing token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The leader's node id.
    #[serde(rename = "label")]
    pub node_id: String,
    /// The id of the lease to which the record is attached.
    #[serde(rename = "hold")]
    pub lease: u64,
    /// Identifies the incarnation of the leader's process: it differs after a restart.
    #[serde(rename = "run")]
    pub incarnation: u64,
}

/// Permits a controller, the delegate, to renew leases with the leader's fencing token, for workers
/// that can't reach the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DelegateRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The leader's fencing token; the delegation ends with its leadership.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// Whether the leader requests an inventory of the delegated workers' tasks.
    #[serde(default)]
    pub inventory: bool,
}

/// One page of the launches that the leader has revoked. Versions that don't know the record ignore
/// it: as delegates they renew leases without making the launches ineffective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevokedLaunchesRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The fencing token of the leader that sent the launches.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// The launches.
    pub launches: Vec<RevokedLaunch>,
}

/// A launch that the leader sent, that got no answer, and whose attempt is to be stopped. It may
/// still arrive in the worker's agent epoch, as long as the worker has seen no higher fencing token.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RevokedLaunch {
    /// The machine's name.
    #[serde(rename = "m")]
    pub machine: String,
    /// The worker's agent epoch for which the launch was sent.
    #[serde(rename = "e")]
    pub agent_epoch: u64,
    /// The task.
    #[serde(rename = "t", with = "task_id")]
    pub task: TaskId,
    /// The number of the attempt.
    #[serde(rename = "a")]
    pub attempt: u64,
}

impl RevokedLaunch {
    /// The attempt that the launch would start.
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            task: self.task.clone(),
            number: self.attempt,
        }
    }
}

/// One page of a delegate's inventory: the tasks of delegated workers, as their heartbeats
/// listed them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InventoryRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The fencing token of the leader on whose behalf the delegate received the heartbeats.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// Whole heartbeats.
    #[serde(rename = "reports")]
    pub heartbeats: Vec<WorkerHeartbeat>,
    /// Parts of heartbeats that exceed the limit on values. Versions that don't know the field
    /// ignore it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<HeartbeatPart>,
}

/// A part of one heartbeat: some of its tasks, in the heartbeat's order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatPart {
    /// Identifies the split: all parts of this heartbeat have the same id, and the delegate uses it
    /// for no other heartbeat.
    #[serde(rename = "group")]
    pub split_id: u64,
    /// How many tasks the whole heartbeat lists.
    #[serde(rename = "total")]
    pub total_tasks: usize,
    /// The index in the whole heartbeat of this part's first task.
    #[serde(rename = "first")]
    pub first_task: usize,
    /// The heartbeat with this part's tasks alone.
    #[serde(rename = "report")]
    pub heartbeat: WorkerHeartbeat,
}

/// The shard's sequence number, which every write of the shard's state raises by one. A leader
/// that got no answer to a write reads it to learn whether the write was committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SequenceRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The fencing token of the leader that wrote it.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// The number.
    #[serde(rename = "n")]
    pub number: u64,
}

/// A machine's entry in a page of the roster. The stored names are one letter long, so that more
/// machines fit into a page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RosterRecord {
    /// The address of the machine's worker.
    #[serde(rename = "a")]
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// Whether the machine's deletion has been decided: no leader gives it tasks any more.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub deleting: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// A scale-out request to the cloud whose answer isn't known yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The request. A new leader repeats it with the same idempotency key.
    pub rental: Rental,
}

/// How many workers send heartbeats to a controller that can't reach the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReachabilityRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// The number of workers whose heartbeats reach the controller.
    #[serde(rename = "workers")]
    pub reachable_workers: u32,
    /// Wall-clock time at which the workers were counted, in milliseconds since 1970.
    #[serde(rename = "at_ms")]
    pub counted_at_ms: u64,
}
