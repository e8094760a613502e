//! The server for users, workers and the balancer.

use std::sync::Arc;

use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Path, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;

use crate::coordination::node::Node;
use crate::coordination::requests::{self, UserRequest, UserResponse};
use crate::coordination::worker_heartbeats::{self, HeartbeatDecision};
use crate::protocol::workers::WorkerHeartbeat;

/// Largest request body.
const MAX_BODY: usize = 64 * 1024;
/// When to come back after a 503.
const RETRY_AFTER: &str = "1";

type App = State<Arc<Node>>;

/// Routes of the front address; other paths get 404, other methods 405.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/ready", get(ready))
        .route("/v1/jobs", post(submit))
        .route("/v1/jobs/{id}", get(poll))
        .route("/v1/jobs/{id}/cancel", post(cancel))
        .route("/v1/report", post(heartbeat))
        .fallback(unknown_path)
        .with_state(node)
}

async fn unknown_path() -> Response {
    respond(UserResponse::not_found())
}

fn respond(reply: UserResponse) -> Response {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = (
        status,
        [(header::CONTENT_TYPE, "application/json")],
        reply.body,
    )
        .into_response();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(
            header::RETRY_AFTER,
            header::HeaderValue::from_static(RETRY_AFTER),
        );
    }
    response
}

async fn read_body(body: Body) -> Option<Bytes> {
    to_bytes(body, MAX_BODY).await.ok()
}

async fn ready(State(node): App) -> Response {
    if node.ready() {
        StatusCode::OK.into_response()
    } else {
        respond(UserResponse::unavailable("not ready"))
    }
}

async fn submit(State(node): App, body: Body) -> Response {
    let Some(body) = read_body(body).await else {
        return respond(UserResponse::malformed(
            "the body can't be read or is too large",
            None,
        ));
    };
    respond(requests::answer(&node, UserRequest::Submit(body.to_vec()), false).await)
}

async fn poll(State(node): App, Path(id): Path<String>) -> Response {
    respond(requests::answer(&node, UserRequest::Poll(id), false).await)
}

async fn cancel(State(node): App, Path(id): Path<String>) -> Response {
    respond(requests::answer(&node, UserRequest::Cancel(id), false).await)
}

/// Workers come again every few seconds: when connections run short, they are
/// told not to keep theirs.
async fn heartbeat(State(node): App, body: Body) -> Response {
    let mut response = handle_heartbeat(&node, body).await;
    if node.front_places.crowded() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn handle_heartbeat(node: &Arc<Node>, body: Body) -> Response {
    let Some(heartbeat) = read_body(body)
        .await
        .and_then(|body| serde_json::from_slice::<WorkerHeartbeat>(&body).ok())
    else {
        return respond(UserResponse::malformed("not a report", None));
    };
    match worker_heartbeats::handle_heartbeat(node, &heartbeat) {
        HeartbeatDecision::Renewed(answer) => json(StatusCode::OK, &answer),
        HeartbeatDecision::Refused => respond(UserResponse::unavailable("this machine is gone")),
        HeartbeatDecision::Elsewhere(redirect) => json(StatusCode::MISDIRECTED_REQUEST, &redirect),
    }
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}
