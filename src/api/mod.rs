//! The HTTP interfaces that a controller serves, one module for each kind of caller.
//!
//! Each handler decodes a request, passes it to the component of [`crate::coordination`] that
//! decides on it, and encodes the answer. Handlers make no decisions of their own.
//! [`crate::server`] serves the two routers built here: the public one for users, workers and the
//! load balancer, and the internal one for the other controllers and operators.

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
use crate::protocol::peer_messages::{CANCELLATIONS_PATH, REVIVE_LEASE_PATH};
use crate::transport::connection_limit::ConnectionLimit;

/// Maximum size of a request body from a user or a worker, in bytes.
const MAX_PUBLIC_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a frame from another controller, in bytes: more than twice the space that the
/// job progress in a heartbeat may take.
const MAX_PEER_FRAME_BYTES: usize = 4 << 20;
/// Value of the `Retry-After` header on every 503 response, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
const JSON_CONTENT_TYPE: &str = "application/json";

/// State shared by the handlers of the public address.
#[derive(Clone)]
struct PublicState {
    node: Arc<Node>,
    /// The connection limit of the public listener.
    connection_limit: ConnectionLimit,
}

impl FromRef<PublicState> for Arc<Node> {
    fn from_ref(state: &PublicState) -> Self {
        state.node.clone()
    }
}

/// Builds the routes for users, workers and the load balancer. An unknown path is answered with
/// 404, an unsupported method with 405. `connection_limit` is the limit of the listener that
/// serves these routes.
pub fn public_router(node: Arc<Node>, connection_limit: ConnectionLimit) -> Router {
    Router::new()
        .route("/ready", get(user::ready))
        .route("/v1/jobs", post(user::submit))
        .route("/v1/jobs/{id}", get(user::poll))
        .route("/v1/jobs/{id}/cancel", post(user::cancel))
        .route("/v1/report", post(worker::heartbeat))
        .fallback(unknown_path)
        .with_state(PublicState {
            node,
            connection_limit,
        })
}

/// Builds the routes for the other controllers and operators.
pub fn internal_router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/peer", post(peer::exchange))
        .route(CANCELLATIONS_PATH, post(peer::cancellations))
        .route(REVIVE_LEASE_PATH, post(peer::vote_on_revival))
        .route("/status", get(operator::status))
        .layer(DefaultBodyLimit::max(MAX_PEER_FRAME_BYTES))
        .with_state(node)
}

async fn unknown_path() -> Response {
    to_http_response(UserResponse::not_found())
}

/// Reads a request's body. Returns `None` if it can't be read or exceeds
/// [`MAX_PUBLIC_BODY_BYTES`].
async fn read_body(body: Body) -> Option<Bytes> {
    to_bytes(body, MAX_PUBLIC_BODY_BYTES).await.ok()
}

/// Converts the response to an HTTP response. A 503 response gets a `Retry-After` header.
fn to_http_response(response: UserResponse) -> Response {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut http = (
        status,
        [(header::CONTENT_TYPE, JSON_CONTENT_TYPE)],
        response.body,
    )
        .into_response();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        http.headers_mut().insert(
            header::RETRY_AFTER,
            HeaderValue::from_static(RETRY_AFTER_SECONDS),
        );
    }
    http
}

fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    (status, [(header::CONTENT_TYPE, JSON_CONTENT_TYPE)], body).into_response()
}
