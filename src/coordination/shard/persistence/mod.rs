//! Durable writes of the shard to the key-value store.
//!
//! [`WriteQueue`] owns everything that waits to be written and selects the contents of the next
//! transaction: the roster of machines, other durable records (rentals,
//! delegations) and the chunks of the shard's snapshot. The shard calls it whenever it
//! reconciles, and whenever the store has answered a transaction; the modules `records`,
//! `flush` and `snapshots` connect the queue to the shard. Nothing here accesses the store: each
//! transaction is emitted as an [`Action::Write`](super::Action::Write).
//!
//! Invariants: at most one transaction is in flight, so that the shard's sequence number
//! orders them all; the shard acts on a record (starts tasks on a machine, deletes a machine,
//! requests a rental) only once the record is durable.

mod flush;
mod records;
mod shard_write;
mod snapshot_rounds;
mod snapshots;
mod token_bucket;
mod transaction;
mod write_limits;
mod write_queue;

pub use shard_write::{ShardWrite, WritePurpose};
pub(in crate::coordination::shard) use write_queue::WriteQueue;

#[cfg(test)]
mod tests;
