//! The server for other controllers.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};

use crate::coordination::node::Node;
use crate::coordination::peering::{cancellations, extension, heartbeat};
use crate::coordination::requests::{self, UserRequest};
use crate::protocol::peer_messages::{
    CANCELLATIONS, CancellationsRequest, REVIVE_LEASE, ReviveLease,
};
use crate::protocol::peers::{PeerAnswer, PeerRequest, decode_request, encode_answer};

/// Largest frame that is read: twice what a heartbeat's counts may take.
const MAX_FRAME: usize = 4 << 20;

/// Routes of the internal address.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/peer", post(peer))
        .route(CANCELLATIONS, post(cancellations))
        .route(REVIVE_LEASE, post(vote_on_revival))
        .route("/status", get(status))
        .layer(DefaultBodyLimit::max(MAX_FRAME))
        .with_state(node)
}

/// A page for operators; its format may change.
async fn status(State(node): State<Arc<Node>>) -> String {
    node.status()
}

async fn cancellations(State(node): State<Arc<Node>>, body: Bytes) -> Response {
    match CancellationsRequest::decode(&body) {
        Some(asked) => cancellations::confirmed_cancellations(&node, &asked)
            .encode()
            .into_response(),
        None => StatusCode::BAD_REQUEST.into_response(),
    }
}

async fn vote_on_revival(State(node): State<Arc<Node>>, body: Bytes) -> Response {
    match ReviveLease::decode(&body) {
        Some(asked) => extension::vote_on_revival(&node, &asked)
            .encode()
            .into_response(),
        None => StatusCode::BAD_REQUEST.into_response(),
    }
}

async fn peer(State(node): State<Arc<Node>>, body: Bytes) -> Vec<u8> {
    let answer = match decode_request(&body) {
        Some(PeerRequest::Heartbeat(heartbeat)) => {
            PeerAnswer::Heartbeat(heartbeat::answer_heartbeat(&node, heartbeat))
        }
        Some(PeerRequest::ExtendLease { millis }) => PeerAnswer::LeaseExtension {
            granted: extension::grant_extension(&node, Duration::from_millis(millis)),
        },
        Some(PeerRequest::Forward { method, path, body }) => {
            match UserRequest::from_forward(&method, &path, body) {
                Some(ask) => {
                    let reply = requests::answer(&node, ask, true).await;
                    PeerAnswer::Answer {
                        status: reply.status,
                        body: reply.body,
                    }
                }
                None => PeerAnswer::Unreadable,
            }
        }
        None => PeerAnswer::Unreadable,
    };
    encode_answer(&answer)
}
