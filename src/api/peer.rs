//! The HTTP interface for the other controllers, whose messages are rkyv frames.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};

use crate::coordination::node::Node;
use crate::coordination::peering::{cancellations, heartbeat, lease_votes};
use crate::coordination::requests::{self, RequestOrigin, UserRequest};
use crate::protocol::peer_messages::{CancellationsRequest, ReviveLease};
use crate::protocol::peers::{PeerAnswer, PeerRequest};

/// Answers the frames that all versions of the controller understand: heartbeats, requests for a
/// vote on a lease extension, and forwarded user requests.
pub(super) async fn exchange(State(node): State<Arc<Node>>, body: Bytes) -> Vec<u8> {
    let answer = match PeerRequest::decode(&body) {
        Ok(request) => answer_request(&node, request).await,
        Err(_) => PeerAnswer::Unreadable,
    };
    answer.encode()
}

async fn answer_request(node: &Arc<Node>, request: PeerRequest) -> PeerAnswer {
    match request {
        PeerRequest::Heartbeat(heartbeat) => {
            PeerAnswer::Heartbeat(heartbeat::answer_heartbeat(node, heartbeat))
        }
        PeerRequest::ExtendLease { millis } => PeerAnswer::LeaseExtension {
            granted: lease_votes::grant_extension(node, Duration::from_millis(millis)),
        },
        PeerRequest::Forward { method, path, body } => {
            answer_forwarded(node, UserRequest::from_forwarded(&method, &path, body)).await
        }
    }
}

async fn answer_forwarded(node: &Arc<Node>, request: Option<UserRequest>) -> PeerAnswer {
    let Some(request) = request else {
        return PeerAnswer::Unreadable;
    };
    let response = requests::answer(node, request, RequestOrigin::Peer).await;
    PeerAnswer::ForwardedResponse {
        status: response.status,
        body: response.body,
    }
}

/// Returns the cancellations that this controller has confirmed to users.
pub(super) async fn cancellations(State(node): State<Arc<Node>>, body: Bytes) -> Response {
    match CancellationsRequest::decode(&body) {
        Ok(request) => cancellations::confirmed_cancellations(&node, &request)
            .encode()
            .into_response(),
        Err(_) => StatusCode::BAD_REQUEST.into_response(),
    }
}

/// Votes on whether the sender may revive its lease after the lease's deadline has passed.
pub(super) async fn vote_on_revival(State(node): State<Arc<Node>>, body: Bytes) -> Response {
    match ReviveLease::decode(&body) {
        Ok(request) => lease_votes::vote_on_revival(&node, &request)
            .encode()
            .into_response(),
        Err(_) => StatusCode::BAD_REQUEST.into_response(),
    }
}
