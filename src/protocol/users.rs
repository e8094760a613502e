//! Messages of the user API: submissions of jobs, and the answers to submissions, status queries
//! and cancellations.

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::submission::{Malformed, Submission, field, parse_submission};

mod submission;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;
/// Upper bound in seconds on the time to save a checkpoint; larger values are treated as this one.
const MAX_SAVE_S: f64 = 1e6;
/// Upper bound in seconds on the estimated run time; larger values are treated as this one.
const MAX_DURATION_S: f64 = 1e9;
/// The prefix of every job id.
const JOB_ID_PREFIX: &str = "run-";
/// Maximum number of digits after the prefix of a job id.
const MAX_JOB_ID_DIGITS: usize = 20;

/// How a job's tasks run. The serde names of the variants are those in stored records. The names
/// on the wire are parsed in `submission`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs until it is done.
    Batch,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// Gang scheduling: all tasks run at the same time, or none runs.
    Gang,
}

/// The priority of a job. The variants are ordered from the lowest priority to the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that is not needed by any particular time.
    BestEffort,
    /// Ordinary work.
    Standard,
    /// Work that takes precedence over ordinary work.
    High,
    /// Work that is serving people right now.
    Prod,
}

/// The validated description of a job. The field names are also those in stored records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class that the job belongs to. Service-level objectives are set for each class.
    pub class: String,
    /// The team whose quota and quota limit apply.
    pub team: String,
    /// How its tasks run.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Cores of each task.
    pub cores: f64,
    /// Accelerators of each task.
    pub accelerators: f64,
    /// Memory of each task, in GB.
    pub mem_gb: f64,
    /// The image that its tasks need.
    pub image: String,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// The machine types that its tasks may use; `None` for any.
    pub machine_types: Option<Vec<String>>,
    /// The only zone that its tasks may use; `None` for any.
    pub zone: Option<String>,
    /// Whether all its tasks have to be in the same zone.
    pub one_zone: bool,
    /// Whether at most half of its tasks may be in one zone.
    pub scatter: bool,
    /// Whether its tasks may use spot machines.
    pub spot: bool,
    /// The submitter's estimate of a task's run time, in seconds; 0 for services.
    pub duration_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it makes none.
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    pub save_s: f64,
    /// Seconds from the submission until the job should be done.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Returns the time that a task needs to save a checkpoint when it is stopped; zero if the job
    /// makes no checkpoints.
    pub fn save_time(&self) -> Duration {
        if self.checkpoint_s > 0.0 {
            Duration::from_secs_f64(self.save_s.min(MAX_SAVE_S))
        } else {
            Duration::ZERO
        }
    }

    /// Whether the job's tasks are scheduled as a gang.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// Returns the submitter's estimate of a task's run time.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s.min(MAX_DURATION_S))
    }
}

/// Whether a text has the form of a job id: a fixed prefix and a number.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_ID_PREFIX).is_some_and(|number| {
        (1..=MAX_JOB_ID_DIGITS).contains(&number.len())
            && number.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    /// No task is running.
    Pending,
    /// Some task is running.
    Running,
    /// All tasks are done.
    Done,
    /// A user has cancelled the job.
    Cancelled,
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Its state.
    #[serde(rename = "Stage")]
    pub stage: JobStage,
    /// Number of its tasks that are done; `None` if the answer carries no counts.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Number of its tasks that are running; `None` if the answer carries no counts.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

#[cfg(test)]
mod tests;
