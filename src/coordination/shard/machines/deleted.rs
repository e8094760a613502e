//! Tombstones of deleted machines: the autoscaler adds them and removes old ones, and heartbeats
//! and machine lists are checked against them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::protocol::MachineId;

/// Names of recently deleted machines. A late heartbeat or an outdated machine list that still
/// names one of them must not add the machine again.
#[derive(Debug, Default)]
pub(crate) struct DeletedMachines {
    deleted_at: HashMap<MachineId, Instant>,
}

impl DeletedMachines {
    /// Whether a machine was deleted and its tombstone still exists.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.deleted_at.contains_key(id)
    }

    /// Adds the tombstone of a machine that is deleted at `now`.
    pub(crate) fn insert(&mut self, id: MachineId, now: Instant) {
        self.deleted_at.insert(id, now);
    }

    /// Removes the tombstones of machines that were deleted `retention` ago or earlier.
    pub(crate) fn forget_older(&mut self, retention: Duration, now: Instant) {
        self.deleted_at
            .retain(|_, at| now.saturating_duration_since(*at) < retention);
    }
}
