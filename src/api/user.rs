//! The HTTP interface for users, and the readiness check for the load balancer.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};

use super::{read_body, to_http_response};
use crate::coordination::node::Node;
use crate::coordination::requests::{self, RequestOrigin, UserRequest, UserResponse};

/// Answers 200 if the load balancer should send users to this controller, otherwise 503.
pub(super) async fn ready(State(node): State<Arc<Node>>) -> Response {
    if node.is_ready() {
        StatusCode::OK.into_response()
    } else {
        to_http_response(UserResponse::unavailable("not ready"))
    }
}

/// Submits the job that the body describes.
pub(super) async fn submit(State(node): State<Arc<Node>>, body: Body) -> Response {
    let Some(body) = read_body(body).await else {
        return to_http_response(UserResponse::malformed(
            "the body can't be read or is too large",
            None,
        ));
    };
    to_http_response(
        requests::answer(
            &node,
            UserRequest::Submit(body.to_vec()),
            RequestOrigin::User,
        )
        .await,
    )
}

/// Returns a job's state.
pub(super) async fn poll(State(node): State<Arc<Node>>, Path(id): Path<String>) -> Response {
    to_http_response(requests::answer(&node, UserRequest::Poll(id), RequestOrigin::User).await)
}

/// Cancels a job and returns the state that the job is left in.
pub(super) async fn cancel(State(node): State<Arc<Node>>, Path(id): Path<String>) -> Response {
    to_http_response(requests::answer(&node, UserRequest::Cancel(id), RequestOrigin::User).await)
}
