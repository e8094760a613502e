//! The authority to let workers' tasks run.
//!
//! An answer to a worker's heartbeat renews that worker's lease, so that its tasks keep running, and
//! a launch starts a task that runs for the rest of the lease. This module owns the rules by which
//! a controller may do either: renew leases as the leader, as a delegate, or by an advance
//! delegation, and in each case, as for launches, only with recent enough knowledge of the
//! cancellations that were confirmed to users ([`run_permit`]). The handler of workers' heartbeats,
//! the shard and the action executor ask for permits, and peering supplies what other controllers
//! state. This module itself sends nothing, and answers no worker.

pub mod advance_delegation;
mod authority;
pub mod cancellation_freshness;
pub mod command_tokens;
pub mod commands;
pub mod launch_fence;
pub mod lease_renewal;
pub mod revoked_launches;
pub mod run_permit;

pub use authority::DelegatedRenewal;

use std::fmt;
use std::time::Duration;

/// How long a delegate may renew workers' leases after it sent the read of its delegation to the
/// store.
pub const DELEGATION_TIME: Duration = Duration::from_secs(2);

/// By which right a controller renews workers' leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalAuthority {
    /// It leads the shard, and its lease is live.
    Leader,
    /// It has acquired the shard and cannot recover it yet.
    Recovery,
    /// The leader's delegation in the store.
    Delegation,
    /// An advance delegation, or the node's own last lease renewal as the leader.
    AdvanceDelegation,
}

impl fmt::Display for RenewalAuthority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Leader => "leader",
            Self::Recovery => "recovery",
            Self::Delegation => "delegation",
            Self::AdvanceDelegation => "advance delegation",
        })
    }
}
