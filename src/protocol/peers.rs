//! The frames that controllers exchange at `/peer`.
//!
//! The layout of these frames is fixed. Frames that were added later are in
//! [`super::peer_messages`], which explains why.

use rkyv::{Archive, Deserialize, Serialize};

use super::FencingToken;
use super::frame::frames;

/// The path at which controllers answer [`PeerRequest`].
pub const PEER_PATH: &str = "/peer";

/// A request from one controller to another.
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The sender's heartbeat, which the receiver answers with its own. Sent about once a second.
    Heartbeat(PeerHeartbeat),
    /// Requests a vote for a lease extension: the sender leads but can't renew its lease because
    /// it can't reach the key-value store.
    ExtendLease {
        /// For how long the receiver must not campaign for the shard, in milliseconds.
        millis: u64,
    },
    /// A user's request, forwarded because the sender can't reach the key-value store.
    Forward {
        /// The HTTP method of the user's request.
        method: String,
        /// The path of the user's request.
        path: String,
        /// The body of the user's request.
        body: Vec<u8>,
    },
}

/// A controller's heartbeat to its peers: its own state, and what it knows of the shard.
#[derive(Debug, Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The sender's node id.
    pub node_id: String,
    /// The sender's zone.
    pub zone: String,
    /// Whether the key-value store has answered the sender recently.
    pub kv_served: bool,
    /// Number of workers that have recently sent heartbeats to the sender, however the sender
    /// answered them.
    pub reachable_workers: u32,
    /// Time since the sender's process started, in seconds.
    pub up_s: u64,
    /// The sender's fencing token, if it leads the shard and its lease is live.
    pub fencing_token: Option<FencingToken>,
    /// The zone with most of the machines, according to the leader's last heartbeat.
    pub main_zone: Option<String>,
    /// The progress of the unfinished jobs; empty unless the sender leads.
    pub progress: Vec<Progress>,
    /// Whether the sender is ineligible for leadership because it stepped down recently, after it
    /// reached too few workers.
    pub ineligible: bool,
    /// Time since the sender may last have renewed workers' leases under an advance delegation,
    /// in milliseconds.
    pub answered_by_advance_delegation_ago_ms: u64,
}

/// The numbers of a job's tasks that are done and running, for display.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Progress {
    /// The job's id.
    pub job: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The receiver's own heartbeat.
    Heartbeat(PeerHeartbeat),
    /// The receiver's vote on a lease extension.
    LeaseExtension {
        /// Whether the vote is granted: the receiver won't campaign for the shard for the requested
        /// time.
        granted: bool,
    },
    /// The response to a forwarded user request.
    ForwardedResponse {
        /// The HTTP status of the response.
        status: u16,
        /// The body of the response.
        body: Vec<u8>,
    },
    /// The receiver could not decode the frame.
    Unreadable,
}

frames!(PeerRequest, PeerAnswer);

#[cfg(test)]
mod tests;
