//! What workers heartbeat and which commands they take.

use super::FencingToken;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{AttemptId, TaskId};

/// A task's state on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// A gang's task that waits for the others of its attempt.
    Waiting,
    /// Running.
    Running,
    /// Told to stop, and saving.
    #[serde(rename = "flushing")]
    Saving,
    /// Over; its ending tells why.
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// It has completed.
    Done,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed.
    Error,
    /// Its start was refused for want of room.
    #[serde(rename = "full")]
    NoRoom,
    /// Its start was refused: another attempt of it is there.
    #[serde(rename = "in_use")]
    Busy,
    /// Its start was refused: no such job or task is known.
    Unknown,
    /// Another task of its gang is gone.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// A reason that this version doesn't know.
    #[serde(other)]
    Other,
}

/// One line of a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "Voice", with = "task_id")]
    pub task: TaskId,
    /// The number of its attempt.
    #[serde(rename = "Take")]
    pub attempt: u64,
    /// How far it is.
    #[serde(rename = "Stage")]
    pub state: TaskState,
    /// Why it ended, if it has.
    #[serde(rename = "Coda", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<AttemptOutcome>,
}

impl TaskStatus {
    /// The attempt that it is about.
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
    /// The worker's agent epoch: one more each time its lease expires.
    #[serde(rename = "Rehearsal")]
    pub agent_epoch: u64,
    /// Increases with every heartbeat and every answer of the agent epoch.
    #[serde(rename = "Bar")]
    pub sequence: u64,
    /// The highest fencing token that it has seen.
    #[serde(rename = "Baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud takes the machine away, if it said so.
    #[serde(rename = "CueS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, ended ones too until they are cleared.
    #[serde(rename = "Voices")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "CueKind", rename_all = "snake_case")]
pub enum Command {
    /// Starts a task.
    Launch {
        /// The task.
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        /// The number of the attempt.
        #[serde(rename = "Take")]
        attempt: u64,
    },
    /// Stops a task.
    Stop {
        /// The task.
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        /// The number of the attempt.
        #[serde(rename = "Take")]
        attempt: u64,
        /// Seconds that it has to save.
        #[serde(rename = "RestS")]
        grace_s: f64,
    },
    /// Removes an ended task from the heartbeats.
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
    /// The attempt that it is about.
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
    /// The fencing token of the controller that answers.
    #[serde(rename = "Baton")]
    pub fencing_token: FencingToken,
    /// What the worker is to do.
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// The body of `/commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The fencing token of the controller that commands.
    #[serde(rename = "Baton")]
    pub fencing_token: FencingToken,
    /// The agent epoch in which they are to be executed.
    #[serde(rename = "Rehearsal")]
    pub agent_epoch: u64,
    /// What the worker is to do.
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// Where a worker should send heartbeats instead.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Redirect {
    /// The node id of the controller to send heartbeats to, if it is known.
    #[serde(rename = "Conductor", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

mod task_id {
    use super::*;

    pub fn serialize<S: Serializer>(task: &TaskId, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(task)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<TaskId, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(input)?;
        TaskId::parse(&text).ok_or_else(|| D::Error::custom("not a task id"))
    }
}
