//! What workers report and which commands they take.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::TaskId;

/// A task's state on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Fetching,
    /// A gang's task that waits for the others of its attempt.
    Waiting,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    Done,
    #[serde(rename = "halted")]
    Stopped,
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    Unknown,
    /// Another task of its gang is gone.
    Peers,
    /// Its gang was not complete in time.
    Alone,
    #[serde(other)]
    Other,
}

/// One line of a report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "Voice", with = "task_id")]
    pub task: TaskId,
    #[serde(rename = "Take")]
    pub attempt: u64,
    #[serde(rename = "Stage")]
    pub state: TaskState,
    #[serde(rename = "Coda", default, skip_serializing_if = "Option::is_none")]
    pub ending: Option<Ending>,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "Stand")]
    pub machine: String,
    #[serde(rename = "Addr")]
    pub addr: String,
    #[serde(rename = "Instrument")]
    pub machine_type: String,
    #[serde(rename = "Hall")]
    pub zone: String,
    #[serde(rename = "Borrowed")]
    pub spot: bool,
    #[serde(rename = "Rehearsal")]
    pub session: u64,
    #[serde(rename = "Bar")]
    pub seq: u64,
    #[serde(rename = "Baton")]
    pub term: u64,
    #[serde(rename = "CueS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "Voices")]
    pub tasks: Vec<TaskReport>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "CueKind", rename_all = "snake_case")]
pub enum Command {
    Launch {
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        #[serde(rename = "Take")]
        attempt: u64,
    },
    Stop {
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        #[serde(rename = "Take")]
        attempt: u64,
        #[serde(rename = "RestS")]
        grace_s: f64,
    },
    Clear {
        #[serde(rename = "Voice", with = "task_id")]
        task: TaskId,
        #[serde(rename = "Take")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ReportAnswer {
    #[serde(rename = "Baton")]
    pub term: u64,
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// The body of `/commands`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CommandBatch {
    #[serde(rename = "Baton")]
    pub term: u64,
    #[serde(rename = "Rehearsal")]
    pub session: u64,
    #[serde(rename = "Cues")]
    pub commands: Vec<Command>,
}

/// Where a worker should report instead.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Redirect {
    #[serde(rename = "Conductor", skip_serializing_if = "Option::is_none")]
    pub owner: Option<String>,
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
