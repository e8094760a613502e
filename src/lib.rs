//! valegap: a cluster scheduler in which each shard of machines is managed by the one controller
//! that holds the shard's lease.
//!
//! The layers, lowest first. Each may import only itself and the layers below it, which
//! `tests/layers.rs` checks:
//!
//! 1. [`transport`]: listeners, connection limits and the HTTP client;
//! 2. [`protocol`]: the messages of the published interfaces;
//! 3. [`settings`], [`clock`] and [`telemetry`];
//! 4. [`storage`]: the records in the key-value store, and the client of the store;
//! 5. [`coordination`]: leadership of the shard and all scheduling decisions;
//! 6. [`api`]: the HTTP interfaces of users, workers, peers and operators;
//! 7. [`server`] and [`cli`]: the controller's process.

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
