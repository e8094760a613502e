//! What controllers tell one another of the cancellations that they confirmed, while
//! the key-value store doesn't tell the leader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;

use super::{ROUND_DEADLINE, post};
use crate::coordination::clock_drift;
use crate::coordination::node::Node;
use crate::protocol::peer_messages::{CANCELLATIONS, CancellationsRequest, ConfirmedCancellations};
use crate::settings::platform::Peer;

/// Age of the last look at the jobs past which others are asked what they told.
const CATCH_UP_LATE: Duration = Duration::from_secs(2);
/// Pause before a controller of an older version is asked again.
const ASK_OLDER_AGAIN: Duration = Duration::from_secs(10);

/// What this node has told users of cancellations since a revision.
pub fn confirmed_cancellations(
    node: &Node,
    asked: &CancellationsRequest,
) -> ConfirmedCancellations {
    let jobs = node.job_index.cancelled_after(asked.after);
    ConfirmedCancellations {
        up_ms: node.up_time().as_millis() as u64,
        jobs,
    }
}

/// Takes in what a controller that was asked at `sent` has told users.
pub fn note_peer_cancellations(
    node: &Arc<Node>,
    node_id: &str,
    sent: Instant,
    told: ConfirmedCancellations,
) {
    let Some(jobs) = told.jobs else {
        return;
    };
    node.job_index.note_cancelled(jobs);
    node.notify_finished_jobs();
    let began = clock_drift::latest_start(Duration::from_millis(told.up_ms), node.now());
    let counts = node
        .lock()
        .cancellations
        .peer_answered(node_id, sent, began);
    if !counts {
        tracing::debug!(
            peer = node_id,
            "its word on cancellations doesn't count: it began too late"
        );
    }
}

/// While the key-value store doesn't tell the leader which jobs are over, the other
/// controllers do: one of them may have been served, and have cancelled some.
pub(super) fn ask_all(node: &Arc<Node>) {
    let now = node.now();
    let Some(after) = node.job_index.revision() else {
        return;
    };
    let asked: Vec<Peer> = {
        let inner = node.lock();
        let looked = inner.cancellations.last_catch_up();
        if (inner.leadership.is_none() && inner.recovering.is_none())
            || looked.is_some_and(|at| now.saturating_duration_since(at) < CATCH_UP_LATE)
        {
            return;
        }
        let older = |peer: &&Peer| {
            let shown = inner.peers.older.get(&peer.node_id);
            shown.is_none_or(|at| now.saturating_duration_since(*at) > ASK_OLDER_AGAIN)
        };
        let others = node.settings.platform.others.iter();
        others.filter(older).cloned().collect()
    };
    for peer in asked {
        tokio::spawn(ask_for_cancellations(node.clone(), peer, after));
    }
}

/// Asks one controller what it told users since a revision.
pub async fn ask_for_cancellations(node: Arc<Node>, peer: Peer, after: u64) {
    let sent = node.now();
    let frame = CancellationsRequest { after }.encode();
    let Ok(answer) = post(&node, &peer, CANCELLATIONS, frame, ROUND_DEADLINE).await else {
        return;
    };
    let told = ConfirmedCancellations::decode(&answer.body);
    if let Some(told) = told.filter(|_| answer.status == StatusCode::OK) {
        node.lock().peers.older.remove(&peer.node_id);
        note_peer_cancellations(&node, &peer.node_id, sent, told);
    } else if node
        .lock()
        .peers
        .older
        .insert(peer.node_id.clone(), sent)
        .is_none()
    {
        tracing::info!(
            peer = peer.node_id,
            "an older version: it doesn't say which cancellations it told"
        );
    }
}
