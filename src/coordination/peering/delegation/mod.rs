//! Delegated lease renewal for workers that the leader can't reach while another controller can.
//!
//! Zones that are cut off from one another may all still reach the key-value store. A controller
//! that reaches workers but not the leader publishes that in the store (`reachability_records`).
//! The leader then delegates the renewal of those workers' leases to that controller (`leader`),
//! and the delegate answers their heartbeats with the leader's fencing token (`delegate`). A leader
//! that doesn't know yet what runs on every machine reads that from the inventories which its
//! delegates write (`inventories`). The shard itself decides what a delegation means for its
//! machines.

mod delegate;
mod inventories;
mod leader;
mod reachability_records;

pub use self::delegate::serve_delegated_workers;
pub(super) use self::leader::{update_delegations, update_last_advance_renewal};
pub(super) use self::reachability_records::{publish_reachability, workers_reachable_elsewhere};
