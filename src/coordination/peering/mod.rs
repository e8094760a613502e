//! The exchange among controllers: once a second each controller sends the others a heartbeat and
//! acts on what they have sent.
//!
//! Owns the frames sent to peers, the votes by which a leader keeps its lease through an outage
//! of the key-value store, handover of leadership to a better placed controller, and delegated
//! lease renewal for workers that the leader can't reach. What peers sent is kept in the node's
//! state; [`crate::api`] passes in the peers' requests, and [`crate::server`] starts [`run`] and
//! [`delegation::serve_delegated_workers`]. Nothing here elects a leader.

pub mod cancellations;
mod client;
pub mod delegation;
pub mod eligibility;
pub mod handover;
pub mod heartbeat;
pub mod lease_votes;

use std::sync::Arc;
use std::time::Duration;

use self::handover::Handover;
use super::node::Node;

pub(super) use self::client::call_peer;

/// Pause between two rounds of the exchange.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Deadline of requests that each round sends anew.
const ROUND_DEADLINE: Duration = Duration::from_millis(700);
/// How long a new leader ignores missed heartbeats of its workers and peers: it asks every machine
/// for a heartbeat when its leadership begins.
const LEADER_GRACE: Duration = Duration::from_secs(2);
/// Age from which a peer's last heartbeat means that the peer can't be reached.
pub(super) const PEER_HEARTBEAT_MAX_AGE: Duration = Duration::from_secs(3);

/// Runs the exchange for as long as the process lasts.
pub async fn run(node: Arc<Node>) {
    let mut handover = Handover::default();
    let mut was_ready = false;
    loop {
        handover::update_main_zone(&node);
        log_readiness_change(&node, &mut was_ready);
        heartbeat::send_to_all(&node);
        cancellations::query_all(&node);
        refresh_job_index(&node);
        tokio::time::sleep(ROUND_INTERVAL).await;
        delegation::update_last_advance_renewal(&node);
        delegation::publish_reachability(&node).await;
        delegation::update_delegations(&node).await;
        handover.step_down_if_needed(&node).await;
        eligibility::probe_unreachable_workers(&node).await;
    }
}

fn log_readiness_change(node: &Node, was_ready: &mut bool) {
    let ready = node.is_ready();
    if ready != std::mem::replace(was_ready, ready) {
        tracing::info!(
            ready,
            kv_lost = node.is_kv_lost(),
            peer_served = node.is_any_peer_served(),
            "readiness changed"
        );
    }
}

/// Starts a catch-up read of the jobs. A failure is retried by the next round.
fn refresh_job_index(node: &Arc<Node>) {
    let node = node.clone();
    tokio::spawn(async move {
        let _ = node.catch_up().await;
    });
}
