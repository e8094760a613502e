//! The HTTP interfaces that a controller serves, one module for each kind of caller.
//!
//! Each handler reads a request, calls the component of [`crate::coordination`] that decides on it,
//! and writes the answer. It takes no decision of its own. [`crate::server`] serves the two routers
//! built here: one at the address for users, workers and the load balancer, one at the address for
//! the other controllers and operators.

mod operator;
mod peer;
mod user;
mod worker;

use std::sync::Arc;

use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{DefaultBodyLimit, FromRef};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;

use crate::coordination::node::Node;
use crate::coordination::requests::UserResponse;
use crate::protocol::peer_messages::{CANCELLATIONS, REVIVE_LEASE};
use crate::transport::connection_limit::ConnectionLimit;

/// Largest body of a user's or a worker's request, in bytes.
const MAX_USER_BODY_BYTES: usize = 64 * 1024;
/// Largest frame accepted from another controller, in bytes: twice what the counts of a
/// heartbeat may take.
const MAX_PEER_FRAME_BYTES: usize = 4 << 20;
/// `Retry-After` of each 503 answer, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
const JSON: &str = "application/json";

/// What the handlers of the public address share.
#[derive(Clone)]
struct PublicState {
    node: Arc<Node>,
    /// The connections of the public address.
    connections: ConnectionLimit,
}

impl FromRef<PublicState> for Arc<Node> {
    fn from_ref(state: &PublicState) -> Self {
        state.node.clone()
    }
}

/// Routes of the address for users, workers and the load balancer. Other paths are answered with
/// 404, other methods with 405. `connections` is the limit of the listener that serves them.
pub fn public_router(node: Arc<Node>, connections: ConnectionLimit) -> Router {
    Router::new()
        .route("/ready", get(user::ready))
        .route("/v1/jobs", post(user::submit))
        .route("/v1/jobs/{id}", get(user::poll))
        .route("/v1/jobs/{id}/cancel", post(user::cancel))
        .route("/v1/report", post(worker::heartbeat))
        .fallback(unknown_path)
        .with_state(PublicState { node, connections })
}

/// Routes of the address for the other controllers and operators.
pub fn internal_router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/peer", post(peer::exchange))
        .route(CANCELLATIONS, post(peer::cancellations))
        .route(REVIVE_LEASE, post(peer::vote_on_revival))
        .route("/status", get(operator::status))
        .layer(DefaultBodyLimit::max(MAX_PEER_FRAME_BYTES))
        .with_state(node)
}

async fn unknown_path() -> Response {
    respond(UserResponse::not_found())
}

/// Reads a request's body; `None` if it can't be read or is larger than allowed.
async fn read_body(body: Body) -> Option<Bytes> {
    to_bytes(body, MAX_USER_BODY_BYTES).await.ok()
}

/// Writes a response, with `Retry-After` if the service is unavailable.
fn respond(response: UserResponse) -> Response {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut http = (status, [(header::CONTENT_TYPE, JSON)], response.body).into_response();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        http.headers_mut().insert(
            header::RETRY_AFTER,
            HeaderValue::from_static(RETRY_AFTER_SECONDS),
        );
    }
    http
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    (status, [(header::CONTENT_TYPE, JSON)], body).into_response()
}
