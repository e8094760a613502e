//! The key-value store's limits, and the rates at which the shard may write.

use std::time::Duration;

use crate::coordination::shard::Policy;

/// Smallest burst for snapshots, in mutations: one chunk and the sequence number.
const MIN_CHUNK_BURST: f64 = 2.0;

/// Limits on the size, rate and frequency of the shard's writes.
#[derive(Debug, Clone, Copy)]
pub(super) struct WriteLimits {
    /// Most mutations in one transaction, including that of the sequence number.
    pub txn_ops: usize,
    /// Most bytes of one value.
    pub value_bytes: usize,
    /// Most mutations a second for snapshots.
    pub snapshot_writes_per_s: f64,
    /// Most mutations a second for all other records.
    pub record_writes_per_s: f64,
    /// Shortest time from the start of one snapshot round to the start of the next.
    pub snapshot_interval: Duration,
}

impl From<&Policy> for WriteLimits {
    fn from(policy: &Policy) -> Self {
        Self {
            txn_ops: policy.txn_ops,
            value_bytes: policy.value_bytes,
            snapshot_writes_per_s: policy.snapshot_writes_per_s,
            record_writes_per_s: policy.record_writes_per_s,
            snapshot_interval: policy.snapshot_interval,
        }
    }
}

impl WriteLimits {
    /// The largest balance of the snapshot budget, in mutations.
    pub(super) fn chunk_burst(&self) -> f64 {
        self.snapshot_writes_per_s.max(MIN_CHUNK_BURST)
    }
}
