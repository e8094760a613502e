//! Exchange, among controllers, of the cancellations that each has confirmed to users.
//!
//! A worker's lease may be renewed only by a controller that knows the recent cancellations
//! ([`crate::coordination::worker_leases`]). While the key-value store doesn't serve the
//! leader, the leader queries its peers: the store may serve one of them, which can then cancel
//! jobs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;

use super::ROUND_DEADLINE;
use super::client::post_frame;
use crate::coordination::clock_drift;
use crate::coordination::node::Node;
use crate::protocol::peer_messages::{
    CANCELLATIONS_PATH, CancellationsRequest, ConfirmedCancellations,
};
use crate::settings::platform::Peer;

/// The peers are queried if the last catch-up read of the jobs is at least this old.
const CATCH_UP_MAX_AGE: Duration = Duration::from_secs(2);
/// Pause before a peer that runs an older version, and can't answer the query, is queried again: it
/// may have been upgraded meanwhile.
const OLDER_VERSION_RETRY: Duration = Duration::from_secs(10);

/// The cancellations that this controller has confirmed to users since the store's revision that
/// the request names. The answer also includes the cancellations by other controllers that this one
/// knows of.
pub fn confirmed_cancellations(
    node: &Node,
    request: &CancellationsRequest,
) -> ConfirmedCancellations {
    let jobs = node.job_index.cancelled_after(request.after);
    ConfirmedCancellations {
        up_ms: node.up_time().as_millis() as u64,
        jobs,
    }
}

/// Records the cancellations that a peer, queried at `sent`, has confirmed to users.
pub fn record_peer_cancellations(
    node: &Arc<Node>,
    node_id: &str,
    sent: Instant,
    confirmed: ConfirmedCancellations,
) {
    let Some(jobs) = confirmed.jobs else {
        return;
    };
    node.job_index.record_cancelled(jobs);
    node.notify_finished_jobs();
    let started = clock_drift::latest_start(Duration::from_millis(confirmed.up_ms), node.now());
    let advances_freshness = node
        .lock()
        .cancellations
        .record_peer_answer(node_id, sent, started);
    if !advances_freshness {
        tracing::debug!(
            node_id,
            "peer started too recently: its earlier cancellations stay unknown"
        );
    }
}

/// Queries all peers that may answer, if this controller leads or recovers the shard and its last
/// catch-up read of the jobs is too old.
pub(super) fn query_all(node: &Arc<Node>) {
    let now = node.now();
    let Some(after) = node.job_index.revision() else {
        return;
    };
    for peer in peers_to_query(node, now) {
        tokio::spawn(query_cancellations(node.clone(), peer, after));
    }
}

fn peers_to_query(node: &Node, now: Instant) -> Vec<Peer> {
    let state = node.lock();
    let renews_leases = state.leadership.is_some() || state.recovering.is_some();
    let has_caught_up = state
        .cancellations
        .last_catch_up()
        .is_some_and(|at| now.saturating_duration_since(at) < CATCH_UP_MAX_AGE);
    if !renews_leases || has_caught_up {
        return Vec::new();
    }
    let may_answer = |peer: &&Peer| {
        let unanswered_at = state.peers.older_versions.get(&peer.node_id);
        unanswered_at.is_none_or(|at| now.saturating_duration_since(*at) > OLDER_VERSION_RETRY)
    };
    let peers = node.settings.platform.others.iter();
    peers.filter(may_answer).cloned().collect()
}

/// Queries one peer for the cancellations that it has confirmed since the store's revision `after`.
pub async fn query_cancellations(node: Arc<Node>, peer: Peer, after: u64) {
    let sent = node.now();
    let frame = CancellationsRequest { after }.encode();
    let Ok(answer) = post_frame(&node, &peer, CANCELLATIONS_PATH, frame, ROUND_DEADLINE).await
    else {
        return;
    };
    let confirmed = ConfirmedCancellations::decode(&answer.body).ok();
    match confirmed.filter(|_| answer.status == StatusCode::OK) {
        Some(confirmed) => {
            node.lock().peers.older_versions.remove(&peer.node_id);
            record_peer_cancellations(&node, &peer.node_id, sent, confirmed);
        }
        None => record_older_version(&node, &peer, sent),
    }
}

fn record_older_version(node: &Node, peer: &Peer, sent: Instant) {
    let previous_failure = node
        .lock()
        .peers
        .older_versions
        .insert(peer.node_id.clone(), sent);
    if previous_failure.is_none() {
        tracing::info!(
            node_id = peer.node_id,
            "peer runs an older version without the cancellations query"
        );
    }
}
