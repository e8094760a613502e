//! What users are answered: the HTTP status and the JSON body.

use serde_json::json;

use super::admission::Inadmissible;
use super::request::InvalidRequest;
use crate::coordination::shard::TaskCounts;
use crate::protocol::users::{JobStage, JobView};

const OK: u16 = 200;
const CREATED: u16 = 201;
const BAD_REQUEST: u16 = 400;
const NOT_FOUND: u16 = 404;
const UNPROCESSABLE: u16 = 422;
const UNAVAILABLE: u16 = 503;

/// An answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub struct UserResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body, in JSON.
    pub body: Vec<u8>,
}

impl UserResponse {
    fn json(status: u16, value: &impl serde::Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    /// A job's stage alone, without the counts of its tasks.
    fn stage(status: u16, id: &str, stage: JobStage) -> Self {
        let view = JobView {
            id: id.to_owned(),
            stage,
            done: None,
            running: None,
        };
        Self::json(status, &view)
    }

    /// A job's stage and the counts of its tasks.
    fn counts(id: &str, stage: JobStage, counts: TaskCounts) -> Self {
        let view = JobView {
            id: id.to_owned(),
            stage,
            done: Some(counts.done),
            running: Some(counts.running),
        };
        Self::json(OK, &view)
    }

    /// The job has been accepted by this request.
    pub(super) fn accepted(id: &str) -> Self {
        Self::stage(CREATED, id, JobStage::Pending)
    }

    /// The state in which a cancellation has left or found the job.
    pub(super) fn after_cancellation(id: &str, stage: JobStage) -> Self {
        Self::stage(OK, id, stage)
    }

    /// The state of an unfinished job.
    pub(super) fn unfinished_job(id: &str, counts: TaskCounts) -> Self {
        let stage = if counts.running > 0 {
            JobStage::Running
        } else {
            JobStage::Pending
        };
        Self::counts(id, stage, counts)
    }

    /// The final state of a job with this many tasks.
    pub(super) fn finished_job(id: &str, stage: JobStage, tasks: u32) -> Self {
        let done = if stage == JobStage::Done { tasks } else { 0 };
        Self::counts(id, stage, TaskCounts { done, running: 0 })
    }

    /// The service can't accept or answer the request now; the user should retry soon.
    pub fn unavailable(why: &str) -> Self {
        Self::json(UNAVAILABLE, &json!({ "error": why }))
    }

    /// Neither this controller nor a peer gets an answer from the key-value store.
    pub(super) fn store_unavailable() -> Self {
        Self::unavailable("the state service does not answer")
    }

    /// Nobody submitted this job.
    pub fn not_found() -> Self {
        Self::json(NOT_FOUND, &json!({ "error": "no such job" }))
    }

    /// The request is malformed, in this field if one is at fault.
    pub fn malformed(why: &str, field: Option<&str>) -> Self {
        Self::json(BAD_REQUEST, &json!({ "error": why, "field": field }))
    }

    /// Whether the service could not accept or answer the request.
    pub(super) fn is_unavailable(&self) -> bool {
        self.status == UNAVAILABLE
    }

    /// Whether the job is known never to have been accepted.
    pub(super) fn is_not_found(&self) -> bool {
        self.status == NOT_FOUND
    }
}

impl From<InvalidRequest> for UserResponse {
    fn from(invalid: InvalidRequest) -> Self {
        match invalid {
            InvalidRequest::Malformed(error) => Self::malformed(&error.to_string(), error.field()),
            InvalidRequest::ImpossibleJobId => Self::not_found(),
        }
    }
}

impl From<Inadmissible> for UserResponse {
    fn from(reason: Inadmissible) -> Self {
        let error = reason.to_string();
        Self::json(
            UNPROCESSABLE,
            &json!({ "error": error, "field": reason.field() }),
        )
    }
}

#[cfg(test)]
mod tests;
