//! A leader of this version with a peer that runs the version in production.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::nodes::{DEADLINE, node_with_peers};
use crate::settings::Peer;
use valegap::coordination::leadership::lease::ShardLease;
use valegap::coordination::peering::cancellations::query_cancellations;
use valegap::coordination::peering::lease_votes::{all_grant_extension, all_vote_for_revival};
use valegap::coordination::worker_leases::cancellation_freshness;
use valegap::protocol::FencingToken;
use valegap::protocol::peers::{PeerAnswer, PeerRequest};

/// Simulates the peer interface of a controller of the version in production: it answers the frames
/// that this version knows, and answers requests to unknown paths with 404.
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

/// With an older controller as its peer, a leader extends its lease by votes, but relies on nothing
/// that the older controller can't answer: the older controller neither answers queries for
/// confirmed cancellations nor votes for lease revival.
#[tokio::test]
async fn an_older_controller_extends_leases_and_supports_nothing_newer() {
    let older = older_controller().await;
    let peers = vec![Peer {
        node_id: "n1".to_owned(),
        internal_address: older,
    }];
    let node = node_with_peers("n0", "127.0.0.1:1".parse().expect("an address"), peers);
    // This read fails: the controller notes that the key-value store doesn't answer.
    let _ = node.clients.kv.get("o/0/owner", DEADLINE).await;
    let now = Instant::now();
    let extension = Duration::from_secs(1);
    let lease = ShardLease::new(1, FencingToken::new(9), now, now + extension, now);
    assert!(all_grant_extension(&node, extension).await);
    assert!(!all_vote_for_revival(&node, &lease, extension).await);
    // The leader renews workers' leases and starts tasks only until its own last catch-up read is
    // older than the staleness bound.
    let staleness_bound = cancellation_freshness::staleness_bound(&node.settings);
    node.lock().cancellations.record_catch_up(now);
    query_cancellations(node.clone(), node.settings.platform.others[0].clone(), 0).await;
    assert!(
        node.lock().peers.older_versions.contains_key("n1"),
        "the peer is recorded as an older version, and not queried again for a while"
    );
    let permit_at = |at: Instant| node.run_deadline(&mut node.lock(), at).permit(at);
    assert!(permit_at(now + staleness_bound - DEADLINE).is_some());
    assert!(permit_at(now + staleness_bound).is_none());
}
