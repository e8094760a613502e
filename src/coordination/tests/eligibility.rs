//! Eligibility for leadership of a former leader that received heartbeats from too few workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use tokio::net::TcpListener;

use super::peering::make_leader;
use super::{heartbeat, node};
use crate::clock::FakeClock;
use crate::coordination::node::Node;
use crate::coordination::peering::eligibility::{mark_ineligible, probe_unreachable_workers};
use crate::coordination::peering::heartbeat::own_heartbeat;

const TOKEN: u64 = 7;

/// Makes the controller a leader that has received no heartbeat from its only worker for 20 s, and
/// that then gives up the leadership as ineligible.
fn lead_and_become_ineligible(clock: &FakeClock, node: &Arc<Node>, addr: SocketAddr) {
    let lease = make_leader(node, TOKEN);
    let mut heartbeat = heartbeat(TOKEN);
    heartbeat.addr = addr.to_string();
    node.with_shard(&lease, "reports", |shard, now| {
        shard.heartbeat(&heartbeat, now)
    });
    clock.advance(Duration::from_secs(20));
    mark_ineligible(node);
    node.lock().leadership = None;
}

/// Found in review: a leader that still received no heartbeats became eligible again after 30 s,
/// and the leadership was handed back to it because it was nearer to the machines.
#[tokio::test]
async fn a_leader_with_too_few_heartbeats_stays_ineligible_while_workers_do_not_answer() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    // Nothing listens on port 1.
    lead_and_become_ineligible(&clock, &node, ([127, 0, 0, 1], 1).into());
    for _ in 0..20 {
        clock.advance(Duration::from_secs(5));
        probe_unreachable_workers(&node).await;
        assert!(own_heartbeat(&node).ineligible);
    }
    // The machines may be lost, so the controller does not stay ineligible forever.
    clock.advance(Duration::from_secs(600));
    probe_unreachable_workers(&node).await;
    clock.advance(Duration::from_secs(60));
    probe_unreachable_workers(&node).await;
    assert!(!own_heartbeat(&node).ineligible);
}

#[tokio::test]
async fn a_leader_with_too_few_heartbeats_is_eligible_again_some_time_after_workers_answer() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let addr = listener.local_addr().expect("its address");
    let worker = Router::new().route("/status", get(async || "{}"));
    tokio::spawn(async move { axum::serve(listener, worker).await });
    lead_and_become_ineligible(&clock, &node, addr);
    clock.advance(Duration::from_secs(5));
    probe_unreachable_workers(&node).await;
    assert!(
        own_heartbeat(&node).ineligible,
        "the controller stays ineligible for at least half a minute"
    );
    clock.advance(Duration::from_secs(30));
    probe_unreachable_workers(&node).await;
    assert!(!own_heartbeat(&node).ineligible);
}
