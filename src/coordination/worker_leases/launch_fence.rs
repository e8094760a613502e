//! When a worker may be told to forget an attempt.
//!
//! Copies of a command that a worker has carried out may arrive for as long as the worker's agent epoch
//! and token permit (PROTOCOL, "Delayed messages"), and a worker that has forgotten an attempt starts
//! it again. So an attempt is cleared only in a message under a higher token than each message that
//! held its launch: the worker then refuses all copies of these.

use crate::protocol::CommandToken;

/// The highest token of the messages in which this leader sent launches of one attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaunchFence {
    /// `None` if only earlier leaders, whose tokens are lower than all of this leader's, sent launches.
    launched_under: Option<CommandToken>,
}

/// Why no copy of any launch of an attempt can be carried out once a message has cleared it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClearProof {
    /// Only earlier leaders sent launches of the attempt, and the worker obeys this one.
    LaunchedByEarlierLeader,
    /// Each launch of the attempt was sent under a lower token than the message that clears it.
    LaunchedUnderLowerToken,
}

impl LaunchFence {
    /// Records that a message under this token holds a launch of the attempt.
    pub fn note_launch(&mut self, token: CommandToken) {
        self.launched_under = self.launched_under.max(Some(token));
    }

    /// The proof that a message under this token may clear the attempt; `None` if a copy of a launch
    /// might start it again.
    pub fn clear_proof(self, token: CommandToken) -> Option<ClearProof> {
        match self.launched_under {
            None => Some(ClearProof::LaunchedByEarlierLeader),
            Some(launched_under) => {
                (token > launched_under).then_some(ClearProof::LaunchedUnderLowerToken)
            }
        }
    }
}
