//! Leadership of the shard: campaigning for it, its lease, failover and the leader's
//! loop.
//!
//! Owns the shard's lease in the key-value store ("the store" from here on) and the
//! leader record attached to it, from the campaign to the end of the leadership:
//!
//! * [`election`] waits until the shard has no leader, and then for the delay that `candidacy`
//!   sets;
//! * `acquisition` writes the leader record, whose revision is the fencing token;
//! * [`lease`] holds the lease's deadline, until which the leader may act, and `renewal` renews the
//!   lease;
//! * `leader_loop` recovers the shard from [`stored_records`], runs passes of decisions until the
//!   lease ends, and follows the jobs by `job_watch`.
//!
//! The controller's process spawns [`election::campaign`] once; peering ends a
//! leadership early by [`step_down`]. This module never decides which task runs on which machine
//! ([`super::shard`] does), and never carries out the shard's actions ([`super::executor`] does).

mod acquisition;
mod candidacy;
pub mod election;
mod job_watch;
mod leader_loop;
pub mod lease;
mod renewal;
pub mod stored_records;

pub use leader_loop::{StepDownReason, step_down};
