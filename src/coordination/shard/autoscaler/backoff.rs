//! Exponential backoff for machine kinds of which the cloud had too few machines.
//!
//! Scale-out records shortages and resets them; `offer` skips kinds that are in backoff.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::machine_kind::MachineKind;

/// Most times that consecutive shortages double the pause.
const MAX_SHORTAGE_DOUBLINGS: u32 = 3;

/// The current run of consecutive shortages of one machine kind.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// Machines of the kind are not requested before this time.
    backoff_until: Instant,
    /// Number of consecutive shortages.
    consecutive: u32,
}

/// The machine kinds that are in backoff after a shortage.
///
/// Each consecutive shortage of a kind doubles its pause. With a constant pause, if many kinds were
/// exhausted, requesting each of them again in turn would never reach a kind that is still
/// available.
#[derive(Debug, Default)]
pub(super) struct CapacityBackoff {
    shortages: HashMap<MachineKind, Shortage>,
}

impl CapacityBackoff {
    /// Whether the backoff of a machine kind is still running.
    pub(super) fn is_active(&self, kind: &MachineKind, now: Instant) -> bool {
        let shortage = self.shortages.get(kind);
        shortage.is_some_and(|shortage| shortage.backoff_until > now)
    }

    /// Records that the cloud had too few machines of a kind. `pause` is the pause after a first
    /// shortage.
    pub(super) fn record_shortage(&mut self, kind: MachineKind, pause: Duration, now: Instant) {
        let previous = self
            .shortages
            .get(&kind)
            .map_or(0, |known| known.consecutive);
        let shortage = Shortage {
            backoff_until: now + pause * (1 << previous.min(MAX_SHORTAGE_DOUBLINGS)),
            consecutive: previous + 1,
        };
        self.shortages.insert(kind, shortage);
    }

    /// Ends the backoff of a kind because machines of it are available again: the cloud met a whole
    /// request, or a machine of the kind was deleted.
    pub(super) fn reset(&mut self, kind: &MachineKind) {
        self.shortages.remove(kind);
    }
}

#[cfg(test)]
mod tests;
