//! The messages of the published interfaces: their types, parsing and validation.
//!
//! The names that the interfaces use on the wire appear only in this layer, as serde renames and
//! constants. The names in stored records are in [`crate::storage::records`]. The following table
//! lists the names on the wire by interface:
//!
//! | on the wire | in the code | meaning |
//! | --- | --- | --- |
//! | **key-value store** | | |
//! | `Path`, `Write`, `Drop` | `key` | a key; `Write` for the key of a write, `Drop` for that of a deletion |
//! | `V` | `value` | a key's value |
//! | `Mark` | `mod_revision` | the revision of a key's last change |
//! | `Edition` | `revision` | a revision of the store |
//! | `Pairs` | `items` | the keys of a page |
//! | `HasNext` | `has_more` | whether another page follows (also in the cloud's machine list) |
//! | `Guards` | `preconditions` | a transaction's conditions |
//! | `Apply` | `mutations` | a transaction's changes |
//! | `Tenure`, `/holds` | `lease` | a lease of the store |
//! | `TtlMs` | `ttl_ms` | a lease's time to live |
//! | `/follow`, `HoldMs`, `News` | `watch`, `hold_ms`, `events` | a watch, how long it waits for a change, and the changes that it returns |
//! | `Prefix`, `After`, `Most` | `prefix`, `after`, page size | query parameters of lists and watches |
//! | **cloud** | | |
//! | `Instrument`, `Instruments` | `machine_type`, `types` | a machine type, or all of them |
//! | `Name` | `name` | a machine type's name |
//! | `Cores`, `Accelerators`, `MemGb` | `cores`, `accelerators`, `mem_gb` | a machine's resources |
//! | `CacheGb`, `FetchGbPerS` | `cache_gb`, `fetch_gb_per_s` | space for cached images, and the rate at which images are fetched |
//! | `Price`, `LowPrice` | `price`, `spot_price` | price per hour of an on-demand and of a spot machine |
//! | `StartupS` | `startup_s` | usual time that a machine takes to start |
//! | `Hall`, `Halls` | `zone`, `zones` | a zone |
//! | `Booking` | `request` | the idempotency key of a scale-out request |
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
//! | `Baton` | `fencing_token` | see [`CommandToken`] |
//! | `CueS` | `preemption_notice_s` | time until the cloud preempts a spot machine |
//! | `Voices`, `Voice` | `tasks`, `task` | tasks; in a submission, the number of tasks |
//! | `Take` | `attempt` | an attempt's number |
//! | `Stage` | `state` | an attempt's state; `flushing` is `TaskState::Saving` |
//! | `Coda` | `outcome` | why an attempt ended: `halted` is `Stopped`, `full` `NoRoom`, `in_use` `Busy`, `peers` `GangPeerLost`, `alone` `GangIncomplete` |
//! | `Cues`, `CueKind` | `commands`, the variants of `Command` | commands to a worker |
//! | `RestS` | `grace_s` | time that a task gets to save a checkpoint after a stop command |
//! | `Conductor` | `leader` | the leader's node id |
//! | **users** | | |
//! | `NameId` | `id` | a job's id |
//! | `Repertoire` | `class` | the class of jobs |
//! | `Section` | `team` | the team |
//! | `Form` | `kind` | `batch`, `standing` (a service) or `group` (a gang) |
//! | `Tempo` | `priority` | the priority |
//! | `Score`, `ImageGb` | `image`, `image_gb` | the image and its size |
//! | `Instruments` | `machine_types` | the machine types that may be used |
//! | `OneZone`, `Scatter` | `one_zone`, `scatter` | placement of all tasks in one zone, or of at most half of them in any one zone |
//! | `DurationS` | `duration_s` | estimated run time of a task |
//! | `BreathS` | `checkpoint_s` | time between two checkpoints |
//! | `FermataS` | `save_s` | time that a task needs to save a checkpoint when it is stopped |
//! | `CurtainS` | `deadline_s` | time from the submission until the job should be done |
//! | `Stage` | `stage` | a job's state |
//! | `done`, `running` | the same names | numbers of a job's tasks that are done or running |

pub mod cloud;
pub mod frame;
pub mod kv;
pub mod peer_messages;
#[allow(
    missing_docs,
    reason = "the derive of rkyv adds fields without documentation"
)]
pub mod peers;
mod tokens;
pub mod users;
pub mod workers;

pub use tokens::{CommandToken, FencingToken};

use std::fmt;
use std::sync::Arc;

/// A job's id, chosen by its submitter.
pub type JobId = Arc<str>;
/// A machine's name, given by the cloud.
pub type MachineId = Arc<str>;

/// Identifies one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The index of the task in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses a text of the form `JOB/INDEX`. Returns `None` if the text has another form.
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

/// Identifies one attempt to run a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// The attempt's number. It is never reused for the same task, even if a leader failed after
    /// it started attempts. In one attempt of a gang, all tasks have the same number.
    pub number: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
