//! The state service's interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stored key.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Item {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "V")]
    pub value: Value,
    #[serde(rename = "Mark")]
    pub version: u64,
    #[serde(rename = "Tenure", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Page {
    #[serde(rename = "Pairs")]
    pub items: Vec<Item>,
    #[serde(rename = "HasNext", default)]
    pub more: bool,
    #[serde(rename = "Edition")]
    pub revision: u64,
}

/// The condition that a key has a version (0: does not exist).
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct Guard {
    #[serde(rename = "Path")]
    pub key: String,
    #[serde(rename = "Mark")]
    pub version: u64,
}

/// A change of one key.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "Write")]
        key: String,
        #[serde(rename = "V")]
        value: Value,
        #[serde(rename = "Tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Change {
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }

    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { key: key.into() }
    }
}

/// An atomic transaction.
#[derive(Debug, Clone, Default, Deserialize, Serialize, PartialEq)]
pub struct Txn {
    #[serde(rename = "Guards")]
    pub guards: Vec<Guard>,
    #[serde(rename = "Apply", default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Adds a condition.
    pub fn guard(mut self, key: impl Into<String>, version: u64) -> Self {
        self.guards.push(Guard {
            key: key.into(),
            version,
        });
        self
    }

    /// Adds a change.
    pub fn change(mut self, change: Change) -> Self {
        self.changes.push(change);
        self
    }
}

/// The revision in a transaction's answer.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Committed {
    #[serde(rename = "Edition")]
    pub revision: u64,
}

/// The answer to a new lease.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct LeaseGranted {
    #[serde(rename = "Tenure")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct LeaseRequest {
    #[serde(rename = "TtlMs")]
    pub ttl_ms: u64,
}

/// One change seen by a watch.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(untagged)]
pub enum News {
    Put {
        #[serde(rename = "Write")]
        key: String,
        #[serde(rename = "V")]
        value: Value,
        #[serde(rename = "Mark")]
        version: u64,
    },
    Delete {
        #[serde(rename = "Drop")]
        key: String,
        #[serde(rename = "Mark")]
        version: u64,
    },
}

/// A watch's answer.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct NewsPage {
    #[serde(rename = "Edition")]
    pub revision: u64,
    #[serde(rename = "News", default)]
    pub events: Vec<News>,
}
