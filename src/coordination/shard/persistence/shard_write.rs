//! Transactions on the shard's keys, and the purposes of their mutations.

use serde_json::Value;

use crate::protocol::MachineId;
use crate::protocol::cloud::Rental;
use crate::protocol::kv::Mutation;

/// The purpose of a mutation: what the shard may do once it is durable.
#[derive(Debug, Clone, PartialEq)]
pub enum WritePurpose {
    /// The machine may get tasks.
    Admit(MachineId),
    /// The machine may be deleted.
    Delete(MachineId),
    /// The rental may be requested.
    RecordRental(Rental),
    /// Nothing follows: the rental request of this name no longer needs a record.
    ClearRental(String),
    /// Nothing follows: the delegation counts from the moment its write is queued.
    Delegate,
    /// Nothing follows: delegates read the revoked launches before they renew leases.
    RevokeLaunches,
    /// The delegation to this node ends after the time for which the delegate may still act on its
    /// last read of the record.
    RevokeDelegation(String),
    /// The store holds this chunk of the snapshot, or has deleted it.
    SnapshotChunk {
        /// The chunk's key.
        key: String,
        /// Its new value; None if the chunk was deleted.
        value: Option<Value>,
    },
}

impl WritePurpose {
    /// Whether this is the purpose of a roster entry. Several entries share a page, so these
    /// purposes have no mutation of their own; each other purpose has exactly one.
    pub(super) fn is_roster_purpose(&self) -> bool {
        matches!(self, Self::Admit(_) | Self::Delete(_))
    }
}

/// One transaction on the shard's keys. The code that sends it adds the mutation of the shard's
/// sequence number.
///
/// The roster's pages come first among the mutations, and their purposes first among the purposes.
/// The other mutations are in the same order as their purposes.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardWrite {
    /// What the shard may do once the transaction is applied.
    pub purposes: Vec<WritePurpose>,
    /// The changes of keys, without that of the sequence number.
    pub mutations: Vec<Mutation>,
}

/// A mutation that waits to be written, and its purpose.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    pub purpose: WritePurpose,
    pub mutation: Mutation,
}
