//! What controllers say to one another once a second, and what follows from it.

pub mod cancellations;
pub mod delegation;
pub mod extension;
pub mod handover;
pub mod heartbeat;
pub mod reach;

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;

use super::node::Node;
use crate::protocol::peers::{PeerAnswer, PeerRequest, decode_answer, encode_request};
use crate::settings::platform::Peer;
use crate::transport::client::{Answer, CallError};

/// Pause between two rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Deadline of a question to a peer that the next round asks again.
const ROUND_DEADLINE: Duration = Duration::from_millis(700);
/// How long a new leader listens before it may find that it hears too few workers: every
/// machine was asked for a heartbeat at once.
const LEADER_GRACE: Duration = Duration::from_secs(2);
/// A peer's heartbeat older than this means that it can't be reached.
pub(super) const HEARTBEAT_FRESH: Duration = Duration::from_secs(3);
/// The path of the first frames, [`PeerRequest`] and [`PeerAnswer`].
const PEER: &str = "/peer";

/// Sends a frame to another controller.
pub async fn ask(
    node: &Node,
    peer: &Peer,
    request: &PeerRequest,
    deadline: Duration,
) -> Option<PeerAnswer> {
    let frame = encode_request(request);
    let answer = post(node, peer, PEER, frame, deadline).await.ok()?;
    decode_answer(&answer.body)
}

async fn post(
    node: &Node,
    peer: &Peer,
    path: &str,
    frame: Vec<u8>,
    deadline: Duration,
) -> Result<Answer, CallError> {
    let http = &node.clients.peers;
    http.call(Method::POST, peer.address, path, frame, deadline)
        .await
}

/// Exchanges heartbeats for ever, and does what they call for.
pub async fn run(node: Arc<Node>) {
    let mut low_reachability_rounds = 0;
    let mut was_ready = false;
    loop {
        handover::note_main_zone(&node);
        log_readiness(&node, &mut was_ready);
        heartbeat::send_to_all(&node);
        cancellations::ask_all(&node);
        refresh_job_index(&node);
        tokio::time::sleep(ROUND).await;
        delegation::note_quiet(&node);
        delegation::publish_reachability(&node).await;
        delegation::delegate_and_revoke(&node).await;
        handover::step_down_if_ineligible(&node, &mut low_reachability_rounds).await;
        reach::probe_unreachable_workers(&node).await;
    }
}

fn log_readiness(node: &Node, was_ready: &mut bool) {
    let ready = node.ready();
    if ready != std::mem::replace(was_ready, ready) {
        tracing::info!(
            ready,
            kv_lost = node.kv_lost(),
            peer_served = node.peer_served(),
            "readiness changed"
        );
    }
}

/// A catch-up read of the key-value store keeps this node's picture of it fresh.
fn refresh_job_index(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        let _ = node.catch_up().await;
    });
}
