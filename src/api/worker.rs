//! The interface of workers: their heartbeats.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::Response;

use super::{PublicState, json, read_body, respond};
use crate::coordination::node::Node;
use crate::coordination::requests::UserResponse;
use crate::coordination::worker_heartbeats::{self, HeartbeatDecision};
use crate::protocol::workers::WorkerHeartbeat;

/// Answers a heartbeat. Workers reconnect every few seconds anyway: while connections run short,
/// each is asked to close its own.
pub(super) async fn heartbeat(State(state): State<PublicState>, body: Body) -> Response {
    let mut response = answer(&state.node, body).await;
    if state.connections.near_capacity() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer(node: &Arc<Node>, body: Body) -> Response {
    let Some(heartbeat) = read_heartbeat(body).await else {
        return respond(UserResponse::malformed("not a report", None));
    };
    match worker_heartbeats::handle_heartbeat(node, &heartbeat) {
        HeartbeatDecision::Renewed(answer) => json(StatusCode::OK, &answer),
        HeartbeatDecision::Refused => respond(UserResponse::unavailable("this machine is gone")),
        HeartbeatDecision::Redirected(redirect) => json(StatusCode::MISDIRECTED_REQUEST, &redirect),
    }
}

async fn read_heartbeat(body: Body) -> Option<WorkerHeartbeat> {
    let body = read_body(body).await?;
    serde_json::from_slice(&body).ok()
}
