//! Compatibility with older versions: this version and an older one read each other's records and
//! continue the jobs in them.
//!
//! `recorded/` holds recordings of two older commits: 5161cb0, which knows no gangs, and bee35ef,
//! the version in production. They were made by running these commits and killing all controllers
//! while jobs ran. A recording holds the content of the key-value store and the last heartbeats of
//! the workers.

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

/// A recording of an older version's cluster.
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

    /// The recorded values by key.
    fn values(&self) -> BTreeMap<String, Value> {
        let pair = |item: &KeyValue| (item.key.clone(), item.value.clone());
        self.keys.iter().map(pair).collect()
    }
}
