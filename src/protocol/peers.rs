//! What controllers say to one another, in `rkyv` frames.

use super::FencingToken;
use rkyv::{Archive, Deserialize, Serialize};

use super::peer_messages::aligned;

/// A request from one controller to another.
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub enum PeerRequest {
    /// How are you, and whom do you hear? Sent about once a second.
    Heartbeat(PeerHeartbeat),
    /// The leader can't reach the key-value store: will you leave the shard alone
    /// for this long?
    ExtendLease {
        /// For so many milliseconds.
        millis: u64,
    },
    /// A user's request that the sender can't serve itself.
    Forward {
        /// The request's method.
        method: String,
        /// Its path.
        path: String,
        /// Its body.
        body: Vec<u8>,
    },
}

/// What a controller knows of itself.
#[derive(Debug, Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Its node id.
    pub node_id: String,
    /// Its zone.
    pub zone: String,
    /// Whether the key-value store answered it lately.
    pub kv_served: bool,
    /// Machines whose workers tried to send heartbeats to it lately.
    pub reachable_workers: u32,
    /// Seconds since it started.
    pub up_s: u64,
    /// The fencing token of the shard that it runs, if any.
    pub fencing_token: Option<FencingToken>,
    /// The zone that holds most of the machines, as the leader last said.
    pub main_zone: Option<String>,
    /// From the leader: its unfinished jobs with their tasks done and running.
    pub progress: Vec<Progress>,
    /// Whether it gave the shard up lately because it heard too few workers.
    pub ineligible: bool,
    /// How long ago it may last have answered workers by an advance delegation.
    pub answered_by_advance_delegation_ago_ms: u64,
}

/// How far a job is, for display.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Progress {
    /// The job's id.
    pub job: String,
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Archive, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answering controller's own.
    Heartbeat(PeerHeartbeat),
    /// Whether the vote is given.
    LeaseExtension {
        /// Whether it leaves the shard alone for so long.
        granted: bool,
    },
    /// The final answer to a forwarded request.
    Answer {
        /// The answer's status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
    },
    /// The frame could not be read.
    Unreadable,
}

/// Encodes a frame.
pub fn encode_request(request: &PeerRequest) -> Vec<u8> {
    rkyv::to_bytes::<rkyv::rancor::Error>(request)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Decodes and checks a request.
pub fn decode_request(bytes: &[u8]) -> Option<PeerRequest> {
    rkyv::from_bytes::<PeerRequest, rkyv::rancor::Error>(&aligned(bytes)).ok()
}

/// Encodes an answer.
pub fn encode_answer(answer: &PeerAnswer) -> Vec<u8> {
    rkyv::to_bytes::<rkyv::rancor::Error>(answer)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Decodes and checks an answer.
pub fn decode_answer(bytes: &[u8]) -> Option<PeerAnswer> {
    rkyv::from_bytes::<PeerAnswer, rkyv::rancor::Error>(&aligned(bytes)).ok()
}

#[cfg(test)]
mod tests;
