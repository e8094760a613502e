//! Forwards user requests to peers that can reach the key-value store.

use std::sync::Arc;
use std::time::Duration;

use super::request::UserRequest;
use super::response::UserResponse;
use crate::coordination::node::Node;
use crate::coordination::peering::{self, PEER_HEARTBEAT_MAX_AGE};
use crate::protocol::peers::PeerAnswer;
use crate::settings::platform::Peer;

/// Time from forwarding a request to a peer until the next peer is tried.
const FORWARD_DEADLINE: Duration = Duration::from_millis(900);

/// Forwards a request to the peers that the key-value store serves, one after the other, and
/// returns the first answer. Returns `None` if no peer answers.
pub(super) async fn forward_to_peers(
    node: &Arc<Node>,
    request: &UserRequest,
) -> Option<UserResponse> {
    for peer in peers_with_store_access(node) {
        if let Some(response) = forward(node, &peer, request).await {
            return Some(response);
        }
    }
    None
}

/// Returns the peers whose last heartbeat is recent and says that the key-value store serves them,
/// in the order of the settings.
fn peers_with_store_access(node: &Node) -> Vec<Peer> {
    let now = node.now();
    let state = node.lock();
    let has_store_access = |peer: &&Peer| {
        state.peers.views.get(&peer.node_id).is_some_and(|view| {
            view.heartbeat.kv_served && view.is_fresher_than(PEER_HEARTBEAT_MAX_AGE, now)
        })
    };
    let peers = node.settings.platform.others.iter();
    peers.filter(has_store_access).cloned().collect()
}

async fn forward(node: &Node, peer: &Peer, request: &UserRequest) -> Option<UserResponse> {
    match peering::call_peer(node, peer, &request.to_forward_frame(), FORWARD_DEADLINE).await? {
        PeerAnswer::ForwardedResponse { status, body } => {
            let response = UserResponse { status, body };
            (!response.is_unavailable()).then_some(response)
        }
        _ => None,
    }
}
