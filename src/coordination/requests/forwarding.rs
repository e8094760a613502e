//! Forwarding a request to peers that the key-value store serves.

use std::sync::Arc;
use std::time::Duration;

use super::request::UserRequest;
use super::response::UserResponse;
use crate::coordination::node::Node;
use crate::coordination::peering::{self, PEER_HEARTBEAT_MAX_AGE};
use crate::protocol::peers::PeerAnswer;
use crate::settings::platform::Peer;

/// Deadline of one forwarded request.
const FORWARD_DEADLINE: Duration = Duration::from_millis(900);

/// Forwards a request to one served peer after the other; `None` if none answers it.
pub(super) async fn forward_to_peers(
    node: &Arc<Node>,
    request: &UserRequest,
) -> Option<UserResponse> {
    for peer in served_peers(node) {
        if let Some(response) = forward(node, &peer, request).await {
            return Some(response);
        }
    }
    None
}

/// The peers whose fresh heartbeats say that the key-value store serves them, in the order of
/// the settings.
fn served_peers(node: &Node) -> Vec<Peer> {
    let now = node.now();
    let inner = node.lock();
    let served = |peer: &&Peer| {
        inner.peers.views.get(&peer.node_id).is_some_and(|view| {
            view.heartbeat.kv_served && view.is_fresher_than(PEER_HEARTBEAT_MAX_AGE, now)
        })
    };
    let peers = node.settings.platform.others.iter();
    peers.filter(served).cloned().collect()
}

async fn forward(node: &Node, peer: &Peer, request: &UserRequest) -> Option<UserResponse> {
    match peering::call_peer(node, peer, &request.to_forward(), FORWARD_DEADLINE).await? {
        PeerAnswer::Answer { status, body } => {
            let response = UserResponse { status, body };
            (!response.is_unavailable()).then_some(response)
        }
        _ => None,
    }
}
