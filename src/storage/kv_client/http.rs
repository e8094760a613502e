//! The encoding of requests and answers in HTTP.

use std::sync::Arc;

use hyper::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::KvError;
use crate::protocol::kv::{KvRequest, NO_SUCH_LEASE};
use crate::transport::client::{Answer, CallError};

pub(super) fn http_method(request: &KvRequest) -> Method {
    match request {
        KvRequest::Get { .. } | KvRequest::List { .. } | KvRequest::Watch { .. } => Method::GET,
        KvRequest::Transaction | KvRequest::GrantLease | KvRequest::RenewLease { .. } => {
            Method::POST
        }
        KvRequest::RevokeLease { .. } => Method::DELETE,
    }
}

/// Whether the store served this request: it answered, with any status other than 503.
pub(super) fn is_served(result: &Result<Answer, CallError>) -> bool {
    match result {
        Ok(answer) => answer.status != StatusCode::SERVICE_UNAVAILABLE,
        Err(error) => *error == CallError::TooLarge,
    }
}

pub(super) fn says_no_such_lease(answer: &Answer) -> bool {
    let message = NO_SUCH_LEASE.as_bytes();
    answer
        .body
        .windows(message.len())
        .any(|window| window == message)
}

pub(super) fn encode(request: &KvRequest, body: &impl Serialize) -> Result<Vec<u8>, KvError> {
    serde_json::to_vec(body).map_err(|source| KvError::unencodable(request, source))
}

pub(super) fn decode<T: DeserializeOwned>(
    request: KvRequest,
    answer: &Answer,
) -> Result<T, KvError> {
    serde_json::from_slice(&answer.body).map_err(|source| KvError::UndecodableAnswer {
        request,
        source: Arc::new(source),
    })
}

pub(super) fn unexpected_answer(request: KvRequest, answer: &Answer) -> KvError {
    KvError::UnexpectedAnswer {
        request,
        answer: status_and_body(answer),
    }
}

/// Formats an answer for an error message: its status, and its body if that is JSON.
pub(super) fn status_and_body(answer: &Answer) -> String {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    format!("{} {body}", answer.status)
}
