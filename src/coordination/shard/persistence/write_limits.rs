//! The limits of the key-value store and the budgets of the shard's writes.

use std::time::Duration;

use crate::coordination::shard::Policy;

/// Least burst of snapshot chunks, in mutations: one chunk and the sequence number.
const MIN_CHUNK_BURST: f64 = 2.0;

/// What the store takes at a time, and how fast it may be written to.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteLimits {
    /// Mutations in one transaction, with that of the sequence number.
    pub txn_ops: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
    /// Mutations a second for snapshots.
    pub snapshot_writes_per_s: f64,
    /// Mutations a second for all other records.
    pub record_writes_per_s: f64,
    /// Least time from the start of one snapshot round to the start of the next.
    pub snapshot_interval: Duration,
}

impl From<&Policy> for WriteLimits {
    fn from(policy: &Policy) -> Self {
        Self {
            txn_ops: policy.txn_ops,
            value_bytes: policy.value_bytes,
            snapshot_writes_per_s: policy.snapshot_writes_per_s,
            record_writes_per_s: policy.record_writes_per_s,
            snapshot_interval: policy.snapshot,
        }
    }
}

impl WriteLimits {
    /// The most chunks that the budget ever allows at once, in mutations.
    pub(super) fn chunk_burst(&self) -> f64 {
        self.snapshot_writes_per_s.max(MIN_CHUNK_BURST)
    }
}
