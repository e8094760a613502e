//! The records that the key-value store's values hold.
//!
//! A stored field's name is that of its serde rename, if it has one; it never changes, since
//! controllers of different versions read and write the same store while they are replaced one
//! by one. A field may be added with a default; a reader ignores fields that it doesn't know.

use serde::{Deserialize, Serialize};

use crate::protocol::FencingToken;
use crate::protocol::cloud::Rental;
use crate::protocol::users::{JobSpec, JobStage};
use crate::protocol::workers::WorkerHeartbeat;

/// The only shard so far: every key of a shard's state carries its number.
pub const SHARD: u32 = 0;

/// Version of the record formats that this program writes. Since 2 the roster is kept in pages,
/// and final job records have a prefix of their own beside that of the open ones.
pub const FORMAT_VERSION: u32 = 2;

/// Lengths in bytes to which a final record's names are cut, one after the other, until the
/// record fits a value.
const NAME_CUTS: [usize; 3] = [200, 64, 16];

/// An open job: accepted, and neither done nor cancelled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// Time of day at which the job was accepted, in milliseconds since 1970.
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
    /// How many tasks it had.
    pub tasks: u32,
    /// Its description, by which the resources of tasks that still run are accounted.
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

    /// Shortens the record until it takes at most `value_bytes`, a limit that may have been
    /// lowered since the job was accepted. The resources of its tasks are kept; the list of
    /// machine types is dropped, since no task starts any more, and long names are cut.
    pub fn within(mut self, value_bytes: usize) -> Self {
        if self.fits(value_bytes) {
            return self;
        }
        self.spec.machine_types = None;
        for longest in NAME_CUTS {
            cut(&mut self.spec.image, longest);
            cut(&mut self.spec.class, longest);
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

/// Cuts a text to at most this many bytes, between two characters.
fn cut(text: &mut String, longest: usize) {
    let end = (0..=longest.min(text.len()))
        .rev()
        .find(|at| text.is_char_boundary(*at));
    text.truncate(end.unwrap_or(0));
}

/// The shard's leadership record. The store revision at which it was written is the leader's
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
    /// Distinguishes the incarnations of a controller's process.
    #[serde(rename = "run")]
    pub incarnation: u64,
}

/// Permits a controller, the delegate, to renew the leases of workers that can't reach the
/// leader with this fencing token.
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
    /// Parts of heartbeats that are larger than a value may be. Versions that don't know the
    /// field ignore it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<HeartbeatPart>,
}

/// A part of one heartbeat: some of its tasks, in the heartbeat's order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatPart {
    /// The same for all parts of the heartbeat, and for no others of this delegate.
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

/// A machine's entry in a page of the roster. The names are one letter long to fit more
/// machines into a page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RosterRecord {
    /// Its worker's address.
    #[serde(rename = "a")]
    pub addr: String,
    /// Its type.
    #[serde(rename = "t")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "s", default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// Whether its deletion has been decided: it gets no tasks, whoever leads.
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
    /// The request, to be repeated under the same name.
    pub rental: Rental,
}

/// How many workers send heartbeats to a controller that can't reach the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReachabilityRecord {
    /// The version of its format.
    #[serde(rename = "v")]
    pub format_version: u32,
    /// How many workers.
    #[serde(rename = "workers")]
    pub reachable_workers: u32,
    /// Time of day of the count, in milliseconds since 1970.
    #[serde(rename = "at_ms")]
    pub counted_at_ms: u64,
}
