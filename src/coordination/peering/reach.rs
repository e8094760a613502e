//! Whether a leader that gave up since it heard too few workers reaches them again.
//!
//! A cut from the workers lasts for any time. As long as it does, the controller had better
//! not lead the shard, nor be handed it for being nearer to the machines. Whether it is over
//! only the workers themselves can tell: some of those that it knew as the leader are asked
//! for their status now and then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};

use super::ROUND_DEADLINE;
use crate::coordination::node::Node;

/// Workers that are asked.
const SAMPLE: usize = 8;
/// How long a leader that heard too few workers leaves the shard to others at the least.
const MIN_INELIGIBLE: Duration = Duration::from_secs(30);
/// How long it does after each round in which most of them didn't answer.
const INELIGIBLE_AFTER_ROUND: Duration = Duration::from_secs(10);
/// How long they are asked: machines that are gone never answer.
const LONGEST_SAMPLING: Duration = Duration::from_secs(600);

/// Workers that a former leader couldn't hear.
#[derive(Debug, Clone)]
pub struct UnreachableWorkers {
    addresses: Vec<SocketAddr>,
    since: Instant,
}

/// Notes that this node, the leader, hears too few workers: it is unfit until some of them
/// answer again.
pub(in crate::coordination) fn note_ineligible(node: &Node) {
    let now = node.now();
    let mut inner = node.lock();
    let Some(own) = &inner.leadership else {
        return;
    };
    let machines = own
        .shard
        .machines()
        .values()
        .filter(|m| m.expects_heartbeats());
    let silent = machines.filter(|m| m.since_last_contact(now) > node.policy.heartbeat_interval);
    let addresses = silent.filter_map(|m| m.addr.parse().ok()).take(SAMPLE);
    let addresses: Vec<SocketAddr> = addresses.collect();
    inner.candidacy.ineligible_until = Some(now + MIN_INELIGIBLE);
    inner.candidacy.unreachable_workers = Some(UnreachableWorkers {
        addresses,
        since: now,
    });
}

/// Asks the workers that this node couldn't hear; it stays unfit while most don't answer.
pub(in crate::coordination) async fn probe_unreachable_workers(node: &Arc<Node>) {
    let Some(unheard) = node.lock().candidacy.unreachable_workers.clone() else {
        return;
    };
    let asked = unheard.addresses.len();
    let old = node.now().saturating_duration_since(unheard.since) > LONGEST_SAMPLING;
    let mut statuses = tokio::task::JoinSet::new();
    for address in unheard.addresses {
        statuses.spawn(answers(node.clone(), address));
    }
    let answered = statuses
        .join_all()
        .await
        .into_iter()
        .filter(|ok| *ok)
        .count();
    let until = node.now() + INELIGIBLE_AFTER_ROUND;
    let mut inner = node.lock();
    if old || answered * 2 >= asked {
        inner.candidacy.unreachable_workers = None;
        tracing::info!(answered, asked, "workers are within reach again");
    } else {
        inner.candidacy.ineligible_until = inner.candidacy.ineligible_until.max(Some(until));
    }
}

async fn answers(node: Arc<Node>, address: SocketAddr) -> bool {
    let http = node.workers_http();
    let answer = http.call(Method::GET, address, "/status", Vec::new(), ROUND_DEADLINE);
    answer
        .await
        .is_ok_and(|answer| answer.status == StatusCode::OK)
}
