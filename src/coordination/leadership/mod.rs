//! Leadership of the shard: campaigning for it, its lease, failover and the leader's
//! loop.
//!
//! Owns the shard's lease in the key-value store and the leader record attached to it,
//! from the campaign to the end of the leadership. The controller's process spawns
//! [`election::campaign`] once; peering steps down through [`election::step_down`].
//! It never decides what runs where ([`crate::coordination::shard`] does), and never carries out the
//! shard's actions ([`super::executor`] does).

pub mod election;
pub mod job_watch;
pub mod lease;
pub mod stored_records;
