//! Parsing and validation of a submission's body.
//!
//! Fields are read one by one, so that an error can name the invalid field by its name on the wire.
//! Unknown fields are ignored.

use serde_json::{Map, Value};
use thiserror::Error;

use super::{JobKind, JobSpec, MAX_TASKS, Priority, is_valid_job_id};

/// Largest accepted amount or duration; larger values are treated as mistakes and rejected.
const MAX_AMOUNT: f64 = 1e12;
/// Maximum length of a text field, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// The names of a submission's fields on the wire.
pub mod field {
    /// The job's id.
    pub const JOB_ID: &str = "NameId";
    /// The class that the job belongs to.
    pub const CLASS: &str = "Repertoire";
    /// The team.
    pub const TEAM: &str = "Section";
    /// How the tasks run: `batch`, `standing` (a service) or `group` (a gang).
    pub const KIND: &str = "Form";
    /// The priority.
    pub const PRIORITY: &str = "Tempo";
    /// The number of tasks.
    pub const TASKS: &str = "Voices";
    /// Number of cores of each task.
    pub const CORES: &str = "Cores";
    /// Number of accelerators of each task.
    pub const ACCELERATORS: &str = "Accelerators";
    /// Memory of each task, in GB.
    pub const MEMORY: &str = "MemGb";
    /// The image that the tasks run.
    pub const IMAGE: &str = "Score";
    /// The image's size, in GB.
    pub const IMAGE_SIZE: &str = "ImageGb";
    /// The machine types that may be used.
    pub const MACHINE_TYPES: &str = "Instruments";
    /// The only zone that may be used.
    pub const ZONE: &str = "Hall";
    /// Whether all tasks have to be in one zone.
    pub const ONE_ZONE: &str = "OneZone";
    /// Whether at most half of the tasks may be in any one zone.
    pub const SCATTER: &str = "Scatter";
    /// Whether spot machines may be used.
    pub const SPOT: &str = "Borrowed";
    /// The estimated run time of a task, in seconds.
    pub const DURATION: &str = "DurationS";
    /// The time between two checkpoints of a task, in seconds.
    pub const CHECKPOINT: &str = "BreathS";
    /// The time that a task needs to save a checkpoint when it is stopped, in seconds.
    pub const SAVE: &str = "FermataS";
    /// The time from the submission until the job should be done, in seconds.
    pub const DEADLINE: &str = "CurtainS";
}

/// Why a submission is malformed. The message is part of the HTTP response.
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

    /// Returns the name on the wire of the missing or invalid field; `None` if the body as a whole
    /// is malformed.
    pub fn field(&self) -> Option<&'static str> {
        match self {
            Self::NotAnObject => None,
            Self::Missing { field } | Self::Invalid { field, .. } => Some(field),
        }
    }
}

/// A parsed and validated submission of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The job's id, chosen by its submitter. A repeated submission of the job has the same id.
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
    // If several fields are invalid, the first in this order is reported.
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
        machine_types: fields.optional_text_list(field::MACHINE_TYPES)?,
        zone: fields.optional_text(field::ZONE)?,
        one_zone: fields.flag(field::ONE_ZONE)?,
        scatter: fields.flag(field::SCATTER)?,
        spot: fields.flag(field::SPOT)?,
        duration_s: fields.amount(field::DURATION)?,
        checkpoint_s: fields.amount(field::CHECKPOINT)?,
        save_s: fields.amount(field::SAVE)?,
        deadline_s: fields.optional_amount(field::DEADLINE)?,
    };
    Ok(Submission { id, spec })
}

/// The fields of a submission, by their names on the wire.
struct Fields(Map<String, Value>);

impl Fields {
    fn job_id(&self) -> Result<String, Malformed> {
        let id = self.text(field::JOB_ID)?;
        if !is_valid_job_id(&id) {
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

    fn required(&self, field: &'static str) -> Result<&Value, Malformed> {
        self.0.get(field).ok_or(Malformed::Missing { field })
    }

    fn get_non_null(&self, field: &'static str) -> Option<&Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn text(&self, field: &'static str) -> Result<String, Malformed> {
        parse_text(field, self.required(field)?)
    }

    fn optional_text(&self, field: &'static str) -> Result<Option<String>, Malformed> {
        self.get_non_null(field)
            .map(|value| parse_text(field, value))
            .transpose()
    }

    fn optional_text_list(&self, field: &'static str) -> Result<Option<Vec<String>>, Malformed> {
        let Some(value) = self.get_non_null(field) else {
            return Ok(None);
        };
        let list = value
            .as_array()
            .ok_or(Malformed::invalid(field, "must be a list or null"))?;
        list.iter()
            .map(|value| parse_text(field, value))
            .collect::<Result<_, _>>()
            .map(Some)
    }

    fn count(&self, field: &'static str) -> Result<u64, Malformed> {
        self.required(field)?
            .as_u64()
            .ok_or(Malformed::invalid(field, "must be a whole number"))
    }

    fn amount(&self, field: &'static str) -> Result<f64, Malformed> {
        parse_amount(field, self.required(field)?)
    }

    fn optional_amount(&self, field: &'static str) -> Result<Option<f64>, Malformed> {
        self.get_non_null(field)
            .map(|value| parse_amount(field, value))
            .transpose()
    }

    fn flag(&self, field: &'static str) -> Result<bool, Malformed> {
        self.required(field)?
            .as_bool()
            .ok_or(Malformed::invalid(field, "must be true or false"))
    }
}

fn parse_text(field: &'static str, value: &Value) -> Result<String, Malformed> {
    match value.as_str() {
        Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => Ok(text.to_owned()),
        Some(_) => Err(Malformed::invalid(field, "must be 1 to 200 bytes")),
        None => Err(Malformed::invalid(field, "must be a text")),
    }
}

fn parse_amount(field: &'static str, value: &Value) -> Result<f64, Malformed> {
    match value.as_f64() {
        Some(amount) if amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount) => Ok(amount),
        Some(_) => Err(Malformed::invalid(field, "out of range")),
        None => Err(Malformed::invalid(field, "must be a number")),
    }
}
