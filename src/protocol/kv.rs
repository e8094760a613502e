//! The key-value store's interface.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Most keys of a page of a list.
const LIST_PAGE_KEYS: usize = 500;

/// What the body of a 400 says if a transaction attaches a key to a lease that has ended.
pub const NO_SUCH_LEASE: &str = "no such lease";

/// A request to the store; bodies are apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads a page of the keys with a prefix.
    List {
        /// The prefix.
        prefix: String,
        /// The last key of the page before, or nothing.
        after: String,
    },
    /// Runs a [`Transaction`].
    Transaction,
    /// Requests a lease by a [`LeaseRequest`].
    GrantLease,
    /// Renews a lease.
    RenewLease {
        /// The lease's id.
        lease: u64,
    },
    /// Ends a lease.
    RevokeLease {
        /// The lease's id.
        lease: u64,
    },
    /// Reads the changes of keys with a prefix, waiting for the first if there are none yet.
    Watch {
        /// The prefix.
        prefix: String,
        /// The revision after which changes are read.
        after: u64,
        /// How long the store waits, in milliseconds.
        hold_ms: u128,
    },
}

impl KvRequest {
    /// The request's path and query.
    pub fn path(&self) -> String {
        match self {
            Self::Get { key } => format!("/store/{key}"),
            Self::List { prefix, after } => {
                format!("/store?Prefix={prefix}&After={after}&Most={LIST_PAGE_KEYS}")
            }
            Self::Transaction => "/txn".to_owned(),
            Self::GrantLease => "/holds".to_owned(),
            Self::RenewLease { lease } => format!("/holds/{lease}/renew"),
            Self::RevokeLease { lease } => format!("/holds/{lease}"),
            Self::Watch {
                prefix,
                after,
                hold_ms,
            } => format!("/follow?Prefix={prefix}&After={after}&HoldMs={hold_ms}"),
        }
    }
}

/// Names the request and what it is about, for messages.
impl fmt::Display for KvRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Get { key } => write!(f, "the read of {key}"),
            Self::List { prefix, .. } => write!(f, "the list of {prefix}"),
            Self::Transaction => f.write_str("the transaction"),
            Self::GrantLease => f.write_str("the grant of a lease"),
            Self::RenewLease { lease } => write!(f, "the renewal of lease {lease}"),
            Self::RevokeLease { lease } => write!(f, "the revocation of lease {lease}"),
            Self::Watch { prefix, after, .. } => {
                write!(f, "the watch of {prefix} after revision {after}")
            }
        }
    }
}

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
    /// The lease that it is attached to: the key is deleted when the lease ends.
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

/// A transaction's condition: the key was last changed at this revision. 0 means that it must not
/// exist.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// The revision of its last change.
    #[serde(rename = "Mark")]
    pub mod_revision: u64,
}

/// A transaction's change of one key.
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
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Mutation {
    /// A write of a key without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }

    /// A deletion.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { key: key.into() }
    }
}

/// A compare-and-swap transaction: all mutations are applied if all preconditions are met, else
/// none is.
#[derive(Debug, Clone, Default, Deserialize, Serialize, PartialEq)]
pub struct Transaction {
    /// Its conditions.
    #[serde(rename = "Guards")]
    pub preconditions: Vec<Precondition>,
    /// Its changes, which share one revision.
    #[serde(rename = "Apply", default, skip_serializing_if = "Vec::is_empty")]
    pub mutations: Vec<Mutation>,
}

impl Transaction {
    /// Adds the condition that a key was last changed at this revision.
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
    /// The revision of its mutations.
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

/// A change that a watch has observed.
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
    /// A key was deleted.
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
    /// The revision up to which the changes are complete.
    #[serde(rename = "Edition")]
    pub revision: u64,
    /// The changes, in order.
    #[serde(rename = "News", default)]
    pub events: Vec<WatchEvent>,
}
