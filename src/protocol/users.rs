//! What users send and receive.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

/// Largest number of tasks in a job.
pub const MAX_TASKS: u64 = 100_000;
/// Longest durations and amounts that are taken as meant.
const MAX_AMOUNT: f64 = 1e12;

/// How a job's tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs to its end.
    Batch,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
    /// All tasks run at the same time or none does.
    Gang,
}

/// Priorities, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// What nobody waits for.
    BestEffort,
    /// Ordinary work.
    Standard,
    /// Work that goes before ordinary work.
    High,
    /// What people use.
    Prod,
}

/// A job's description, validated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The class of jobs that it belongs to.
    pub class: String,
    /// The team whose guarantee and limit apply.
    pub team: String,
    /// How its tasks run.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// How many tasks it has.
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
    /// The machine types that it may use; any if none are named.
    pub machine_types: Option<Vec<String>>,
    /// The only zone that it may use, if one is named.
    pub zone: Option<String>,
    /// All tasks have to be in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks may be in one zone.
    pub scatter: bool,
    /// It may use spot machines.
    pub spot: bool,
    /// The submitter's estimate of a task's run time; 0 for services.
    pub duration_s: f64,
    /// Seconds of progress between two checkpoints; 0 if it saves none.
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    pub save_s: f64,
    /// Seconds from its submission until it should be complete.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Time that a task needs to save; none if it never does.
    pub fn save_time(&self) -> Duration {
        if self.checkpoint_s > 0.0 {
            Duration::from_secs_f64(self.save_s.min(1e6))
        } else {
            Duration::ZERO
        }
    }

    /// Whether all its tasks run at the same time or none does.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// The submitter's estimate of a task's run time.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s.min(1e9))
    }
}

/// Why a submission is malformed.
#[derive(Debug, Error, PartialEq)]
pub enum Malformed {
    /// The body is not a JSON object.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// This field is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// This field has a wrong value, for this reason.
    #[error("field {0} is invalid: {1}")]
    Invalid(&'static str, &'static str),
}

impl Malformed {
    /// The field at fault, if one is.
    pub fn field(&self) -> Option<&'static str> {
        match self {
            Self::NotAnObject => None,
            Self::Missing(field) | Self::Invalid(field, _) => Some(field),
        }
    }
}

/// Whether a text has the form of a job id.
pub fn valid_job_id(id: &str) -> bool {
    id.strip_prefix("run-").is_some_and(|rest| {
        (1..=20).contains(&rest.len()) && rest.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Reads a submission.
pub fn parse_submission(body: &[u8]) -> Result<(String, JobSpec), Malformed> {
    let value: Value = serde_json::from_slice(body).map_err(|_| Malformed::NotAnObject)?;
    let Value::Object(map) = value else {
        return Err(Malformed::NotAnObject);
    };
    let fields = Fields(map);
    let id = fields.text("NameId")?;
    if !valid_job_id(&id) {
        return Err(Malformed::Invalid("NameId", "not a job id"));
    }
    let kind = match fields.text("Form")?.as_str() {
        "batch" => JobKind::Batch,
        "standing" => JobKind::Service,
        "group" => JobKind::Gang,
        _ => return Err(Malformed::Invalid("Form", "batch, standing or group")),
    };
    let priority = match fields.text("Tempo")?.as_str() {
        "prod" => Priority::Prod,
        "high" => Priority::High,
        "standard" => Priority::Standard,
        "best_effort" => Priority::BestEffort,
        _ => return Err(Malformed::Invalid("Tempo", "not a priority")),
    };
    let tasks = fields.count("Voices")?;
    if !(1..=MAX_TASKS).contains(&tasks) {
        return Err(Malformed::Invalid("Voices", "1 to 100000"));
    }
    let cores = fields.amount("Cores")?;
    if cores <= 0.0 {
        return Err(Malformed::Invalid("Cores", "must be above 0"));
    }
    let spec = JobSpec {
        class: fields.text("Repertoire")?,
        team: fields.text("Section")?,
        kind,
        priority,
        tasks: u32::try_from(tasks).map_err(|_| Malformed::Invalid("Voices", "1 to 100000"))?,
        cores,
        accelerators: fields.amount("Accelerators")?,
        mem_gb: fields.amount("MemGb")?,
        image: fields.text("Score")?,
        image_gb: fields.amount("ImageGb")?,
        machine_types: fields.texts_or_null("Instruments")?,
        zone: fields.text_or_null("Hall")?,
        one_zone: fields.flag("OneZone")?,
        scatter: fields.flag("Scatter")?,
        spot: fields.flag("Borrowed")?,
        duration_s: fields.amount("DurationS")?,
        checkpoint_s: fields.amount("BreathS")?,
        save_s: fields.amount("FermataS")?,
        deadline_s: fields.amount_or_null("CurtainS")?,
    };
    Ok((id, spec))
}

struct Fields(Map<String, Value>);

impl Fields {
    fn get(&self, name: &'static str) -> Result<&Value, Malformed> {
        self.0.get(name).ok_or(Malformed::Missing(name))
    }

    fn or_null(&self, name: &'static str) -> Option<&Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }

    fn text(&self, name: &'static str) -> Result<String, Malformed> {
        as_text(name, self.get(name)?)
    }

    fn text_or_null(&self, name: &'static str) -> Result<Option<String>, Malformed> {
        self.or_null(name).map(|v| as_text(name, v)).transpose()
    }

    fn texts_or_null(&self, name: &'static str) -> Result<Option<Vec<String>>, Malformed> {
        let Some(value) = self.or_null(name) else {
            return Ok(None);
        };
        let list = value
            .as_array()
            .ok_or(Malformed::Invalid(name, "must be a list or null"))?;
        list.iter()
            .map(|v| as_text(name, v))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    fn count(&self, name: &'static str) -> Result<u64, Malformed> {
        self.get(name)?
            .as_u64()
            .ok_or(Malformed::Invalid(name, "must be a whole number"))
    }

    fn amount(&self, name: &'static str) -> Result<f64, Malformed> {
        as_amount(name, self.get(name)?)
    }

    fn amount_or_null(&self, name: &'static str) -> Result<Option<f64>, Malformed> {
        self.or_null(name).map(|v| as_amount(name, v)).transpose()
    }

    fn flag(&self, name: &'static str) -> Result<bool, Malformed> {
        self.get(name)?
            .as_bool()
            .ok_or(Malformed::Invalid(name, "must be true or false"))
    }
}

fn as_text(name: &'static str, value: &Value) -> Result<String, Malformed> {
    match value.as_str() {
        Some(text) if !text.is_empty() && text.len() <= 200 => Ok(text.to_owned()),
        Some(_) => Err(Malformed::Invalid(name, "must be 1 to 200 bytes")),
        None => Err(Malformed::Invalid(name, "must be a text")),
    }
}

fn as_amount(name: &'static str, value: &Value) -> Result<f64, Malformed> {
    match value.as_f64() {
        Some(x) if x.is_finite() && (0.0..=MAX_AMOUNT).contains(&x) => Ok(x),
        Some(_) => Err(Malformed::Invalid(name, "out of range")),
        None => Err(Malformed::Invalid(name, "must be a number")),
    }
}

/// A job's state as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No task runs.
    Pending,
    /// Some task runs.
    Running,
    /// All tasks have completed.
    Done,
    /// Its user called it off.
    Cancelled,
}

/// The answer to a submission, a poll or a cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id.
    #[serde(rename = "NameId")]
    pub id: String,
    /// How far it is.
    #[serde(rename = "Stage")]
    pub stage: Stage,
    /// Tasks that have completed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Tasks that run.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

#[cfg(test)]
mod tests;
