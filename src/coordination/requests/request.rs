//! User requests and their validation.

use thiserror::Error;

use crate::protocol::peers::PeerRequest;
use crate::protocol::users::{JobSpec, Malformed, Submission, is_valid_job_id, parse_submission};

/// A user's request as it was received, before validation.
#[derive(Debug, Clone, PartialEq)]
pub enum UserRequest {
    /// Submit the job that this request body describes.
    Submit(Vec<u8>),
    /// Query the state of the job with this id.
    Poll(String),
    /// Cancel the job with this id.
    Cancel(String),
}

/// Who sent a request to this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// The user.
    User,
    /// Another controller, which forwarded a user's request. The request is not forwarded again.
    Peer,
}

/// A validated request.
#[derive(Debug)]
pub(super) enum Operation {
    Submit { id: String, spec: Box<JobSpec> },
    Poll { id: String },
    Cancel { id: String },
}

/// Why a request is invalid, regardless of which jobs exist.
#[derive(Debug, PartialEq, Error)]
pub(super) enum InvalidRequest {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The text is not a job id, so no job can have it.
    #[error("no such job")]
    ImpossibleJobId,
}

impl UserRequest {
    /// Decodes a request that a peer has forwarded. Returns `None` if the method and path are not
    /// those of a user request.
    pub fn from_forwarded(method: &str, path: &str, body: Vec<u8>) -> Option<Self> {
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

    /// Encodes the request as the frame that forwards it to a peer.
    pub(super) fn to_forward_frame(&self) -> PeerRequest {
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
            Self::Poll(id) => Ok(Operation::Poll {
                id: validate_job_id(id)?,
            }),
            Self::Cancel(id) => Ok(Operation::Cancel {
                id: validate_job_id(id)?,
            }),
        }
    }
}

fn validate_job_id(id: &str) -> Result<String, InvalidRequest> {
    is_valid_job_id(id)
        .then(|| id.to_owned())
        .ok_or(InvalidRequest::ImpossibleJobId)
}
