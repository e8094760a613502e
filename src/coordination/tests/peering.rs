//! Lease extension votes and advance delegations among partitioned controllers.

use crate::protocol::FencingToken;
use std::sync::Arc;
use std::time::Duration;

use super::{heartbeat, node};
use crate::clock::FakeClock;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::state::Leadership;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::peering::heartbeat::{
    handle_heartbeat_answer, own_heartbeat, record_heartbeat,
};
use crate::coordination::peering::lease_votes::{
    grant_extension, proves_no_successor, vote_on_revival,
};
use crate::coordination::shard::{RecoveredState, Shard};
use crate::coordination::worker_leases::advance_delegation::{self, AdvanceGrants};
use crate::protocol::peer_messages::{RevivalVote, ReviveLease};
use crate::protocol::peers::PeerHeartbeat;

/// Makes a controller the leader of an empty shard.
pub(super) fn lead(node: &Node, fencing_token: u64) -> Arc<ShardLease> {
    lead_recovered(node, fencing_token, RecoveredState::default())
}

/// Makes a controller the leader of a recovered shard, with a lease of three seconds.
pub(super) fn lead_recovered(
    node: &Node,
    fencing_token: u64,
    recovered: RecoveredState,
) -> Arc<ShardLease> {
    let now = node.now();
    let lease = Arc::new(ShardLease::new(
        1,
        FencingToken::new(fencing_token),
        now,
        now + Duration::from_secs(3),
        now,
    ));
    let shard = Shard::recover(
        node.policy.clone(),
        FencingToken::new(fencing_token),
        recovered,
        now,
        0,
    );
    node.lock().leadership = Some(Leadership {
        lease: lease.clone(),
        shard,
        advance_grants: AdvanceGrants::default(),
        notified_change_count: None,
        activities: Default::default(),
    });
    lease
}

fn peer_heartbeat(node_id: &str, fencing_token: Option<u64>) -> PeerHeartbeat {
    PeerHeartbeat {
        node_id: node_id.into(),
        fencing_token: fencing_token.map(FencingToken::new),
        ..PeerHeartbeat::default()
    }
}

#[tokio::test]
async fn a_lease_extension_vote_needs_an_outage_and_blocks_campaigns() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    let time = Duration::from_secs(1);
    assert!(!grant_extension(&node, time), "nothing shows an outage yet");
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    assert!(grant_extension(&node, time));
    assert!(
        !grant_extension(&node, time * 10),
        "longer than any leader may request"
    );
    assert!(node.campaign_blocked_until().is_some());
    clock.advance(Duration::from_millis(999));
    assert!(
        node.campaign_blocked_until().is_some(),
        "until the extension ends"
    );
    clock.advance(Duration::from_millis(10));
    // A process that has just started also waits out the votes of its earlier incarnation.
    assert!(node.campaign_blocked_until().is_none());
    node.lock().candidacy.acquiring = true;
    assert!(
        !grant_extension(&node, time),
        "a campaign of its own is under way"
    );
}

/// A controller that reaches neither the key-value store nor any peer, but its workers: it answers
/// neither users nor workers, and the load balancer removes it.
#[tokio::test]
async fn a_fully_partitioned_controller_is_unready_and_answers_503() {
    use crate::coordination::requests::{RequestOrigin, UserRequest, answer};
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    node.lock().machine_types = Some(Vec::new());
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    let peer = peer_heartbeat("beta", None);
    record_heartbeat(&node, peer.clone());
    assert!(
        node.is_ready(),
        "an outage of the store affects all controllers alike"
    );
    clock.advance(Duration::from_secs(3));
    assert!(!node.is_ready());
    let response = answer(
        &node,
        UserRequest::Poll("run-1".into()),
        RequestOrigin::User,
    )
    .await;
    assert_eq!(response.status, 503);
    assert!(node.live_lease().is_none() && node.leader_id().is_none());
    record_heartbeat(&node, peer);
    assert!(node.is_ready());
}

/// A controller that reaches neither the store nor the leader renews workers' leases under the
/// leader's last fencing token, within the time for which a cancelled job's tasks may run, and no
/// longer.
#[tokio::test]
async fn a_partitioned_controller_renews_leases_under_an_advance_delegation() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    let leader_token = Some(FencingToken::new(7));
    let mut heartbeat = heartbeat(5);
    node.lock().cancellations.record_catch_up(node.now());
    handle_heartbeat_answer(&node, peer_heartbeat("beta", Some(7)), node.now(), None);
    clock.advance(advance_delegation::LEADER_UNREACHABLE_AFTER);
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        None,
        "the key-value store may answer"
    );
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    assert_eq!(node.delegated_fencing_token(&heartbeat), leader_token);
    assert_eq!(
        own_heartbeat(&node).answered_by_advance_delegation_ago_ms,
        0
    );
    heartbeat.fencing_token = FencingToken::new(8);
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        None,
        "the worker follows a later leader"
    );
    heartbeat.fencing_token = FencingToken::new(7);
    // The leader is reachable again, even by an old message: it renews the leases itself.
    record_heartbeat(&node, peer_heartbeat("beta", Some(7)));
    // A late heartbeat without a fencing token, from before it led, changes nothing.
    record_heartbeat(&node, peer_heartbeat("beta", None));
    assert_eq!(node.delegated_fencing_token(&heartbeat), None);
    clock.advance(advance_delegation::LEADER_UNREACHABLE_AFTER);
    assert_eq!(node.delegated_fencing_token(&heartbeat), leader_token);
    let workers = &node.settings.platform.settings.workers;
    clock.advance(
        workers.max_cancellation_time()
            - workers.lease_duration()
            - advance_delegation::LEADER_UNREACHABLE_AFTER * 2,
    );
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        None,
        "a job may have been cancelled"
    );
}

/// Refused by the key-value store alone, a leader is replaced, and then the store fails for all:
/// the new leader needs the vote of the old one, which does not know that its lease has ended.
/// The fencing token in the new leader's heartbeat shows it.
#[tokio::test]
async fn a_superseded_leader_steps_down_and_votes_for_its_successor() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    let now = node.now();
    let lease = lead(&node, 9);
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    clock.advance(Duration::from_secs(4));
    record_heartbeat(&node, peer_heartbeat("n1", Some(8)));
    assert!(
        !lease.has_ended(),
        "an older leader's late heartbeat proves nothing"
    );
    assert!(
        !grant_extension(&node, Duration::from_secs(1)),
        "it may still extend its lease"
    );
    record_heartbeat(&node, peer_heartbeat("n1", Some(10)));
    assert!(lease.has_ended());
    lease.record_renewal(now, now + Duration::from_secs(60));
    assert!(!lease.is_live(node.now()));
    node.lock().leadership = None;
    assert!(grant_extension(&node, Duration::from_secs(1)));
}

/// Refused by the key-value store alone, a leader passes its lease deadline just before the store
/// fails for all. It may continue if all peers abstain from campaigning, and none of them, nor an
/// earlier incarnation of theirs, can have led the shard since.
#[tokio::test]
async fn a_later_leader_does_not_vote_for_lease_revival() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    clock.advance(Duration::from_secs(2));
    let renewed = node.now();
    clock.advance(Duration::from_secs(4));
    let vote = |fencing_token| {
        let frame = ReviveLease {
            fencing_token: FencingToken::new(fencing_token),
            millis: 1000,
        }
        .encode();
        let request = ReviveLease::decode(&frame).expect("a frame");
        let answer = vote_on_revival(&node, &request).encode();
        RevivalVote::decode(&answer).expect("a frame")
    };
    assert!(
        !vote(9).granted,
        "the store serves it, and it campaigns itself"
    );
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    let answer = vote(9);
    assert!(proves_no_successor(&answer, node.now(), renewed));
    assert!(node.campaign_blocked_until().is_some());
    // Its incarnation started after that renewal: an earlier one may have led the shard.
    let before = renewed - Duration::from_secs(3);
    assert!(!proves_no_successor(&answer, node.now(), before));
    node.lock().candidacy.latest_fencing_token = FencingToken::new(10);
    assert!(!vote(9).granted, "it has led the shard since");
    assert!(vote(10).granted);
    node.lock().candidacy.acquiring = true;
    assert!(!vote(10).granted);
    // Two leaders, both past their deadlines: the later one's request shows the earlier one
    // that it has been superseded.
    node.lock().candidacy.acquiring = false;
    let earlier = lead(&node, 10);
    assert!(!vote(9).granted && !vote(10).granted && !earlier.has_ended());
    vote(11);
    assert!(earlier.has_ended());
}

/// A leader that is partitioned from the key-value store and all peers.
#[tokio::test]
async fn a_leader_past_its_lease_deadline_renews_worker_leases_and_sends_no_commands() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    node.lock().cancellations.record_catch_up(node.now());
    let lease = lead(&node, 9);
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    clock.advance(Duration::from_secs(4));
    let heartbeat = heartbeat(9);
    assert!(node.live_lease().is_none());
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        Some(FencingToken::new(9))
    );
    lease.end();
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        None,
        "its lease is known to have ended"
    );
}
