//! Responses to users: the HTTP status and the JSON body.

use serde_json::json;

use super::admission::Inadmissible;
use super::request::InvalidRequest;
use crate::coordination::shard::TaskCounts;
use crate::protocol::users::{JobStage, JobView};

const STATUS_OK: u16 = 200;
const STATUS_CREATED: u16 = 201;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_UNPROCESSABLE: u16 = 422;
const STATUS_UNAVAILABLE: u16 = 503;

/// A response to a user.
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

    /// Responds with a job's stage, without the counts of its tasks.
    fn stage(status: u16, id: &str, stage: JobStage) -> Self {
        let view = JobView {
            id: id.to_owned(),
            stage,
            done: None,
            running: None,
        };
        Self::json(status, &view)
    }

    /// Responds with a job's stage and the counts of its tasks.
    fn stage_and_counts(id: &str, stage: JobStage, counts: TaskCounts) -> Self {
        let view = JobView {
            id: id.to_owned(),
            stage,
            done: Some(counts.done),
            running: Some(counts.running),
        };
        Self::json(STATUS_OK, &view)
    }

    /// Responds that this request has submitted the job.
    pub(super) fn accepted(id: &str) -> Self {
        Self::stage(STATUS_CREATED, id, JobStage::Pending)
    }

    /// Responds to a cancellation with the job's stage: cancelled, or the final stage that the job
    /// had already reached.
    pub(super) fn after_cancellation(id: &str, stage: JobStage) -> Self {
        Self::stage(STATUS_OK, id, stage)
    }

    /// Responds with the state of an unfinished job.
    pub(super) fn unfinished_job(id: &str, counts: TaskCounts) -> Self {
        let stage = if counts.running > 0 {
            JobStage::Running
        } else {
            JobStage::Pending
        };
        Self::stage_and_counts(id, stage, counts)
    }

    /// Responds with the final state of a job that has `tasks` tasks.
    pub(super) fn finished_job(id: &str, stage: JobStage, tasks: u32) -> Self {
        let done = if stage == JobStage::Done { tasks } else { 0 };
        Self::stage_and_counts(id, stage, TaskCounts { done, running: 0 })
    }

    /// Responds that the request can't be accepted or answered now; the user should retry soon.
    pub fn unavailable(why: &str) -> Self {
        Self::json(STATUS_UNAVAILABLE, &json!({ "error": why }))
    }

    /// Responds that neither this controller nor a peer got an answer from the key-value store.
    pub(super) fn store_unavailable() -> Self {
        Self::unavailable("the state service does not answer")
    }

    /// Responds that no such job was ever accepted.
    pub fn not_found() -> Self {
        Self::json(STATUS_NOT_FOUND, &json!({ "error": "no such job" }))
    }

    /// Responds that the request is malformed; `field` is the invalid field, if it is a single one.
    pub fn malformed(why: &str, field: Option<&str>) -> Self {
        Self::json(STATUS_BAD_REQUEST, &json!({ "error": why, "field": field }))
    }

    /// Whether the response says that the request could not be accepted or answered.
    pub(super) fn is_unavailable(&self) -> bool {
        self.status == STATUS_UNAVAILABLE
    }

    /// Whether the response says that the job was never accepted.
    pub(super) fn is_not_found(&self) -> bool {
        self.status == STATUS_NOT_FOUND
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
            STATUS_UNPROCESSABLE,
            &json!({ "error": error, "field": reason.field() }),
        )
    }
}

#[cfg(test)]
mod tests;
