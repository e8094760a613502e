//! Who owns what, and what a leader does with it.

pub mod advance_delegation;
pub mod cancellation_knowledge;
pub mod drift;
pub mod election;
pub mod entitlement;
pub mod executor;
pub mod job_watch;
pub mod lease;
pub mod node;
pub mod node_state;
pub mod peering;
pub mod reachability;
pub mod recovery;
pub mod requests;
pub mod shard;
pub mod status;
pub mod worker_heartbeats;

#[cfg(test)]
mod tests;
