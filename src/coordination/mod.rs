//! Leadership of a shard, and the work of a controller as the shard's leader or as a delegate
//! of the leader.
//!
//! * [`node`] holds the controller's settings, clients, limits and state. The other modules take
//!   a reference to it.
//! * [`leadership`] campaigns for leadership of the shard, renews the leader's lease, and runs the
//!   leader's loop.
//! * [`shard`] makes the decisions. It is a state machine that takes events and returns actions,
//!   and does no I/O.
//! * `shard_events` passes events to the shard, and the resulting actions to the [`executor`].
//! * [`cloud`] contains the cloud's client and polls the cloud.
//! * [`worker_leases`] determines by what authority a controller may renew workers' leases.
//!   [`worker_heartbeats`] answers workers accordingly.
//! * [`requests`] answers users.
//! * [`peering`] exchanges heartbeats, votes, delegations and cancellations with the other
//!   controllers.
//!
//! [`crate::api`] calls this layer to answer requests, and [`crate::server`] spawns its loops.

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
