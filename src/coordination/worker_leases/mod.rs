//! The authority to renew workers' leases.
//!
//! An answer to a worker's heartbeat renews that worker's lease, so that its tasks live
//! on. This folder owns the rules by which a controller may give such an answer: as the
//! leader, as a delegate, or by a delegation granted in advance, and in each case only
//! with fresh enough knowledge of the cancellations that users were sent. The heartbeat
//! handler asks it; peering feeds it. It never answers a worker, and never sends anything.

pub mod advance_delegation;
mod authority;
pub mod cancellation_freshness;

use std::time::Duration;

/// How long a delegate may renew workers' leases after it asked the store whether the
/// leader still delegates that to it.
pub const DELEGATION_TIME: Duration = Duration::from_secs(2);
