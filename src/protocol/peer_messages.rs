//! Versioned frames between controllers, in addition to those of [`super::peers`].
//!
//! An rkyv archive can't be extended by a field, and a controller can only decode frames of the
//! layout that its own version was built with. During a rolling upgrade several versions run side
//! by side, so the layout of a frame can't change. A new kind of request therefore gets a path of
//! its own that ends with a version number. Controllers that don't know the path answer with 404.

use rkyv::{Archive, Deserialize, Serialize};

use super::FencingToken;
use super::frame::frames;

/// The path at which controllers answer [`CancellationsRequest`].
pub const CANCELLATIONS_PATH: &str = "/peer/cancellations/1";

/// Requests the cancellations that the receiver has confirmed to users since a revision.
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub struct CancellationsRequest {
    /// The store revision after which cancellations are requested.
    pub after: u64,
}

/// The answer to [`CancellationsRequest`]: the cancellations that a controller has confirmed to
/// users since its process started.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ConfirmedCancellations {
    /// Time since the controller's process started, in milliseconds.
    pub up_ms: u64,
    /// All such cancellations; `None` if the controller no longer remembers all of them.
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
pub const REVIVE_LEASE_PATH: &str = "/peer/stand-aside/1";

/// Requests a vote to revive the sender's lease.
///
/// The lease may have expired before the key-value store became unavailable to all controllers.
/// A controller that grants the vote doesn't campaign for the shard for `millis` and asserts that
/// its process has acquired no later fencing token.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReviveLease {
    /// The fencing token of the lease to revive.
    pub fencing_token: FencingToken,
    /// For how long the receiver must not campaign for the shard, in milliseconds.
    pub millis: u64,
}

/// The answer to [`ReviveLease`].
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RevivalVote {
    /// Whether the vote is granted: this process has acquired no later fencing token since it
    /// started, and will not try to acquire one for the requested time.
    pub granted: bool,
    /// Time since the controller's process started, in milliseconds.
    pub up_ms: u64,
}

frames!(
    CancellationsRequest,
    ConfirmedCancellations,
    ReviveLease,
    RevivalVote,
);
