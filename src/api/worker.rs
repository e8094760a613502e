//! The HTTP interface for workers, which send heartbeats.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::Response;

use super::{PublicState, json_response, read_body, to_http_response};
use crate::coordination::node::Node;
use crate::coordination::requests::UserResponse;
use crate::coordination::worker_heartbeats::{self, HeartbeatDecision};
use crate::protocol::workers::WorkerHeartbeat;

/// Answers a heartbeat. While the listener is near its connection limit, the response asks the
/// worker to close its connection: workers reconnect every few seconds anyway.
pub(super) async fn heartbeat(State(state): State<PublicState>, body: Body) -> Response {
    let mut response = answer_heartbeat(&state.node, body).await;
    if state.connection_limit.is_near_capacity() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer_heartbeat(node: &Arc<Node>, body: Body) -> Response {
    let Some(heartbeat) = read_heartbeat(body).await else {
        return to_http_response(UserResponse::malformed("not a report", None));
    };
    match worker_heartbeats::handle_heartbeat(node, &heartbeat) {
        HeartbeatDecision::Renewed(renewal) => {
            json_response(StatusCode::OK, &renewal.into_response())
        }
        HeartbeatDecision::Refused => {
            to_http_response(UserResponse::unavailable("this machine is gone"))
        }
        HeartbeatDecision::Redirected(redirect) => {
            json_response(StatusCode::MISDIRECTED_REQUEST, &redirect)
        }
    }
}

async fn read_heartbeat(body: Body) -> Option<WorkerHeartbeat> {
    let body = read_body(body).await?;
    serde_json::from_slice(&body).ok()
}
