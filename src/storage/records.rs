//! What the key-value store's values hold. `v` is a record's version.

use crate::protocol::FencingToken;
use serde::{Deserialize, Serialize};

use crate::protocol::cloud::Rental;
use crate::protocol::users::{JobSpec, Stage};
use crate::protocol::workers::WorkerHeartbeat;

/// The only shard so far: keys and interfaces carry it, one leader runs it.
pub const SHARD: u32 = 0;

/// Version of the record formats that this program writes. Since 2 the roster
/// is kept in pages, and finished jobs stand beside the open ones.
pub const VERSION: u32 = 2;

/// An unfinished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The version of its format.
    pub v: u32,
    /// Time of day of its acceptance, in milliseconds.
    pub at_ms: u64,
    /// The job's description.
    pub spec: JobSpec,
}

/// A job that is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FinalRecord {
    /// The version of its format.
    pub v: u32,
    /// How it ended.
    pub stage: Stage,
    /// How many tasks it had.
    pub tasks: u32,
    /// What its last tasks may still use.
    pub spec: JobSpec,
}

impl FinalRecord {
    /// The last record of a job with this description.
    pub fn new(stage: Stage, spec: JobSpec) -> Self {
        Self {
            v: VERSION,
            stage,
            tasks: spec.tasks,
            spec,
        }
    }

    /// The same within a value's limit, which may have been lowered since the job
    /// was accepted: what its last tasks use stays, what only told where they may
    /// start goes, and names of any length are cut.
    pub fn within(mut self, value_bytes: usize) -> Self {
        let fits =
            |record: &Self| serde_json::to_vec(record).is_ok_and(|text| text.len() <= value_bytes);
        if fits(&self) {
            return self;
        }
        self.spec.machine_types = None;
        for longest in [200, 64, 16] {
            for name in [&mut self.spec.image, &mut self.spec.class] {
                let end = (0..=longest.min(name.len())).rev();
                let end = end.into_iter().find(|at| name.is_char_boundary(*at));
                name.truncate(end.unwrap_or(0));
            }
            if fits(&self) {
                break;
            }
        }
        self
    }
}

/// Who runs the shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The version of its format.
    pub v: u32,
    /// The leader's node id.
    #[serde(rename = "label")]
    pub node_id: String,
    /// The id of the lease that its record is attached to.
    #[serde(rename = "hold")]
    pub lease: u64,
    /// Tells one run of a controller's process from the next.
    #[serde(rename = "run")]
    pub incarnation: u64,
}

/// That a controller may answer workers which the leader with this fencing token can't hear.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DelegateRecord {
    /// The version of its format.
    pub v: u32,
    /// The leader's fencing token, with whose leadership the delegation ends.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// The leader asks what those workers hold.
    #[serde(default)]
    pub inventory: bool,
}

/// What some workers hold, as they reported under a fencing token to their delegate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InventoryRecord {
    /// The version of its format.
    pub v: u32,
    /// The leader's fencing token under which they reported.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// Whole heartbeats.
    #[serde(rename = "reports")]
    pub heartbeats: Vec<WorkerHeartbeat>,
    /// Parts of heartbeats that are larger than a value may be. An older version ignores
    /// this field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<HeartbeatPart>,
}

/// A part of one heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatPart {
    /// The same for all parts of the heartbeat, and for no others.
    pub group: u64,
    /// How many tasks the whole heartbeat lists.
    pub total: usize,
    /// How many of these come before this part's.
    pub first: usize,
    /// The heartbeat with this part's tasks.
    #[serde(rename = "report")]
    pub heartbeat: WorkerHeartbeat,
}

/// The shard's sequence number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SequenceRecord {
    /// The version of its format.
    pub v: u32,
    /// The fencing token of the leader that wrote it.
    #[serde(rename = "term")]
    pub fencing_token: FencingToken,
    /// The number.
    pub n: u64,
}

/// A machine that may hold tasks, as a page of the roster holds it.
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
    /// It is being given back.
    #[serde(rename = "r", default, skip_serializing_if = "is_false")]
    pub deleting: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// A rental that is not yet answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// The version of its format.
    pub v: u32,
    /// The request.
    pub rental: Rental,
}

/// How many workers a controller hears that can't reach the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReachabilityRecord {
    /// The version of its format.
    pub v: u32,
    /// How many workers.
    pub workers: u32,
    /// Time of day, in milliseconds.
    pub at_ms: u64,
}
