//! Why a request to the key-value store failed.

use std::sync::Arc;

use thiserror::Error;

use crate::protocol::kv::KvRequest;

/// Why a request was surely not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// It answered 503: it doesn't serve this controller now.
    #[error("unavailable (503)")]
    Unavailable,
    /// It answered 429: the limit on the rate of requests or changes is used up.
    #[error("rate limited (429)")]
    RateLimited,
    /// No connection to it came about.
    #[error("no connection")]
    NotConnected,
    /// This controller's own share of the store's writes is used up; nothing was sent.
    #[error("this controller's share of the writes is used up")]
    LocalRateLimit,
    /// Other writers changed the same keys at every attempt.
    #[error("too many conflicts")]
    TooManyConflicts,
}

/// Why a request to the key-value store failed.
#[derive(Debug, Clone, Error)]
pub enum KvError {
    /// The store refused the request: nothing was done, and it may be repeated.
    #[error("{request} was refused: {reason}")]
    Refused {
        /// The request.
        request: KvRequest,
        /// Why it was refused.
        reason: Refusal,
    },
    /// No answer came in time: the store may have carried the request out, or may still do so.
    #[error("{request} was not answered in time")]
    NoAnswer {
        /// The request.
        request: KvRequest,
    },
    /// The lease that the request needs has expired or was revoked.
    #[error("{request} needs a lease that has ended")]
    LeaseEnded {
        /// The request.
        request: KvRequest,
    },
    /// The changes since the watch's starting point are compacted, or more than an answer can
    /// hold: the keys have to be listed again.
    #[error("{request} starts too far in the past")]
    Compacted {
        /// The request.
        request: KvRequest,
    },
    /// The store calls the request malformed: larger than one of its limits, as far as is known.
    /// It will never be accepted as it is.
    #[error("{request} exceeds a limit: {answer}")]
    TooLarge {
        /// The request.
        request: KvRequest,
        /// The answer's status and body.
        answer: String,
    },
    /// The answer's status is outside the store's protocol.
    #[error("{request} had an unexpected answer: {answer}")]
    UnexpectedAnswer {
        /// The request.
        request: KvRequest,
        /// The answer's status and body.
        answer: String,
    },
    /// The answer's body can't be decoded.
    #[error("{request} had an answer that can't be decoded: {source}")]
    UndecodableAnswer {
        /// The request.
        request: KvRequest,
        /// What is wrong with it. Shared, as all that wait for one read get its error.
        #[source]
        source: Arc<serde_json::Error>,
    },
    /// The request's body, or a record in it, can't be encoded.
    #[error("{what} can't be encoded: {source}")]
    Unencodable {
        /// What was to be encoded.
        what: String,
        /// Why it can't be.
        #[source]
        source: Arc<serde_json::Error>,
    },
    /// A stored record can't be decoded.
    #[error("the record at {key} can't be decoded: {source}")]
    UndecodableRecord {
        /// The record's key.
        key: String,
        /// What is wrong with it.
        #[source]
        source: Arc<serde_json::Error>,
    },
}

impl KvError {
    /// A value for the store can't be encoded.
    pub fn unencodable(what: impl ToString, source: serde_json::Error) -> Self {
        Self::Unencodable {
            what: what.to_string(),
            source: Arc::new(source),
        }
    }

    /// The record at this key can't be decoded.
    pub fn undecodable_record(key: impl Into<String>, source: serde_json::Error) -> Self {
        Self::UndecodableRecord {
            key: key.into(),
            source: Arc::new(source),
        }
    }

    /// Whether the store is merely busy: the same request may succeed after a pause.
    pub fn is_rate_limited(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                reason: Refusal::RateLimited,
                ..
            }
        )
    }

    /// Whether the request, its answer or a record is not what the store's protocol says, so
    /// that the same request fails again.
    pub fn is_protocol_error(&self) -> bool {
        match self {
            Self::UnexpectedAnswer { .. }
            | Self::UndecodableAnswer { .. }
            | Self::Unencodable { .. }
            | Self::UndecodableRecord { .. } => true,
            Self::Refused { .. }
            | Self::NoAnswer { .. }
            | Self::LeaseEnded { .. }
            | Self::Compacted { .. }
            | Self::TooLarge { .. } => false,
        }
    }
}
