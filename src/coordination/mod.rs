//! Leadership of a shard, and what a controller does as its leader or as a delegate
//! of the leader.

pub mod clock_drift;
pub mod cloud;
pub mod executor;
pub mod leadership;
pub mod node;
pub mod peering;
pub mod requests;
mod retry;
pub mod shard;
mod shard_events;
pub mod worker_heartbeats;
pub mod worker_leases;

#[cfg(test)]
mod tests;
