//! Hard facts and snapshots in the state service.

pub mod client;
pub mod facts;
pub mod keys;
pub mod records;
pub mod snapshot;
pub mod task_set;
