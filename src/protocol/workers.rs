//! The interface between workers and controllers: heartbeats, their responses, and commands.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{AttemptId, FencingToken, TaskId};

/// A task's state on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for its image to be fetched.
    Fetching,
    /// Waiting for the other tasks of its gang's attempt.
    Waiting,
    /// Running.
    Running,
    /// Commanded to stop, and saving a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended, with an [`AttemptOutcome`].
    Ended,
}

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The task is done.
    Done,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    Error,
    /// Its start was refused: the machine lacks capacity.
    #[serde(rename = "full")]
    NoRoom,
    /// Its start was refused: the machine has another attempt of the task.
    #[serde(rename = "in_use")]
    Busy,
    /// Its start was refused: the job or task doesn't exist.
    Unknown,
    /// Another task of its gang's attempt has ended.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// The other tasks of its gang's attempt did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// An outcome that this version doesn't know.
    #[serde(other)]
    Other,
}

/// The state of one task in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "Voice", with = "task_id")]
    pub task: TaskId,
    /// The number of its attempt.
    #[serde(rename = "Take")]
    pub attempt: u64,
    /// The attempt's state.
    #[serde(rename = "Stage")]
    pub state: TaskState,
    /// Why the attempt ended, if it has.
    #[serde(rename = "Coda", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<AttemptOutcome>,
}

impl TaskStatus {
    /// The attempt.
    pub fn attempt_id(&self) -> AttemptId {
        AttemptId {
            task: self.task.clone(),
            number: self.attempt,
        }
    }
}

/// A worker's heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine's name.
    #[serde(rename = "Stand")]
    pub machine: String,
    /// The worker's address.
    #[serde(rename = "Addr")]
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "Instrument")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "Hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "Borrowed")]
    pub spot: bool,
    /// The worker's agent epoch: it rises each time the worker's lease expires.
    #[serde(rename = "Rehearsal")]
    pub agent_epoch: u64,
    /// Rises with every heartbeat and every answer to commands within an agent epoch.
    #[serde(rename = "Bar")]
    pub sequence: u64,
    /// The highest fencing token that it has seen.
    #[serde(rename = "Baton")]
    pub fencing_token: FencingToken,
    /// The cloud's preemption notice for a spot machine: seconds until it is taken away.
    #[serde(rename = "CueS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, ended ones until they are cleared.
    #[serde(rename = "Voices")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "CueKind", rename_all = "snake_case")]
pub enum Command {
    /// Starts an attempt of a task.
    Launch {
        /// The task.
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        /// The number of the attempt.
        #[serde(rename = "Take")]
        attempt: u64,
    },
    /// Stops an attempt.
    Stop {
        /// The task.
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        /// The number of the attempt.
        #[serde(rename = "Take")]
        attempt: u64,
        /// Seconds that the task has to save a checkpoint.
        #[serde(rename = "RestS")]
        grace_s: f64,
    },
    /// Removes an ended attempt from the heartbeats.
    Clear {
        /// The task.
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        /// The number of the attempt.
        #[serde(rename = "Take")]
        attempt: u64,
    },
}

impl Command {
    /// The attempt that is commanded.
    pub fn attempt_id(&self) -> AttemptId {
        let (Self::Launch { task, attempt }
        | Self::Stop { task, attempt, .. }
        | Self::Clear { task, attempt }) = self;
        AttemptId {
            task: task.clone(),
            number: *attempt,
        }
    }
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct HeartbeatResponse {
    /// The leader's fencing token.
    #[serde(rename = "Baton")]
    pub fencing_token: FencingToken,
    /// What the worker has to do.
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// The body of `/commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The leader's fencing token.
    #[serde(rename = "Baton")]
    pub fencing_token: FencingToken,
    /// The agent epoch that the commands are for.
    #[serde(rename = "Rehearsal")]
    pub agent_epoch: u64,
    /// What the worker has to do.
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// The answer of a controller that doesn't lead: where to send heartbeats instead.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Redirect {
    /// The leader's node id, if it is known.
    #[serde(rename = "Conductor", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// A task id as text, `JOB/INDEX`.
mod task_id {
    use super::*;

    pub(super) fn serialize<S: Serializer>(task: &TaskId, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(task)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<TaskId, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(input)?;
        TaskId::parse(&text).ok_or_else(|| D::Error::custom("not a task id"))
    }
}
