//! A leader beside a controller of the version in production.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::nodes::{DEADLINE, node_among};
use crate::settings::Peer;
use valegap::coordination::leadership::lease::ShardLease;
use valegap::coordination::peering::cancellations::query_cancellations;
use valegap::coordination::peering::lease_votes::{all_grant_extension, all_vote_for_revival};
use valegap::coordination::worker_leases::cancellation_freshness;
use valegap::protocol::FencingToken;
use valegap::protocol::peers::{PeerAnswer, PeerRequest};

/// A controller of the version in production, as its peers see it: it answers the frames that it
/// knows, and 404 at paths that it does not know.
async fn older_controller() -> SocketAddr {
    let answer = |body: axum::body::Bytes| async move {
        let answer = match PeerRequest::decode(&body) {
            Ok(PeerRequest::ExtendLease { .. }) => PeerAnswer::LeaseExtension { granted: true },
            _ => PeerAnswer::Unreadable,
        };
        answer.encode()
    };
    let routes = axum::Router::new().route("/peer", axum::routing::post(answer));
    crate::support::serve(routes).await
}

/// Beside an older controller a leader extends its lease by votes, but relies on nothing that the
/// older one cannot answer: it neither confirms cancellations nor votes for lease revival.
#[tokio::test]
async fn an_older_controller_extends_leases_and_supports_nothing_newer() {
    let older = older_controller().await;
    let peers = vec![Peer {
        node_id: "n1".to_owned(),
        internal: older,
    }];
    let node = node_among("n0", "127.0.0.1:1".parse().expect("an address"), peers);
    let _ = node.clients.kv.get("o/0/owner", DEADLINE).await;
    let now = Instant::now();
    let time = Duration::from_secs(1);
    let lease = ShardLease::new(1, FencingToken::new(9), now, now + time, now);
    assert!(all_grant_extension(&node, time).await);
    assert!(!all_vote_for_revival(&node, &lease, time).await);
    // It renews workers' leases until the staleness bound after its own last catch-up read.
    let bound = cancellation_freshness::staleness_bound(&node.settings);
    node.lock().cancellations.record_catch_up(now);
    query_cancellations(node.clone(), node.settings.platform.others[0].clone(), 0).await;
    assert!(
        node.lock().peers.older_versions.contains_key("n1"),
        "logged, and not asked again for a while"
    );
    assert!(node.may_renew_leases(now + bound - DEADLINE));
    assert!(!node.may_renew_leases(now + bound));
}
