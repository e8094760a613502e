//! The published interfaces: types, parsing and validation.
//!
//! The interfaces' own names appear only in this layer, as serde renames and constants; stored
//! records' names are in [`crate::storage::records`]. All of them, by interface:
//!
//! | on the wire | in the code | meaning |
//! | --- | --- | --- |
//! | **key-value store** | | |
//! | `Path`, `Write`, `Drop` | `key` | a key; of a write, of a deletion |
//! | `V` | `value` | the value |
//! | `Mark` | `mod_revision` | the revision of a key's last change |
//! | `Edition` | `revision` | the store's revision |
//! | `Pairs` | `items` | the keys of a page |
//! | `HasNext` | `more` | whether another page follows (also of the cloud's list) |
//! | `Guards` | `preconditions` | a transaction's conditions |
//! | `Apply` | `mutations` | a transaction's changes |
//! | `Tenure`, `/holds` | `lease` | a lease of the store |
//! | `TtlMs` | `ttl_ms` | a lease's time to live |
//! | `/follow`, `HoldMs`, `News` | `watch`, `hold_ms`, `events` | a watch, how long it waits, and its changes |
//! | `Prefix`, `After`, `Most` | `prefix`, `after`, page size | queries of lists and watches |
//! | **cloud** | | |
//! | `Instrument`, `Instruments` | `machine_type`, `types` | a machine type, or all |
//! | `Name` | `name` | a machine type's name |
//! | `Cores`, `Accelerators`, `MemGb` | `cores`, `accelerators`, `mem_gb` | a machine's resources |
//! | `CacheGb`, `FetchGbPerS` | `cache_gb`, `fetch_gb_per_s` | space for images, and how fast they are fetched |
//! | `Price`, `LowPrice` | `price`, `spot_price` | price per hour, on demand and spot |
//! | `StartupS` | `startup_s` | time to start a machine |
//! | `Hall`, `Halls` | `zone`, `zones` | a zone |
//! | `Booking` | `request` | a scale-out request's name |
//! | `Borrowed` | `spot` | a spot machine, or that one may be used |
//! | `Count` | `count` | how many machines |
//! | `Stand`, `Stands` | `machine`, `machines` | a machine's name |
//! | `NameId` | `id` | a machine's name in the list (a job's id for users) |
//! | `Addr` | `addr` | a worker's address |
//! | `Stage` | `state` | a machine's state |
//! | `HeldS` | `age_s` | time since a machine's rental was requested |
//! | **workers** | | |
//! | `Rehearsal` | `agent_epoch` | counts the expiries of a worker's lease |
//! | `Bar` | `sequence` | orders a worker's messages within an agent epoch |
//! | `Baton` | `fencing_token` | see [`FencingToken`] |
//! | `CueS` | `preemption_notice_s` | time until the cloud takes a spot machine away |
//! | `Voices`, `Voice` | `tasks`, `task` | tasks; their number in a submission |
//! | `Take` | `attempt` | an attempt's number |
//! | `Stage` | `state` | an attempt's state; `flushing` is `Saving` |
//! | `Coda` | `outcome` | why an attempt ended: `halted` is `Stopped`, `full` `NoRoom`, `in_use` `Busy`, `peers` `GangPeerLost`, `alone` `GangIncomplete` |
//! | `Cues`, `CueKind` | `commands`, the variants of `Command` | commands to a worker |
//! | `RestS` | `grace_s` | time to save a checkpoint after a stop command |
//! | `Conductor` | `leader` | the leader's node id |
//! | **users** | | |
//! | `NameId` | `id` | a job's id |
//! | `Repertoire` | `class` | the class of jobs |
//! | `Section` | `team` | the team |
//! | `Form` | `kind` | `batch`, `standing` (a service) or `group` (a gang) |
//! | `Tempo` | `priority` | the priority |
//! | `Score`, `ImageGb` | `image`, `image_gb` | the image and its size |
//! | `Instruments` | `machine_types` | the machine types that may be used |
//! | `OneZone`, `Scatter` | `one_zone`, `scatter` | placement in one zone, or at most half in one |
//! | `DurationS` | `duration_s` | estimated run time of a task |
//! | `BreathS` | `checkpoint_s` | time between two checkpoints |
//! | `FermataS` | `save_s` | time to save a checkpoint at a stop |
//! | `CurtainS` | `deadline_s` | time until the job should be done |
//! | `Stage` | `stage` | a job's state |
//! | `done`, `running` | the same | counts of tasks |

pub mod cloud;
pub mod frame;
pub mod kv;
pub mod peer_messages;
#[allow(
    missing_docs,
    reason = "the derive of rkyv adds fields without documentation"
)]
pub mod peers;
pub mod users;
pub mod workers;

use std::fmt;
use std::sync::Arc;

/// A job's id, chosen by its submitter.
pub type JobId = Arc<str>;
/// A machine's name, given by the cloud.
pub type MachineId = Arc<str>;

/// Identifies one term of a shard's leadership; a later leader's is larger.
///
/// It is the store revision at which the leader's record was written, so that it rises with
/// every election. It fences commands to workers, which drop those with a lower token than the
/// highest they have seen, and writes to the store, which require that the leader's record still
/// has this revision. On the wire to workers it is `Baton` (PROTOCOL, "Tokens").
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token of the leader whose record was written at this store revision.
    pub const fn new(revision: u64) -> Self {
        Self(revision)
    }

    /// The store revision at which the leader's record was written.
    pub const fn revision(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job that it belongs to.
    pub job: JobId,
    /// Its number in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `JOB/INDEX`; None if the text is not that.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        if job.is_empty() || index.is_empty() || !index.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// One attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The attempt's number. It never repeats for a task, whatever a leader that failed had
    /// started. All tasks of one attempt of a gang carry the same.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
