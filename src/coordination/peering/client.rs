//! Sending frames to other controllers.

use std::time::Duration;

use hyper::Method;

use crate::coordination::node::Node;
use crate::protocol::peers::{PeerAnswer, PeerRequest, decode_answer, encode_request};
use crate::settings::platform::Peer;
use crate::transport::client::{Answer, CallError};

/// The path of the frames that every version reads: [`PeerRequest`], answered with [`PeerAnswer`].
const PEER_PATH: &str = "/peer";

/// Sends a request to another controller; `None` without a readable answer before the deadline.
pub(in crate::coordination) async fn call_peer(
    node: &Node,
    peer: &Peer,
    request: &PeerRequest,
    deadline: Duration,
) -> Option<PeerAnswer> {
    let frame = encode_request(request);
    let answer = post_frame(node, peer, PEER_PATH, frame, deadline)
        .await
        .ok()?;
    decode_answer(&answer.body)
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
