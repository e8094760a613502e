//! Progress of the deletion of a machine.

use std::time::Instant;

/// Progress of the deletion of a machine. A decided deletion is never cancelled, not even by
/// the next leader, which learns of it from the machine's roster entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Deletion {
    /// No deletion is decided.
    #[default]
    None,
    /// The deletion is decided: its record is being written, or the cloud's answer is
    /// outstanding.
    Pending,
    /// The cloud gave no usable answer: the deletion is requested again at this moment.
    RetryAt(Instant),
}
