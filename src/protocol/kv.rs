//! The key-value store's interface.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A stored key.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "V")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "Mark")]
    pub mod_revision: u64,
    /// The lease that it is attached to.
    #[serde(rename = "Tenure", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of keys.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyPage {
    /// The keys on this page, in order.
    #[serde(rename = "Pairs")]
    pub items: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(rename = "HasNext", default)]
    pub more: bool,
    /// The revision at which the page was read.
    #[serde(rename = "Edition")]
    pub revision: u64,
}

/// The condition that a key has a version (0: does not exist).
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// The version that it has to have.
    #[serde(rename = "Mark")]
    pub mod_revision: u64,
}

/// A change of one key.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Mutation {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "Write")]
        key: String,
        /// Its new value.
        #[serde(rename = "V")]
        value: Value,
        /// The lease to attach it to.
        #[serde(rename = "Tenure", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Mutation {
    /// A write of a key that no lease is attached to.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }

    /// A removal.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { key: key.into() }
    }
}

/// An atomic transaction.
#[derive(Debug, Clone, Default, Deserialize, Serialize, PartialEq)]
pub struct Transaction {
    /// Conditions, all of which have to hold.
    #[serde(rename = "Guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes, which share one revision.
    #[serde(rename = "Apply", default, skip_serializing_if = "Vec::is_empty")]
    pub mutations: Vec<Mutation>,
}

impl Transaction {
    /// Adds a condition.
    pub fn guard(mut self, key: impl Into<String>, mod_revision: u64) -> Self {
        self.preconditions.push(Precondition {
            key: key.into(),
            mod_revision,
        });
        self
    }

    /// Adds a change.
    pub fn change(mut self, change: Mutation) -> Self {
        self.mutations.push(change);
        self
    }
}

/// The revision in a transaction's answer.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Committed {
    /// The revision of its changes.
    #[serde(rename = "Edition")]
    pub revision: u64,
}

/// The answer to a new lease.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct LeaseGranted {
    /// The lease's id.
    #[serde(rename = "Tenure")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds.
    #[serde(rename = "TtlMs")]
    pub ttl_ms: u64,
}

/// One change seen by a watch.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "Write")]
        key: String,
        /// Its value.
        #[serde(rename = "V")]
        value: Value,
        /// The revision.
        #[serde(rename = "Mark")]
        mod_revision: u64,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "Drop")]
        key: String,
        /// The revision.
        #[serde(rename = "Mark")]
        mod_revision: u64,
    },
}

/// A watch's answer.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct WatchPage {
    /// The revision up to which the changes go.
    #[serde(rename = "Edition")]
    pub revision: u64,
    /// The changes, in order.
    #[serde(rename = "News", default)]
    pub events: Vec<WatchEvent>,
}
