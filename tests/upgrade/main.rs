//! Versions side by side: each reads the records of the other and continues with them.
//!
//! `recorded/` holds what controllers of two older commits had written to the key-value
//! store, and the last heartbeats of their workers, when all of them were killed while
//! jobs ran: 5161cb0, which knows no gangs, and bee35ef, the version in production. The
//! recordings were made by running these commits.

#![allow(clippy::expect_used, reason = "a panic is how a test fails")]

mod cluster;
mod failover;
mod frames;
mod older;
#[path = "../support/settings.rs"]
mod settings;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;
use valegap::protocol::kv::KeyValue;
use valegap::protocol::workers::WorkerHeartbeat;

/// A recorded state.
#[derive(Debug, Clone, Deserialize)]
struct Recorded {
    keys: Vec<KeyValue>,
    #[serde(rename = "reports")]
    heartbeats: Vec<WorkerHeartbeat>,
}

impl Recorded {
    fn before_gangs() -> Self {
        serde_json::from_str(include_str!("recorded/5161cb0.json")).expect("a recording")
    }

    fn with_gangs() -> Self {
        serde_json::from_str(include_str!("recorded/bee35ef.json")).expect("a recording")
    }

    fn values(&self) -> BTreeMap<String, Value> {
        let pair = |item: &KeyValue| (item.key.clone(), item.value.clone());
        self.keys.iter().map(pair).collect()
    }
}
