//! The interface of users, and the load balancer's readiness check.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};

use super::{read_body, respond};
use crate::coordination::node::Node;
use crate::coordination::requests::{self, RequestOrigin, UserRequest, UserResponse};

/// Whether the load balancer should send users here.
pub(super) async fn ready(State(node): State<Arc<Node>>) -> Response {
    if node.is_ready() {
        StatusCode::OK.into_response()
    } else {
        respond(UserResponse::unavailable("not ready"))
    }
}

/// Submits a job.
pub(super) async fn submit(State(node): State<Arc<Node>>, body: Body) -> Response {
    let Some(body) = read_body(body).await else {
        return respond(UserResponse::malformed(
            "the body can't be read or is too large",
            None,
        ));
    };
    respond(
        requests::answer(
            &node,
            UserRequest::Submit(body.to_vec()),
            RequestOrigin::User,
        )
        .await,
    )
}

/// Reads a job's state.
pub(super) async fn poll(State(node): State<Arc<Node>>, Path(id): Path<String>) -> Response {
    respond(requests::answer(&node, UserRequest::Poll(id), RequestOrigin::User).await)
}

/// Cancels a job.
pub(super) async fn cancel(State(node): State<Arc<Node>>, Path(id): Path<String>) -> Response {
    respond(requests::answer(&node, UserRequest::Cancel(id), RequestOrigin::User).await)
}
