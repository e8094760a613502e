//! Builds a transaction within the store's limits.

use super::shard_write::{PendingWrite, ShardWrite, WritePurpose};
use crate::protocol::kv::Mutation;

/// Most bytes of mutations in one transaction. The store accepts requests of up to 64 KiB; the
/// rest is reserved for the sequence number, the preconditions and the framing.
const MAX_TXN_BYTES: usize = 48 * 1024;
/// Bytes that a mutation takes in a request in addition to its key and value.
const MUTATION_FRAME_BYTES: usize = 32;
/// Mutations reserved in every transaction for the shard's sequence number.
const SEQUENCE_MUTATIONS: usize = 1;

/// A transaction that is being built.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    purposes: Vec<WritePurpose>,
    mutations: Vec<Mutation>,
    bytes: usize,
    max_mutations: usize,
    snapshot_only: bool,
}

impl TransactionBuilder {
    /// An empty transaction, for a store that accepts `txn_ops` mutations in a transaction.
    pub(super) fn new(txn_ops: usize) -> Self {
        Self {
            purposes: Vec::new(),
            mutations: Vec::new(),
            bytes: 0,
            max_mutations: txn_ops - SEQUENCE_MUTATIONS,
            snapshot_only: true,
        }
    }

    /// How many mutations the transaction may hold, without that of the sequence number.
    pub(super) fn max_mutations(&self) -> usize {
        self.max_mutations
    }

    /// Whether the transaction holds no mutation yet.
    pub(super) fn is_empty(&self) -> bool {
        self.mutations.is_empty()
    }

    /// Whether the transaction holds only chunks of the snapshot.
    pub(super) fn is_snapshot_only(&self) -> bool {
        self.snapshot_only
    }

    /// Whether any mutation whose value takes at most `value_bytes` can be added.
    pub(super) fn has_room_for_value(&self, value_bytes: usize) -> bool {
        self.has_room() && self.bytes + value_bytes <= MAX_TXN_BYTES
    }

    /// Whether this mutation can be added. The first mutation may have any size.
    pub(super) fn has_room_for(&self, mutation: &Mutation) -> bool {
        let within_bytes = self.bytes + mutation_size(mutation) <= MAX_TXN_BYTES;
        self.has_room() && (within_bytes || self.is_empty())
    }

    fn has_room(&self) -> bool {
        self.mutations.len() < self.max_mutations
    }

    /// Adds a page of the roster.
    pub(super) fn push_roster_page(&mut self, mutation: Mutation) {
        self.snapshot_only = false;
        self.push_mutation(mutation);
    }

    /// Moves the purposes of the roster's pages into the transaction.
    pub(super) fn append_roster_purposes(&mut self, purposes: &mut Vec<WritePurpose>) {
        self.purposes.append(purposes);
    }

    /// Adds a durable record.
    pub(super) fn push_record(&mut self, write: PendingWrite) {
        self.snapshot_only = false;
        self.push(write);
    }

    /// Adds a chunk of the snapshot.
    pub(super) fn push_chunk(&mut self, write: PendingWrite) {
        self.push(write);
    }

    fn push(&mut self, write: PendingWrite) {
        self.purposes.push(write.purpose);
        self.push_mutation(write.mutation);
    }

    fn push_mutation(&mut self, mutation: Mutation) {
        self.bytes += mutation_size(&mutation);
        self.mutations.push(mutation);
    }

    /// Returns the finished transaction.
    pub(super) fn build(self) -> ShardWrite {
        ShardWrite {
            purposes: self.purposes,
            mutations: self.mutations,
        }
    }
}

/// Approximate size of a mutation in a request.
fn mutation_size(mutation: &Mutation) -> usize {
    let payload = match mutation {
        Mutation::Put { key, value, .. } => key.len() + value.to_string().len(),
        Mutation::Delete { key } => key.len(),
    };
    payload + MUTATION_FRAME_BYTES
}
