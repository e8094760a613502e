//! Leadership of a shard, and what a controller does as its leader or as a delegate
//! of the leader.
//!
//! * [`node`] is the controller's settings, clients, limits and state; all others take it.
//! * [`leadership`] campaigns for the shard, renews its lease, and runs the leader's loop.
//! * [`shard`] decides: a state machine without clients, from events to actions.
//! * `shard_events` gives the shard its events, and its actions to the [`executor`].
//! * [`cloud`] polls the cloud and is its client.
//! * [`worker_leases`] says by which authority a controller may renew workers' leases;
//!   [`worker_heartbeats`] answers workers accordingly.
//! * [`requests`] answers users; [`peering`] exchanges heartbeats, votes, delegations and
//!   cancellations with the other controllers.
//!
//! [`crate::api`] serves requests with this layer, and [`crate::server`] spawns its loops.

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
