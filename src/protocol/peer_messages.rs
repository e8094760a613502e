//! Frames that controllers exchange beside those of [`super::peers`].
//!
//! An archived frame has no room for a field more, and the version in
//! production reads no other than its own: those stay as they are. What came
//! later has a path of its own, which an older controller answers with 404, and
//! a version, so that what comes later yet is told from it.

use super::FencingToken;
use rkyv::{Archive, Deserialize, Serialize};

/// The path at which controllers answer for what they told users.
pub const CANCELLATIONS: &str = "/peer/cancellations/1";

/// Which cancellations have you told users since this revision?
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub struct CancellationsRequest {
    /// The revision.
    pub after: u64,
}

/// What a controller told users, in this run of its process.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ConfirmedCancellations {
    /// How long this run has lasted.
    pub up_ms: u64,
    /// All of them; none if it doesn't know them all any more.
    pub jobs: Option<Vec<CancelledJob>>,
}

/// A job that its user was told is cancelled.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct CancelledJob {
    /// The job's id.
    pub job: String,
    /// The revision at which it was.
    pub revision: u64,
}

/// The path at which controllers stand aside for a leader past its deadline.
pub const REVIVE_LEASE: &str = "/peer/stand-aside/1";

/// The sender's lease with this fencing token may have run out before the key-value store fell
/// out for all: will you leave the shard alone for this long, and has nobody
/// taken it since?
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct ReviveLease {
    /// The fencing token of the lease.
    pub fencing_token: FencingToken,
    /// For how long the shard is to be left alone.
    pub millis: u64,
}

/// The answer to [`ReviveLease`].
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RevivalVote {
    /// This run has acquired no later fencing token, and seeks none for so long.
    pub granted: bool,
    /// How long this run has lasted.
    pub up_ms: u64,
}

/// Copies a frame to where it may be read: archives are aligned.
pub(super) fn aligned(bytes: &[u8]) -> rkyv::util::AlignedVec<16> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}

/// Gives a frame its two directions.
macro_rules! frame {
    ($($name:ident),*) => {$(
        impl $name {
            /// Encodes the frame.
            pub fn encode(&self) -> Vec<u8> {
                rkyv::to_bytes::<rkyv::rancor::Error>(self)
                    .map_or_else(|_| Vec::new(), |bytes| bytes.to_vec())
            }

            /// Decodes and checks the frame; None if it is not one.
            pub fn decode(bytes: &[u8]) -> Option<Self> {
                rkyv::from_bytes::<Self, rkyv::rancor::Error>(&aligned(bytes)).ok()
            }
        }
    )*};
}

frame!(
    CancellationsRequest,
    ConfirmedCancellations,
    ReviveLease,
    RevivalVote
);
