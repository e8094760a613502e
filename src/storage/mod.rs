//! Durable state: the key-value store's client, the layout of keys and records, and the encoding
//! of what is stored in many pieces (snapshot, roster, inventory).
//!
//! The coordination layer calls it. It never decides when something is written, and it knows no
//! leadership: fencing is the preconditions that a caller adds to its transactions.

pub mod inventory;
pub mod job_index;
pub mod job_transition;
pub mod keys;
pub mod kv_client;
pub mod rate_limiter;
pub mod records;
pub mod roster;
pub mod snapshot;
pub mod task_set;

#[cfg(test)]
mod tests;
