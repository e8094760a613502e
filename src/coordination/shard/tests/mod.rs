//! The shard's state machine on a fake clock: with scripted events, one failure at a
//! time, and in a simulated cluster with random faults ([`simulation`]).

mod agent_epochs;
mod autoscaling;
mod combined_faults;
mod deadlines;
mod delegations;
mod failing_jobs;
mod failover;
pub(super) mod fixtures;
mod gangs;
mod health;
mod heartbeats;
mod launches;
mod leader_pause;
mod preemption;
mod quotas;
mod random;
mod scale;
mod scale_in;
mod scripted_shard;
mod scripted_workers;
mod simulation;
mod slow_boots;
mod snapshots;
mod store_limits;
mod zones;
