//! The deletion of a machine.

use std::time::Instant;

/// How far the deletion of a machine is. Once decided it is never taken back: the machine's
/// roster entry says so to the next leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Deletion {
    /// It is not to be deleted.
    #[default]
    None,
    /// It was decided: its record is being written, or the cloud's answer is awaited.
    Pending,
    /// The cloud gave no usable answer: it is requested again at this moment.
    RetryAt(Instant),
}
