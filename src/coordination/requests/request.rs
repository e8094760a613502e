//! What users ask for, and its validation.

use thiserror::Error;

use crate::protocol::peers::PeerRequest;
use crate::protocol::users::{JobSpec, Malformed, Submission, parse_submission, valid_job_id};

/// A user's request for a job, as it came.
#[derive(Debug, Clone, PartialEq)]
pub enum UserRequest {
    /// Submit a job, described by the request's body.
    Submit(Vec<u8>),
    /// Query the state of the job with this id.
    Poll(String),
    /// Cancel the job with this id.
    Cancel(String),
}

/// Who sent a request here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// The user.
    User,
    /// Another controller, which forwards a user's request. It is not forwarded again.
    Peer,
}

/// A request that is valid in itself.
#[derive(Debug)]
pub(super) enum Operation {
    Submit { id: String, spec: Box<JobSpec> },
    Poll { id: String },
    Cancel { id: String },
}

/// Why a request is invalid, whatever the state of the jobs.
#[derive(Debug, PartialEq, Error)]
pub(super) enum InvalidRequest {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// No job can have this id.
    #[error("no such job")]
    ImpossibleJobId,
}

impl UserRequest {
    /// Reads a request that a peer forwards; `None` if it is none that users may send.
    pub fn from_forward(method: &str, path: &str, body: Vec<u8>) -> Option<Self> {
        match (method, path.strip_prefix("/v1/jobs")?) {
            ("POST", "") => Some(Self::Submit(body)),
            ("GET", rest) => Some(Self::Poll(rest.strip_prefix('/')?.to_owned())),
            ("POST", rest) => {
                let id = rest.strip_prefix('/')?.strip_suffix("/cancel")?;
                Some(Self::Cancel(id.to_owned()))
            }
            _ => None,
        }
    }

    /// The frame by which the request is forwarded.
    pub(super) fn to_forward(&self) -> PeerRequest {
        let (method, path, body) = match self {
            Self::Submit(body) => ("POST", "/v1/jobs".to_owned(), body.clone()),
            Self::Poll(id) => ("GET", format!("/v1/jobs/{id}"), Vec::new()),
            Self::Cancel(id) => ("POST", format!("/v1/jobs/{id}/cancel"), Vec::new()),
        };
        PeerRequest::Forward {
            method: method.to_owned(),
            path,
            body,
        }
    }

    /// Parses and validates the request.
    pub(super) fn validate(&self) -> Result<Operation, InvalidRequest> {
        match self {
            Self::Submit(body) => {
                let Submission { id, spec } = parse_submission(body)?;
                let spec = Box::new(spec);
                Ok(Operation::Submit { id, spec })
            }
            Self::Poll(id) => Ok(Operation::Poll { id: job_id(id)? }),
            Self::Cancel(id) => Ok(Operation::Cancel { id: job_id(id)? }),
        }
    }
}

fn job_id(id: &str) -> Result<String, InvalidRequest> {
    valid_job_id(id)
        .then(|| id.to_owned())
        .ok_or(InvalidRequest::ImpossibleJobId)
}
