//! The authority to renew workers' leases.
//!
//! An answer to a worker's heartbeat renews that worker's lease, so that its tasks keep running.
//! This module owns the rules by which a controller may give such an answer: as the leader, as a
//! delegate, or by an advance delegation, and in each case only with recent enough knowledge of
//! the cancellations that were confirmed to users. The handler of workers' heartbeats calls it, and
//! peering supplies what other controllers state. This module itself sends nothing, and answers no
//! worker.

pub mod advance_delegation;
mod authority;
pub mod cancellation_freshness;

use std::time::Duration;

/// How long a delegate may renew workers' leases after it sent the read of its delegation to the
/// store.
pub const DELEGATION_TIME: Duration = Duration::from_secs(2);
