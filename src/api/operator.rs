//! The HTTP interface for operators: the status page.

use std::sync::Arc;

use axum::extract::State;

use crate::coordination::node::Node;

/// Returns the controller's state as human-readable text. The format is not stable.
pub(super) async fn status(State(node): State<Arc<Node>>) -> String {
    node.status()
}
