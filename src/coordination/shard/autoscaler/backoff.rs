//! Exponential backoff per kind of machine after the cloud had too few of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::machine_kind::MachineKind;

/// How often in a row the pause after a shortage doubles at the most.
const MAX_SHORTAGE_DOUBLINGS: u32 = 3;

/// A shortage of one kind of machine.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    /// The kind is not requested again before this.
    until: Instant,
    /// How often in a row the cloud had too few.
    in_a_row: u32,
}

/// The kinds of machines that are not requested for a while.
///
/// Each shortage in a row doubles the pause: where many kinds are used up, requesting each of
/// them again in turn would never reach the one that is still available.
#[derive(Debug, Default)]
pub(super) struct CapacityBackoff {
    shortages: HashMap<MachineKind, Shortage>,
}

impl CapacityBackoff {
    /// Whether a kind had better not be requested now.
    pub(super) fn is_active(&self, kind: &MachineKind, now: Instant) -> bool {
        let shortage = self.shortages.get(kind);
        shortage.is_some_and(|shortage| shortage.until > now)
    }

    /// The cloud had too few of a kind; `pause` is the one after a first shortage.
    pub(super) fn record_shortage(&mut self, kind: MachineKind, pause: Duration, now: Instant) {
        let before = self.shortages.get(&kind).map_or(0, |known| known.in_a_row);
        let shortage = Shortage {
            until: now + pause * (1 << before.min(MAX_SHORTAGE_DOUBLINGS)),
            in_a_row: before + 1,
        };
        self.shortages.insert(kind, shortage);
    }

    /// Machines of a kind are available again: a whole request was met, or one was deleted.
    pub(super) fn reset(&mut self, kind: &MachineKind) {
        self.shortages.remove(kind);
    }
}

#[cfg(test)]
mod tests;
