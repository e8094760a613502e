//! valegap: a cluster scheduler in which each shard of machines is run by the
//! one controller that holds its lease.
//!
//! Layers, lowest first; each imports only itself and those below it (`tests/layers.rs`):
//!
//! 1. [`transport`]: listeners, connection limits and the HTTP client;
//! 2. [`protocol`]: the messages of the published interfaces;
//! 3. [`settings`], [`clock`] and [`telemetry`];
//! 4. [`storage`]: the records in the key-value store, and the store's client;
//! 5. [`coordination`]: leadership of the shard and every decision on it;
//! 6. [`api`]: the HTTP interfaces of users, workers, peers and operators;
//! 7. [`server`] and [`cli`]: the process.

pub mod api;
pub mod cli;
pub mod clock;
pub mod coordination;
pub mod protocol;
pub mod server;
pub mod settings;
pub mod storage;
pub mod telemetry;
pub mod transport;
