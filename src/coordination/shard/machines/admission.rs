//! Whether a machine's entry is written to the stored roster.

/// State of a machine's entry in the stored roster. A machine gets tasks only after its entry
/// is written, because the next leader must know every machine that may hold tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Admission {
    /// The roster has no entry for the machine.
    #[default]
    Unrecorded,
    /// The write of the entry is queued.
    Requested,
    /// The entry is written.
    Admitted,
}
