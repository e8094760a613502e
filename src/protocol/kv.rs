//! Messages of the key-value store's HTTP interface.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum number of keys requested for one page of a list.
const LIST_PAGE_KEYS: usize = 500;

/// Text in the body of a 400 that answers a transaction which attaches a key to a lease that has
/// ended.
pub const NO_SUCH_LEASE: &str = "no such lease";

/// A request to the store, without its body.
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
        /// The last key of the previous page; empty for the first page.
        after: String,
    },
    /// Runs a transaction; the body is a [`Transaction`].
    Transaction,
    /// Requests a new lease; the body is a [`LeaseRequest`].
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
    /// Reads the changes of keys with a prefix, and waits for the first change if there are none.
    Watch {
        /// The prefix.
        prefix: String,
        /// The revision after which changes are returned.
        after: u64,
        /// How long the store waits for a first change, in milliseconds.
        hold_ms: u128,
    },
}

impl KvRequest {
    /// Returns the request's path and query string.
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

/// Describes the request for log and error messages.
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

/// A key in the store, with its value.
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
    /// The lease that the key is attached to: the key is deleted when the lease ends.
    #[serde(rename = "Tenure", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of a list of keys.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct KeyPage {
    /// The keys on this page, in order.
    #[serde(rename = "Pairs")]
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(rename = "HasNext", default)]
    pub has_more: bool,
    /// The revision at which the page was read.
    #[serde(rename = "Edition")]
    pub revision: u64,
}

/// A condition of a transaction: the key was last changed at this revision. Revision 0 means that
/// the key must not exist.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct Precondition {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// The required revision of its last change.
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
        /// The lease to attach the key to, if any.
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
    /// Creates a write of a key that is not attached to a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Self::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }

    /// Creates a deletion of a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Self::Delete { key: key.into() }
    }
}

/// A compare-and-swap transaction: if all preconditions are met, all mutations are applied;
/// otherwise none is.
#[derive(Debug, Clone, Default, Deserialize, Serialize, PartialEq)]
pub struct Transaction {
    /// The conditions under which the mutations are applied.
    #[serde(rename = "Guards")]
    pub preconditions: Vec<Precondition>,
    /// The changes, which all get the same revision.
    #[serde(rename = "Apply", default, skip_serializing_if = "Vec::is_empty")]
    pub mutations: Vec<Mutation>,
}

impl Transaction {
    /// Adds the condition that a key was last changed at this revision; 0 if it must not exist.
    pub fn guard(mut self, key: impl Into<String>, mod_revision: u64) -> Self {
        self.preconditions.push(Precondition {
            key: key.into(),
            mod_revision,
        });
        self
    }

    /// Adds a mutation.
    pub fn change(mut self, mutation: Mutation) -> Self {
        self.mutations.push(mutation);
        self
    }
}

/// The answer to a transaction that was applied.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Committed {
    /// The revision of the transaction's mutations.
    #[serde(rename = "Edition")]
    pub revision: u64,
}

/// The answer to a [`LeaseRequest`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct LeaseGranted {
    /// The lease's id.
    #[serde(rename = "Tenure")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// The lease's time to live, in milliseconds.
    #[serde(rename = "TtlMs")]
    pub ttl_ms: u64,
}

/// A change of a key that a watch returned.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "Write")]
        key: String,
        /// Its new value.
        #[serde(rename = "V")]
        value: Value,
        /// The revision of the write.
        #[serde(rename = "Mark")]
        mod_revision: u64,
    },
    /// A key was deleted.
    Delete {
        /// The key.
        #[serde(rename = "Drop")]
        key: String,
        /// The revision of the deletion.
        #[serde(rename = "Mark")]
        mod_revision: u64,
    },
}

/// The answer to a watch request.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct WatchPage {
    /// The revision up to which `events` contains all changes.
    #[serde(rename = "Edition")]
    pub revision: u64,
    /// The changes, in order of their revisions.
    #[serde(rename = "News", default)]
    pub events: Vec<WatchEvent>,
}
