//! Hard facts and snapshots in the key-value store.

pub mod budget;
pub mod inventory;
pub mod job_index;
pub mod job_transition;
pub mod keys;
pub mod kv_client;
pub mod records;
pub mod roster;
pub mod snapshot;
pub mod task_set;
