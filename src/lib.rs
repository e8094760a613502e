//! valegap: a cluster scheduler in which each shard of machines is run by the
//! one controller that holds its lease.
//!
//! Layers, from the wire inwards: [`transport`] moves bytes, [`protocol`]
//! gives them types, [`storage`] keeps hard facts in the key-value store and
//! [`coordination`] decides.

#![warn(missing_docs)]

pub mod cli;
pub mod clock;
pub mod coordination;
pub mod protocol;
pub mod server;
pub mod settings;
pub mod storage;
pub mod telemetry;
pub mod transport;
