//! Whether a leader that stepped down since it reached too few workers reaches them again.
//!
//! A network partition lasts for any time. While it does, the controller should neither campaign
//! nor be handed the shard for being in the main zone. Only the workers can show that it has
//! ended: some of those that the controller knew as the leader are probed for their status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};

use super::ROUND_DEADLINE;
use crate::coordination::node::Node;
use crate::coordination::node::state::UnreachableWorkers;

/// Largest number of workers that are probed in a round.
const MAX_PROBED_WORKERS: usize = 8;
/// Least time for which a leader that reached too few workers is ineligible.
const MIN_INELIGIBLE: Duration = Duration::from_secs(30);
/// Time for which it stays ineligible after each round in which most probes failed.
const INELIGIBLE_AFTER_FAILED_ROUND: Duration = Duration::from_secs(10);
/// Time after which probing ends in any case: deleted machines never answer.
const MAX_PROBING: Duration = Duration::from_secs(600);

/// Marks this controller, the leader, as ineligible until some of the workers that it can't
/// reach answer again.
pub(in crate::coordination) fn mark_ineligible(node: &Node) {
    let now = node.now();
    let mut inner = node.lock();
    let Some(own) = &inner.leadership else {
        return;
    };
    let addresses: Vec<SocketAddr> = own
        .shard
        .machines()
        .values()
        .filter(|m| m.expects_heartbeats())
        .filter(|m| m.since_last_contact(now) > node.policy.heartbeat_interval)
        .filter_map(|m| m.addr.parse().ok())
        .take(MAX_PROBED_WORKERS)
        .collect();
    inner.candidacy.ineligible_until = Some(now + MIN_INELIGIBLE);
    inner.candidacy.unreachable_workers = Some(UnreachableWorkers {
        addresses,
        since: now,
    });
}

/// Probes the workers that this controller couldn't reach, if there are any; it stays ineligible
/// while most of them don't answer.
pub(in crate::coordination) async fn probe_unreachable_workers(node: &Arc<Node>) {
    let Some(workers) = node.lock().candidacy.unreachable_workers.clone() else {
        return;
    };
    let probed = workers.addresses.len();
    let expired = node.now().saturating_duration_since(workers.since) > MAX_PROBING;
    let answered = count_answers(node, workers.addresses).await;
    let until = node.now() + INELIGIBLE_AFTER_FAILED_ROUND;
    let mut inner = node.lock();
    if expired || answered * 2 >= probed {
        inner.candidacy.unreachable_workers = None;
        tracing::info!(
            answered,
            probed,
            "probing of unreachable workers ended; eligible to lead again"
        );
    } else {
        inner.candidacy.ineligible_until = inner.candidacy.ineligible_until.max(Some(until));
    }
}

async fn count_answers(node: &Arc<Node>, addresses: Vec<SocketAddr>) -> usize {
    let mut probes = tokio::task::JoinSet::new();
    for address in addresses {
        probes.spawn(answers(node.clone(), address));
    }
    let results = probes.join_all().await;
    results.into_iter().filter(|answered| *answered).count()
}

async fn answers(node: Arc<Node>, address: SocketAddr) -> bool {
    let http = node.workers_http();
    let answer = http.call(Method::GET, address, "/status", Vec::new(), ROUND_DEADLINE);
    answer
        .await
        .is_ok_and(|answer| answer.status == StatusCode::OK)
}
