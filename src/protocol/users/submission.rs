//! Parsing and validation of a submission's body.
//!
//! Fields are read one by one, so that an error names the field as the submitter wrote it.
//! Fields that the interface doesn't know are ignored.

use serde_json::{Map, Value};
use thiserror::Error;

use super::{JobKind, JobSpec, MAX_TASKS, Priority, valid_job_id};

/// Largest amount or duration that is taken as meant.
const MAX_AMOUNT: f64 = 1e12;
/// Longest text, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// The wire's names of a submission's fields.
pub mod field {
    /// The job's id.
    pub const JOB_ID: &str = "NameId";
    /// The class of jobs.
    pub const CLASS: &str = "Repertoire";
    /// The team.
    pub const TEAM: &str = "Section";
    /// How the tasks run: `batch`, `standing` (a service) or `group` (a gang).
    pub const KIND: &str = "Form";
    /// The priority.
    pub const PRIORITY: &str = "Tempo";
    /// The number of tasks.
    pub const TASKS: &str = "Voices";
    /// Cores of each task.
    pub const CORES: &str = "Cores";
    /// Accelerators of each task.
    pub const ACCELERATORS: &str = "Accelerators";
    /// Memory of each task.
    pub const MEMORY: &str = "MemGb";
    /// The image.
    pub const IMAGE: &str = "Score";
    /// The image's size.
    pub const IMAGE_SIZE: &str = "ImageGb";
    /// The machine types that may be used.
    pub const MACHINE_TYPES: &str = "Instruments";
    /// The only zone that may be used.
    pub const ZONE: &str = "Hall";
    /// All tasks in one zone.
    pub const ONE_ZONE: &str = "OneZone";
    /// At most half of the tasks in one zone.
    pub const SCATTER: &str = "Scatter";
    /// Spot machines may be used.
    pub const SPOT: &str = "Borrowed";
    /// The estimated run time of a task.
    pub const DURATION: &str = "DurationS";
    /// The time between two checkpoints.
    pub const CHECKPOINT: &str = "BreathS";
    /// The time to save a checkpoint when a task is stopped.
    pub const SAVE: &str = "FermataS";
    /// The time until the job should be done.
    pub const DEADLINE: &str = "CurtainS";
}

/// Why a submission is malformed. The message is part of the HTTP answer.
#[derive(Debug, Error, PartialEq)]
pub enum Malformed {
    /// The body is not a JSON object.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// A field is missing.
    #[error("field {field} is missing")]
    Missing {
        /// The field's name on the wire.
        field: &'static str,
    },
    /// A field has a value that is not allowed.
    #[error("field {field} is invalid: {reason}")]
    Invalid {
        /// The field's name on the wire.
        field: &'static str,
        /// What the value has to be.
        reason: &'static str,
    },
}

impl Malformed {
    fn invalid(field: &'static str, reason: &'static str) -> Self {
        Self::Invalid { field, reason }
    }

    /// The wire's name of the field at fault, if it is one field's.
    pub fn field(&self) -> Option<&'static str> {
        match self {
            Self::NotAnObject => None,
            Self::Missing { field } | Self::Invalid { field, .. } => Some(field),
        }
    }
}

/// A job as it was submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The job's id, chosen by its submitter: a repeated submission has the same.
    pub id: String,
    /// The job's description.
    pub spec: JobSpec,
}

/// Parses and validates a submission's body.
pub fn parse_submission(body: &[u8]) -> Result<Submission, Malformed> {
    let value: Value = serde_json::from_slice(body).map_err(|_| Malformed::NotAnObject)?;
    let Value::Object(map) = value else {
        return Err(Malformed::NotAnObject);
    };
    // Of several wrong fields, the first in this order is reported.
    let fields = Fields(map);
    let id = fields.job_id()?;
    let kind = fields.kind()?;
    let priority = fields.priority()?;
    let tasks = fields.tasks()?;
    let cores = fields.cores()?;
    let spec = JobSpec {
        class: fields.text(field::CLASS)?,
        team: fields.text(field::TEAM)?,
        kind,
        priority,
        tasks,
        cores,
        accelerators: fields.amount(field::ACCELERATORS)?,
        mem_gb: fields.amount(field::MEMORY)?,
        image: fields.text(field::IMAGE)?,
        image_gb: fields.amount(field::IMAGE_SIZE)?,
        machine_types: fields.texts_or_null(field::MACHINE_TYPES)?,
        zone: fields.text_or_null(field::ZONE)?,
        one_zone: fields.flag(field::ONE_ZONE)?,
        scatter: fields.flag(field::SCATTER)?,
        spot: fields.flag(field::SPOT)?,
        duration_s: fields.amount(field::DURATION)?,
        checkpoint_s: fields.amount(field::CHECKPOINT)?,
        save_s: fields.amount(field::SAVE)?,
        deadline_s: fields.amount_or_null(field::DEADLINE)?,
    };
    Ok(Submission { id, spec })
}

/// A submission's fields by their names on the wire.
struct Fields(Map<String, Value>);

impl Fields {
    fn job_id(&self) -> Result<String, Malformed> {
        let id = self.text(field::JOB_ID)?;
        if !valid_job_id(&id) {
            return Err(Malformed::invalid(field::JOB_ID, "not a job id"));
        }
        Ok(id)
    }

    fn kind(&self) -> Result<JobKind, Malformed> {
        match self.text(field::KIND)?.as_str() {
            "batch" => Ok(JobKind::Batch),
            "standing" => Ok(JobKind::Service),
            "group" => Ok(JobKind::Gang),
            _ => Err(Malformed::invalid(field::KIND, "batch, standing or group")),
        }
    }

    fn priority(&self) -> Result<Priority, Malformed> {
        match self.text(field::PRIORITY)?.as_str() {
            "prod" => Ok(Priority::Prod),
            "high" => Ok(Priority::High),
            "standard" => Ok(Priority::Standard),
            "best_effort" => Ok(Priority::BestEffort),
            _ => Err(Malformed::invalid(field::PRIORITY, "not a priority")),
        }
    }

    fn tasks(&self) -> Result<u32, Malformed> {
        let tasks = self.count(field::TASKS)?;
        u32::try_from(tasks)
            .ok()
            .filter(|_| (1..=MAX_TASKS).contains(&tasks))
            .ok_or(Malformed::invalid(field::TASKS, "1 to 100000"))
    }

    fn cores(&self) -> Result<f64, Malformed> {
        let cores = self.amount(field::CORES)?;
        if cores <= 0.0 {
            return Err(Malformed::invalid(field::CORES, "must be above 0"));
        }
        Ok(cores)
    }

    fn get(&self, field: &'static str) -> Result<&Value, Malformed> {
        self.0.get(field).ok_or(Malformed::Missing { field })
    }

    fn or_null(&self, field: &'static str) -> Option<&Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn text(&self, field: &'static str) -> Result<String, Malformed> {
        as_text(field, self.get(field)?)
    }

    fn text_or_null(&self, field: &'static str) -> Result<Option<String>, Malformed> {
        self.or_null(field)
            .map(|value| as_text(field, value))
            .transpose()
    }

    fn texts_or_null(&self, field: &'static str) -> Result<Option<Vec<String>>, Malformed> {
        let Some(value) = self.or_null(field) else {
            return Ok(None);
        };
        let list = value
            .as_array()
            .ok_or(Malformed::invalid(field, "must be a list or null"))?;
        list.iter()
            .map(|value| as_text(field, value))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    fn count(&self, field: &'static str) -> Result<u64, Malformed> {
        self.get(field)?
            .as_u64()
            .ok_or(Malformed::invalid(field, "must be a whole number"))
    }

    fn amount(&self, field: &'static str) -> Result<f64, Malformed> {
        as_amount(field, self.get(field)?)
    }

    fn amount_or_null(&self, field: &'static str) -> Result<Option<f64>, Malformed> {
        self.or_null(field)
            .map(|value| as_amount(field, value))
            .transpose()
    }

    fn flag(&self, field: &'static str) -> Result<bool, Malformed> {
        self.get(field)?
            .as_bool()
            .ok_or(Malformed::invalid(field, "must be true or false"))
    }
}

fn as_text(field: &'static str, value: &Value) -> Result<String, Malformed> {
    match value.as_str() {
        Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => Ok(text.to_owned()),
        Some(_) => Err(Malformed::invalid(field, "must be 1 to 200 bytes")),
        None => Err(Malformed::invalid(field, "must be a text")),
    }
}

fn as_amount(field: &'static str, value: &Value) -> Result<f64, Malformed> {
    match value.as_f64() {
        Some(amount) if amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount) => Ok(amount),
        Some(_) => Err(Malformed::invalid(field, "out of range")),
        None => Err(Malformed::invalid(field, "must be a number")),
    }
}
