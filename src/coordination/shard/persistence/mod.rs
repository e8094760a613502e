//! Durable writes of the shard: which records are written to the key-value store, in
//! which transactions, and what follows once they are durable.

mod snapshots;
mod writes;

pub(in crate::coordination::shard) use writes::WriteQueue;
pub use writes::{ShardWrite, WritePurpose};
