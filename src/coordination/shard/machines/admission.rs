//! Whether a machine is on the stored roster.

/// How far a machine's entry in the stored roster is. A machine gets tasks only once it
/// is written: the next leader must know every machine that may hold some.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Admission {
    /// It is not on the roster.
    #[default]
    Unrecorded,
    /// The write of its entry has been queued.
    Requested,
    /// Its entry is written.
    Admitted,
}
