//! Hard facts and snapshots in the state service.

pub mod budget;
pub mod client;
pub mod facts;
pub mod inventory;
pub mod keys;
pub mod ledger;
pub mod records;
pub mod roster;
pub mod snapshot;
pub mod task_set;
