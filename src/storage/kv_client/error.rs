//! The errors of requests to the key-value store.

use std::sync::Arc;

use thiserror::Error;

use crate::protocol::kv::KvRequest;

/// Why a request was refused, in which case it certainly had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The store answered 503: it doesn't serve this controller now.
    #[error("unavailable (503)")]
    Unavailable,
    /// The store answered 429: the limit on the rate of requests or changes is used up.
    #[error("rate limited (429)")]
    RateLimited,
    /// No connection to the store could be established.
    #[error("no connection")]
    NotConnected,
    /// This controller's own share of the store's write rate is used up; nothing was sent.
    #[error("this controller's share of the writes is used up")]
    LocalRateLimit,
    /// At every attempt, other writers had changed the same keys.
    #[error("too many conflicts")]
    TooManyConflicts,
}

/// Why a request to the key-value store failed.
#[derive(Debug, Clone, Error)]
pub enum KvError {
    /// The request was refused: it had no effect, and it may be repeated.
    #[error("{request} was refused: {reason}")]
    Refused {
        /// The request.
        request: KvRequest,
        /// Why it was refused.
        reason: Refusal,
    },
    /// No answer arrived in time: the request may have taken effect, or may still do so.
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
    /// The changes since the watch's starting revision are compacted, or are more than an answer
    /// can hold: the keys have to be listed again.
    #[error("{request} starts too far in the past")]
    Compacted {
        /// The request.
        request: KvRequest,
    },
    /// The store rejected the request as malformed: as far as is known, because it exceeds one of
    /// the store's limits. The same request will never be accepted.
    #[error("{request} exceeds a limit: {answer}")]
    TooLarge {
        /// The request.
        request: KvRequest,
        /// The answer's status and body.
        answer: String,
    },
    /// The answer has a status that the store's protocol doesn't provide for this request.
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
        /// The decoding error, shared since all callers that wait for one read get its error.
        #[source]
        source: Arc<serde_json::Error>,
    },
    /// The request's body, or a record that it should contain, can't be encoded.
    #[error("{item} can't be encoded: {source}")]
    Unencodable {
        /// The request or record.
        item: String,
        /// The encoding error.
        #[source]
        source: Arc<serde_json::Error>,
    },
    /// A stored record can't be decoded.
    #[error("the record at {key} can't be decoded: {source}")]
    UndecodableRecord {
        /// The record's key.
        key: String,
        /// The decoding error.
        #[source]
        source: Arc<serde_json::Error>,
    },
}

impl KvError {
    /// The error for a request or record, `item`, that can't be encoded.
    pub fn unencodable(item: impl ToString, source: serde_json::Error) -> Self {
        Self::Unencodable {
            item: item.to_string(),
            source: Arc::new(source),
        }
    }

    /// The error for the stored record at this key, which can't be decoded.
    pub fn undecodable_record(key: impl Into<String>, source: serde_json::Error) -> Self {
        Self::UndecodableRecord {
            key: key.into(),
            source: Arc::new(source),
        }
    }

    /// Whether the store's rate limit is used up: the same request may succeed after a pause.
    pub fn is_rate_limited(&self) -> bool {
        matches!(
            self,
            Self::Refused {
                reason: Refusal::RateLimited,
                ..
            }
        )
    }

    /// Whether the request, its answer or a record violates the store's protocol, so that the same
    /// request would fail again.
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
