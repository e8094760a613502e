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
pub mod run_permit;

use std::time::Duration;

/// How long a delegate may renew workers' leases after it sent the read of its delegation to the
/// store.
pub const DELEGATION_TIME: Duration = Duration::from_secs(2);
