//! Decides which controller answers a user request: this one, a peer, or whichever is first.
//!
//! Requests are hedged: if the key-value store hasn't answered this controller within the hedge
//! delay, the request is also forwarded to peers. This is safe because every request is
//! idempotent and so may be carried out twice.

use std::sync::Arc;
use std::time::Duration;

use tracing::debug;

use super::forwarding::forward_to_peers;
use super::request::{Operation, RequestOrigin, UserRequest};
use super::response::UserResponse;
use super::{cancellation, status_query, submission};
use crate::coordination::node::Node;
use crate::storage::job_index::FinalState;
use crate::storage::kv_client::KvError;

/// Time from the start of a submission or cancellation until it is also forwarded to peers.
const WRITE_HEDGE_DELAY: Duration = Duration::from_millis(80);
/// Time from the start of a status query until it is also forwarded to peers. It is longer because
/// a status query shares a catch-up read with many others.
const POLL_HEDGE_DELAY: Duration = Duration::from_millis(600);
/// Pause between two checks whether user writes of this controller are still queued.
const WRITE_QUEUE_CHECK_INTERVAL: Duration = WRITE_HEDGE_DELAY;

/// How a user's request is answered.
enum Route {
    /// Immediately, from what this controller knows.
    Immediate(UserResponse),
    /// By a peer that can reach the key-value store.
    Peers,
    /// From the key-value store, hedged by forwarding to peers.
    Store,
}

/// Answers a user's request.
pub async fn answer(node: &Arc<Node>, request: UserRequest, origin: RequestOrigin) -> UserResponse {
    // An invalid request is refused by whichever controller receives it.
    let operation = match request.validate() {
        Ok(operation) => operation,
        Err(invalid) => return invalid.into(),
    };
    match origin {
        RequestOrigin::Peer => execute(node, operation)
            .await
            .unwrap_or_else(|error| store_failure_response(&error)),
        RequestOrigin::User => match route(node, &operation) {
            Route::Immediate(response) => response,
            Route::Peers => forward_to_peers(node, &request)
                .await
                .unwrap_or_else(UserResponse::store_unavailable),
            Route::Store => answer_hedged(node, &request, operation).await,
        },
    }
}

fn route(node: &Node, operation: &Operation) -> Route {
    // A final state never changes.
    if let Operation::Poll { id } = operation
        && let Some(FinalState { stage, tasks }) = node.job_index.final_state(id)
    {
        return Route::Immediate(UserResponse::finished_job(id, stage, tasks));
    }
    if !node.is_kv_lost() {
        Route::Store
    } else if node.is_any_peer_served() {
        Route::Peers
    } else if node.is_isolated() {
        Route::Immediate(UserResponse::unavailable("this controller is cut off"))
    } else {
        Route::Store
    }
}

/// Carries out a request through this controller's own client of the key-value store.
async fn execute(node: &Arc<Node>, operation: Operation) -> Result<UserResponse, KvError> {
    match operation {
        Operation::Submit { id, spec } => submission::submit(node, &id, *spec).await,
        Operation::Poll { id } => status_query::poll(node, &id).await,
        Operation::Cancel { id } => cancellation::cancel(node, &id).await,
    }
}

async fn answer_hedged(
    node: &Arc<Node>,
    request: &UserRequest,
    operation: Operation,
) -> UserResponse {
    let hedge = forward_after_delay(node, request, hedge_delay(&operation));
    let local = execute(node, operation);
    tokio::pin!(local, hedge);
    tokio::select! {
        result = &mut local => match result {
            Ok(response) => response,
            Err(error) => forward_to_peers(node, request)
                .await
                .unwrap_or_else(|| store_failure_response(&error)),
        },
        response = &mut hedge => match response {
            Some(response) => response,
            None => local.await.unwrap_or_else(|error| store_failure_response(&error)),
        },
    }
}

fn hedge_delay(operation: &Operation) -> Duration {
    match operation {
        Operation::Poll { .. } => POLL_HEDGE_DELAY,
        Operation::Submit { .. } | Operation::Cancel { .. } => WRITE_HEDGE_DELAY,
    }
}

/// Forwards a request to peers after the hedge delay and once no user writes are queued here.
async fn forward_after_delay(
    node: &Arc<Node>,
    request: &UserRequest,
    delay: Duration,
) -> Option<UserResponse> {
    tokio::time::sleep(delay).await;
    // While user writes are queued here, the peers are equally busy. The request has already waited
    // here, so its turn comes earlier here than in a peer's queue.
    while node.admission.user_writes.delay(node.now()) > Duration::ZERO {
        tokio::time::sleep(WRITE_QUEUE_CHECK_INTERVAL).await;
    }
    forward_to_peers(node, request).await
}

fn store_failure_response(error: &KvError) -> UserResponse {
    debug!(%error, "the key-value store did not answer a user request");
    UserResponse::store_unavailable()
}
