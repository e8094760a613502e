//! Tombstones of deleted machines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::protocol::MachineId;

/// The machines that were deleted lately. A late heartbeat or an old machine list may still
/// name them: they must not come back.
#[derive(Debug, Default)]
pub(crate) struct DeletedMachines {
    deleted_at: HashMap<MachineId, Instant>,
}

impl DeletedMachines {
    /// Whether a machine was deleted.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.deleted_at.contains_key(id)
    }

    /// A machine is deleted.
    pub(crate) fn insert(&mut self, id: MachineId, now: Instant) {
        self.deleted_at.insert(id, now);
    }

    /// Forgets machines that were deleted at least `retention` ago.
    pub(crate) fn forget_older(&mut self, retention: Duration, now: Instant) {
        self.deleted_at
            .retain(|_, at| now.saturating_duration_since(*at) < retention);
    }
}
