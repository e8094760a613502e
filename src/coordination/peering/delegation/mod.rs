//! Delegated lease renewal: workers that the leader can't reach, while another controller can.
//!
//! When zones are cut from one another, both may still reach the key-value store. A controller
//! that reaches workers but not the leader publishes that there (`reachability_records`). The
//! leader then delegates the renewal of those workers' leases to it (`leader`), and the delegate
//! answers their heartbeats with the leader's fencing token (`delegate`). A leader that doesn't
//! know yet what runs on every machine reads it from the inventories that its delegates write
//! (`inventories`). What a delegation means to the shard is decided there, not here.

mod delegate;
mod inventories;
mod leader;
mod reachability_records;

pub use self::delegate::serve_delegated_workers;
pub(super) use self::leader::{update_delegations, update_last_delegated_renewal};
pub(super) use self::reachability_records::{publish_reachability, workers_reachable_elsewhere};
