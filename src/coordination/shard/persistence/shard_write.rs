//! A transaction on the shard's keys, and what it is for.

use serde_json::Value;

use crate::protocol::MachineId;
use crate::protocol::cloud::Rental;
use crate::protocol::kv::Mutation;

/// What follows once a mutation is durable.
#[derive(Debug, Clone, PartialEq)]
pub enum WritePurpose {
    /// The machine may get tasks.
    Admit(MachineId),
    /// The machine may be deleted.
    Delete(MachineId),
    /// The rental may be requested.
    RecordScaleOut(Rental),
    /// Nothing: the request with this id needs no record any more.
    ClearScaleOut(String),
    /// Nothing: the delegation counts from the moment its write is queued.
    Delegate,
    /// The delegation to this node ends within the time for which delegates act on a read.
    RevokeDelegation(String),
    /// The store holds this chunk of the snapshot; none if it was deleted.
    SnapshotChunk {
        /// The chunk's key.
        key: String,
        /// Its new value.
        value: Option<Value>,
    },
}

impl WritePurpose {
    /// Whether it follows from pages of the roster. Several entries share a page, so these
    /// purposes have no mutation of their own; each other purpose has exactly one.
    pub(super) fn is_of_roster(&self) -> bool {
        matches!(self, Self::Admit(_) | Self::Delete(_))
    }
}

/// One transaction on the shard's keys. The writer adds the shard's sequence number.
///
/// The roster's pages and their purposes come first. The mutations behind them stand in
/// the same order as their purposes.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardWrite {
    /// What follows once it is applied.
    pub purposes: Vec<WritePurpose>,
    /// What it changes.
    pub mutations: Vec<Mutation>,
}

/// A mutation that waits to be written, and what follows from it.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    pub purpose: WritePurpose,
    pub mutation: Mutation,
}
