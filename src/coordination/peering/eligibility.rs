//! Finds out whether a controller that stepped down because it reached too few workers can reach
//! them again.
//!
//! A network partition may last arbitrarily long. While it lasts, the controller should neither
//! campaign nor be handed the shard for being in the main zone. Only the workers can show that the
//! partition has ended: the controller probes some of the workers that it couldn't reach as the
//! leader, by requesting their status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};

use super::ROUND_DEADLINE;
use crate::coordination::node::Node;
use crate::coordination::node::state::UnreachableWorkers;

/// Largest number of workers that are probed in each round.
const MAX_PROBED_WORKERS: usize = 8;
/// Least time for which a leader that reached too few workers is ineligible.
const MIN_INELIGIBLE: Duration = Duration::from_secs(30);
/// Time for which a controller stays ineligible after each round in which most probes failed.
const INELIGIBLE_AFTER_FAILED_ROUND: Duration = Duration::from_secs(10);
/// Time after which probing ends in any case, since deleted machines never answer.
const MAX_PROBING: Duration = Duration::from_secs(600);

/// Marks this controller, the leader, as ineligible to lead until enough of the workers that it
/// can't reach answer again.
pub(in crate::coordination) fn mark_ineligible(node: &Node) {
    let now = node.now();
    let mut state = node.lock();
    let Some(leadership) = &state.leadership else {
        return;
    };
    let addresses: Vec<SocketAddr> = leadership
        .shard
        .machines()
        .values()
        .filter(|m| m.expects_heartbeats())
        .filter(|m| m.since_last_contact(now) > node.policy.heartbeat_interval)
        .filter_map(|m| m.addr.parse().ok())
        .take(MAX_PROBED_WORKERS)
        .collect();
    state.candidacy.ineligible_until = Some(now + MIN_INELIGIBLE);
    state.candidacy.unreachable_workers = Some(UnreachableWorkers {
        addresses,
        since: now,
    });
}

/// Probes the workers that this controller couldn't reach, if there are any. The controller stays
/// ineligible while most of them don't answer.
pub(in crate::coordination) async fn probe_unreachable_workers(node: &Arc<Node>) {
    let Some(workers) = node.lock().candidacy.unreachable_workers.clone() else {
        return;
    };
    let probed = workers.addresses.len();
    let has_timed_out = node.now().saturating_duration_since(workers.since) > MAX_PROBING;
    let answered = count_answers(node, workers.addresses).await;
    let until = node.now() + INELIGIBLE_AFTER_FAILED_ROUND;
    let mut state = node.lock();
    if has_timed_out || answered * 2 >= probed {
        state.candidacy.unreachable_workers = None;
        tracing::info!(
            answered,
            probed,
            "probing of unreachable workers ended; ineligibility not prolonged"
        );
    } else {
        state.candidacy.ineligible_until = state.candidacy.ineligible_until.max(Some(until));
    }
}

async fn count_answers(node: &Arc<Node>, addresses: Vec<SocketAddr>) -> usize {
    let mut probes = tokio::task::JoinSet::new();
    for address in addresses {
        probes.spawn(answers_probe(node.clone(), address));
    }
    let results = probes.join_all().await;
    results.into_iter().filter(|answered| *answered).count()
}

async fn answers_probe(node: Arc<Node>, address: SocketAddr) -> bool {
    let http = node.workers_http();
    let answer = http.call(Method::GET, address, "/status", Vec::new(), ROUND_DEADLINE);
    answer
        .await
        .is_ok_and(|answer| answer.status == StatusCode::OK)
}
