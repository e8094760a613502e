//! The tokens under which commands of one leader may have been sent.
//!
//! A leader commands each worker under a token that is at least that of its leadership, and raises it
//! so that the worker refuses copies of earlier commands. It raises it only to revisions of the
//! store at which its leader record still existed. A later leader's record has a higher revision than
//! any of these, and an earlier leader's commands have lower ones, so that a worker's token shows whom
//! it follows.

use crate::protocol::{CommandToken, FencingToken};

/// The range of the tokens of one leader's commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandTokens {
    leadership: FencingToken,
    highest: CommandToken,
}

impl CommandTokens {
    /// The tokens of a leader of which only the leadership's token is known.
    pub fn of_leadership(leadership: FencingToken) -> Self {
        Self {
            leadership,
            highest: leadership.into(),
        }
    }

    /// The same, where the leader record of this leadership is known to have existed at a store
    /// revision.
    pub fn known_at(self, revision: u64) -> Self {
        Self {
            highest: self.highest.max(CommandToken::new(revision)),
            ..self
        }
    }

    /// The token of the leadership.
    pub fn leadership(self) -> FencingToken {
        self.leadership
    }

    /// The highest token known to be this leader's and no other's.
    pub fn highest(self) -> CommandToken {
        self.highest
    }

    /// Whether a worker that has seen this token follows this leader and refuses the commands of
    /// earlier ones.
    pub fn contains(self, seen: CommandToken) -> bool {
        seen >= self.leadership.into() && seen <= self.highest
    }

    /// The token for an answer that a worker which has seen the token `seen` accepts; `None` if the
    /// worker may follow a later leader.
    pub fn answering(self, seen: CommandToken) -> Option<CommandToken> {
        (seen <= self.highest).then(|| seen.max(self.leadership.into()))
    }
}

#[cfg(test)]
mod tests;
