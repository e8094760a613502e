//! Durable writes of the shard to the key-value store.
//!
//! [`WriteQueue`] owns everything that waits to be written and decides what the next
//! transaction holds: the roster of machines, other durable records (rentals,
//! delegations) and the chunks of the shard's snapshot. The shard calls it whenever it
//! reconciles, and whenever the store has answered a transaction; the files `records`,
//! `flush` and `snapshots` connect the two. Nothing here talks to the store: transactions
//! leave as [`Action::Write`](super::Action::Write).
//!
//! Invariants: at most one transaction is in flight, so that the shard's sequence number
//! orders them all; what a record permits (tasks on a machine, a deletion, a rental)
//! follows only once the record is durable.

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
