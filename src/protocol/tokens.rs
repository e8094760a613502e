//! The tokens that order leaders, and their messages to workers.

use std::fmt;

/// Identifies one term of a shard's leadership. A later term has a larger token.
///
/// The token is the store revision at which the leader's record was written, so it rises with
/// every election. It fences writes to the store, which require that the leader's record still has
/// this revision, and is the lowest token of the leader's commands to workers ([`CommandToken`]).
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Creates the token of the leader whose record was written at this store revision.
    pub const fn new(revision: u64) -> Self {
        Self(revision)
    }

    /// Returns the store revision at which the leader's record was written.
    pub const fn revision(self) -> u64 {
        self.0
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The token of a message to a worker, and the highest one that a worker has seen (PROTOCOL, "Tokens";
/// `Baton` on the wire).
///
/// A leader's messages carry at least the token of its leadership ([`FencingToken`]) and less than that
/// of any later leadership. A worker refuses messages with a lower token than the highest that it has
/// seen, so that a leader which raises its token makes its own earlier messages ineffective.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct CommandToken(u64);

impl CommandToken {
    /// Creates the token that equals this store revision.
    pub const fn new(revision: u64) -> Self {
        Self(revision)
    }

    /// Returns the store revision that the token equals.
    pub const fn revision(self) -> u64 {
        self.0
    }
}

impl From<FencingToken> for CommandToken {
    fn from(leadership: FencingToken) -> Self {
        Self(leadership.revision())
    }
}

impl fmt::Display for CommandToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
