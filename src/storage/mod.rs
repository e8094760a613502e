//! Durable state: the key-value store's client, the layout of keys and records, and the encoding
//! of data that is split over many values (snapshot, roster, inventory).
//!
//! The coordination layer calls this module and decides when something is written. This module has
//! no notion of leadership: callers fence their transactions by adding preconditions.

pub mod inventory;
pub mod job_index;
pub mod job_transition;
pub mod keys;
pub mod kv_client;
pub mod rate_limiter;
pub mod records;
pub mod revoked_launches;
pub mod roster;
pub mod snapshot;
pub mod task_set;

#[cfg(test)]
mod tests;
