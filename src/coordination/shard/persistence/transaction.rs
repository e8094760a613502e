//! Putting one transaction together within the store's limits.

use super::shard_write::{PendingWrite, ShardWrite, WritePurpose};
use crate::protocol::kv::Mutation;

/// Bytes of mutations planned for one transaction. The store takes 64 KiB in all; the
/// rest is left for the sequence number, the preconditions and the frame.
const MAX_TXN_BYTES: usize = 48 * 1024;
/// Bytes that a mutation takes in a request beside its key and value.
const MUTATION_FRAME_BYTES: usize = 32;
/// Mutations of every transaction that the shard's sequence number takes.
const SEQUENCE_MUTATIONS: usize = 1;

/// A transaction that is being put together.
#[derive(Debug)]
pub(super) struct TransactionBuilder {
    purposes: Vec<WritePurpose>,
    mutations: Vec<Mutation>,
    bytes: usize,
    max_mutations: usize,
    snapshot_only: bool,
}

impl TransactionBuilder {
    /// An empty transaction, for a store that takes `txn_ops` mutations in one.
    pub(super) fn new(txn_ops: usize) -> Self {
        Self {
            purposes: Vec::new(),
            mutations: Vec::new(),
            bytes: 0,
            max_mutations: txn_ops - SEQUENCE_MUTATIONS,
            snapshot_only: true,
        }
    }

    /// How many mutations it may hold.
    pub(super) fn max_mutations(&self) -> usize {
        self.max_mutations
    }

    /// Whether it holds nothing yet.
    pub(super) fn is_empty(&self) -> bool {
        self.mutations.is_empty()
    }

    /// Whether it holds nothing but chunks of the snapshot.
    pub(super) fn is_snapshot_only(&self) -> bool {
        self.snapshot_only
    }

    /// Whether a mutation whose value takes up to `value_bytes` can be added for certain.
    pub(super) fn has_room_for_value(&self, value_bytes: usize) -> bool {
        self.has_room() && self.bytes + value_bytes <= MAX_TXN_BYTES
    }

    /// Whether this mutation can be added. A single one of any size can.
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

    /// Adds what follows once the roster's pages are durable.
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

    /// The transaction, ready to be sent.
    pub(super) fn build(self) -> ShardWrite {
        ShardWrite {
            purposes: self.purposes,
            mutations: self.mutations,
        }
    }
}

/// About how many bytes a mutation takes in a request.
fn mutation_size(mutation: &Mutation) -> usize {
    let payload = match mutation {
        Mutation::Put { key, value, .. } => key.len() + value.to_string().len(),
        Mutation::Delete { key } => key.len(),
    };
    payload + MUTATION_FRAME_BYTES
}
