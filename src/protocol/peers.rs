//! Frames between controllers, exchanged at `/peer`.
//!
//! Their layout is fixed: see [`super::peer_messages`] for those that came later.

use rkyv::{Archive, Deserialize, Serialize};

use super::FencingToken;
use super::frame::frames;

/// The path at which controllers answer [`PeerRequest`].
pub const PEER: &str = "/peer";

/// A request from one controller to another.
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub enum PeerRequest {
    /// The sender's heartbeat, to be answered by the receiver's; sent about once a second.
    Heartbeat(PeerHeartbeat),
    /// Requests a vote for a lease extension: the sender leads, and can't reach the key-value
    /// store to renew its lease.
    ExtendLease {
        /// How long the receiver is to abstain from elections, in milliseconds.
        millis: u64,
    },
    /// A user's request, forwarded because the sender can't reach the key-value store.
    Forward {
        /// The request's method.
        method: String,
        /// Its path.
        path: String,
        /// Its body.
        body: Vec<u8>,
    },
}

/// A controller's heartbeat: its state and what it observes.
#[derive(Debug, Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Its node id.
    pub node_id: String,
    /// Its zone.
    pub zone: String,
    /// Whether the key-value store has served it recently.
    pub kv_served: bool,
    /// How many workers have sent heartbeats to it recently, whoever answered them.
    pub reachable_workers: u32,
    /// Seconds since it started.
    pub up_s: u64,
    /// Its fencing token, if it leads the shard.
    pub fencing_token: Option<FencingToken>,
    /// The zone with most of the machines, as the leader's last heartbeat named it.
    pub main_zone: Option<String>,
    /// From the leader: the progress of its open jobs.
    pub progress: Vec<Progress>,
    /// Whether it is ineligible for leadership: it resigned recently since too few workers
    /// reached it.
    pub ineligible: bool,
    /// How long ago it may last have renewed workers' leases under an advance delegation, in
    /// milliseconds.
    pub answered_by_advance_delegation_ago_ms: u64,
}

/// How many of a job's tasks are done and running, for display.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Progress {
    /// The job's id.
    pub job: String,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are running.
    pub running: u32,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The receiver's own heartbeat.
    Heartbeat(PeerHeartbeat),
    /// The vote on a lease extension.
    LeaseExtension {
        /// Whether the receiver abstains from elections for so long.
        granted: bool,
    },
    /// The answer to a forwarded request.
    Answer {
        /// The HTTP status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
    },
    /// The receiver could not decode the frame.
    Unreadable,
}

frames!(PeerRequest, PeerAnswer);

#[cfg(test)]
mod tests;
