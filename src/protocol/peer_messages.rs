//! Versioned frames between controllers, beside those of [`super::peers`].
//!
//! An archived frame has no space for another field, and a version reads only frames of its own
//! layout: while controllers are replaced one by one, a frame's layout can't change. So a new
//! kind of request has a path of its own with a version at its end, which controllers that don't
//! know it answer with 404.

use rkyv::{Archive, Deserialize, Serialize};

use super::FencingToken;
use super::frame::frames;

/// The path at which controllers answer [`CancellationsRequest`].
pub const CANCELLATIONS: &str = "/peer/cancellations/1";

/// Requests the cancellations that the receiver has confirmed to users since a revision.
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub struct CancellationsRequest {
    /// The store revision.
    pub after: u64,
}

/// The cancellations that a controller has confirmed to users, in this incarnation of its
/// process.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ConfirmedCancellations {
    /// How long this incarnation has been up, in milliseconds.
    pub up_ms: u64,
    /// All of them; None if it has forgotten some.
    pub jobs: Option<Vec<CancelledJob>>,
}

/// A cancelled job.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CancelledJob {
    /// The job's id.
    pub job: String,
    /// The store revision of its cancellation.
    pub revision: u64,
}

/// The path at which controllers vote on [`ReviveLease`].
pub const REVIVE_LEASE: &str = "/peer/stand-aside/1";

/// Requests a vote to revive the sender's lease.
///
/// The lease may have expired before the key-value store became unavailable to all controllers.
/// Whoever grants the vote abstains from elections for this time, and says that it knows of no
/// later leader.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReviveLease {
    /// The fencing token of the lease.
    pub fencing_token: FencingToken,
    /// How long the receiver is to abstain, in milliseconds.
    pub millis: u64,
}

/// The answer to [`ReviveLease`].
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RevivalVote {
    /// Whether this incarnation has acquired no later fencing token, and will seek none for so
    /// long.
    pub granted: bool,
    /// How long this incarnation has been up, in milliseconds.
    pub up_ms: u64,
}

frames!(
    CancellationsRequest,
    ConfirmedCancellations,
    ReviveLease,
    RevivalVote,
);
