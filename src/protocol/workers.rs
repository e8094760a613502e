//! Messages between workers and controllers: heartbeats, the responses to them, and commands.

use std::fmt;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::{AttemptId, CommandToken, TaskId};

/// The state of a task's attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The attempt waits for its image to be fetched.
    Fetching,
    /// The attempt waits for the other tasks of the same gang attempt.
    Waiting,
    /// The attempt is running.
    Running,
    /// The attempt was commanded to stop and is saving a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// The attempt has ended, with an [`AttemptOutcome`].
    Ended,
}

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The task is done.
    Done,
    /// The attempt was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// The attempt failed.
    Error,
    /// The worker refused to start the attempt: the machine lacks capacity.
    #[serde(rename = "full")]
    NoRoom,
    /// The worker refused to start the attempt: the machine has another attempt of the task.
    #[serde(rename = "in_use")]
    Busy,
    /// The worker refused to start the attempt: the job or task doesn't exist.
    Unknown,
    /// Another task of the same gang attempt has ended.
    #[serde(rename = "peers")]
    GangPeerLost,
    /// The other tasks of the same gang attempt did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    /// An outcome that this version doesn't know.
    #[serde(other)]
    Other,
}

/// The status of one task in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "Voice", with = "task_id")]
    pub task: TaskId,
    /// The number of the task's attempt.
    #[serde(rename = "Take")]
    pub attempt: u64,
    /// The attempt's state.
    #[serde(rename = "Stage")]
    pub state: TaskState,
    /// Why the attempt ended; `None` if it has not ended.
    #[serde(rename = "Coda", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<AttemptOutcome>,
}

impl TaskStatus {
    /// Returns the id of the attempt that this status is about.
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
    /// The worker's agent epoch, which rises each time the worker's lease expires.
    #[serde(rename = "Rehearsal")]
    pub agent_epoch: u64,
    /// The sequence number of this message. Within an agent epoch it rises with every heartbeat
    /// and every answer to commands.
    #[serde(rename = "Bar")]
    pub sequence: u64,
    /// The highest token that the worker has seen.
    #[serde(rename = "Baton")]
    pub fencing_token: CommandToken,
    /// The cloud's preemption notice for a spot machine: seconds until the cloud reclaims the
    /// machine.
    #[serde(rename = "CueS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine. Tasks that have ended are included until they are cleared.
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
        /// Seconds that the task gets to save a checkpoint.
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
    /// The kind of the command as text for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Launch { .. } => "launch",
            Self::Stop { .. } => "stop",
            Self::Clear { .. } => "clear",
        }
    }

    /// Returns the id of the attempt that the command applies to.
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

/// Commands as text for the log.
pub struct CommandSummary<'a>(pub &'a [Command]);

impl fmt::Display for CommandSummary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, command) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{} {}", command.name(), command.attempt_id())?;
        }
        Ok(())
    }
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct HeartbeatResponse {
    /// The token of this message.
    #[serde(rename = "Baton")]
    pub fencing_token: CommandToken,
    /// The commands that the worker has to execute.
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// The body of `/commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The token of this message.
    #[serde(rename = "Baton")]
    pub fencing_token: CommandToken,
    /// The worker's agent epoch that the commands are meant for.
    #[serde(rename = "Rehearsal")]
    pub agent_epoch: u64,
    /// The commands that the worker has to execute.
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// The answer of a controller that may not renew the worker's lease: names the controller to send
/// heartbeats to instead.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Redirect {
    /// The leader's node id, if it is known.
    #[serde(rename = "Conductor", skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

/// Serializes a task id as a text of the form `JOB/INDEX`.
pub(crate) mod task_id {
    use super::*;

    pub(crate) fn serialize<S: Serializer>(task: &TaskId, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(task)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<TaskId, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(input)?;
        TaskId::parse(&text).ok_or_else(|| D::Error::custom("not a task id"))
    }
}
