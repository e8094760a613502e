//! The interface of operators: the status page.

use std::sync::Arc;

use axum::extract::State;

use crate::coordination::node::Node;

/// The controller's state as text for people; its format may change.
pub(super) async fn status(State(node): State<Arc<Node>>) -> String {
    node.status()
}
