//! Sends frames to other controllers.

use std::time::Duration;

use hyper::Method;

use crate::coordination::node::Node;
use crate::protocol::peers::{PEER_PATH, PeerAnswer, PeerRequest};
use crate::settings::platform::Peer;
use crate::transport::client::{Answer, CallError};

/// Sends a request to another controller. Returns `None` if no answer that can be decoded arrives
/// before the deadline.
pub(in crate::coordination) async fn call_peer(
    node: &Node,
    peer: &Peer,
    request: &PeerRequest,
    deadline: Duration,
) -> Option<PeerAnswer> {
    let frame = request.encode();
    let answer = post_frame(node, peer, PEER_PATH, frame, deadline)
        .await
        .ok()?;
    PeerAnswer::decode(&answer.body).ok()
}

/// Posts an encoded frame to another controller.
pub(super) async fn post_frame(
    node: &Node,
    peer: &Peer,
    path: &str,
    frame: Vec<u8>,
    deadline: Duration,
) -> Result<Answer, CallError> {
    node.clients
        .peers
        .call(Method::POST, peer.address, path, frame, deadline)
        .await
}
