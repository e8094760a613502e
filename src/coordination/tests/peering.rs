//! Promises and delegations, among controllers that don't all hear one
//! another.

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

/// Has a controller own an empty shard.
pub(super) fn own(node: &Node, fencing_token: u64) -> Arc<ShardLease> {
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
        RecoveredState::default(),
        now,
        0,
    );
    node.lock().leadership = Some(Leadership {
        lease: lease.clone(),
        shard,
        advance_grants: AdvanceGrants::default(),
        finished_notified: None,
        activities: Default::default(),
    });
    lease
}

#[tokio::test]
async fn a_promise_needs_an_outage_and_is_kept() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    let time = Duration::from_secs(1);
    assert!(!grant_extension(&node, time), "nothing shows an outage yet");
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    assert!(grant_extension(&node, time));
    assert!(
        !grant_extension(&node, time * 10),
        "longer than any leader may ask"
    );
    assert!(node.campaign_blocked_until().is_some());
    clock.advance(Duration::from_millis(999));
    assert!(node.campaign_blocked_until().is_some(), "kept to its end");
    clock.advance(Duration::from_millis(10));
    // A process that has just started also waits out its earlier run's.
    assert!(node.campaign_blocked_until().is_none());
    node.lock().candidacy.acquiring = true;
    assert!(
        !grant_extension(&node, time),
        "an attempt of its own is under way"
    );
}

/// A controller that loses the key-value store and all others, but not its
/// workers: it answers neither users nor workers, and leaves the balancer.
#[tokio::test]
async fn a_controller_cut_off_from_all_is_unready_and_says_so_at_once() {
    use crate::coordination::requests::{RequestOrigin, UserRequest, answer};
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    node.lock().types = Some(Vec::new());
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    let peer = PeerHeartbeat {
        node_id: "beta".into(),
        ..PeerHeartbeat::default()
    };
    record_heartbeat(&node, peer.clone());
    assert!(node.ready(), "an outage for all: nobody is served anyway");
    clock.advance(Duration::from_secs(3));
    assert!(!node.ready());
    let reply = answer(
        &node,
        UserRequest::Poll("run-1".into()),
        RequestOrigin::User,
    )
    .await;
    assert_eq!(reply.status, 503);
    assert!(node.live_lease().is_none() && node.leader_id().is_none());
    record_heartbeat(&node, peer);
    assert!(node.ready());
}

/// Cut off with its workers, a controller goes on answering them by the
/// leader's last word, for as long as a cancelled job's tasks have and no more.
#[tokio::test]
async fn a_controller_cut_from_store_and_leader_keeps_workers_for_a_while() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    let mut heartbeat = heartbeat(5);
    node.lock().cancellations.caught_up(node.now());
    let leader = PeerHeartbeat {
        node_id: "beta".into(),
        fencing_token: Some(FencingToken::new(7)),
        ..PeerHeartbeat::default()
    };
    handle_heartbeat_answer(&node, leader, node.now(), None);
    clock.advance(advance_delegation::LEADER_UNREACHABLE_AFTER);
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        None,
        "the key-value store may answer"
    );
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        Some(FencingToken::new(7))
    );
    assert_eq!(
        own_heartbeat(&node).answered_by_advance_delegation_ago_ms,
        0
    );
    heartbeat.fencing_token = FencingToken::new(8);
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        None,
        "the worker obeys another"
    );
    heartbeat.fencing_token = FencingToken::new(7);
    // The leader heard again, even by an old message: it answers, not we.
    let from_leader = PeerHeartbeat {
        node_id: "beta".into(),
        fencing_token: Some(FencingToken::new(7)),
        ..PeerHeartbeat::default()
    };
    record_heartbeat(&node, from_leader);
    // An older one without a fencing token, which comes late, takes nothing back.
    let before = PeerHeartbeat {
        node_id: "beta".into(),
        ..PeerHeartbeat::default()
    };
    record_heartbeat(&node, before);
    assert_eq!(node.delegated_fencing_token(&heartbeat), None);
    clock.advance(advance_delegation::LEADER_UNREACHABLE_AFTER);
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        Some(FencingToken::new(7))
    );
    let workers = &node.settings.platform.settings.workers;
    clock.advance(
        workers.cancel() - workers.lease() - advance_delegation::LEADER_UNREACHABLE_AFTER * 2,
    );
    assert_eq!(
        node.delegated_fencing_token(&heartbeat),
        None,
        "a job may have been cancelled"
    );
}

/// Refused by the key-value store alone, a leader is replaced, and the service then
/// falls out for all: the new leader needs the vote of the old, which was never
/// told that its lease has ended. Its fencing token in the new leader's heartbeat tells it.
#[tokio::test]
async fn a_leader_that_hears_of_a_later_one_gives_up_and_promises() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    let now = node.now();
    let lease = own(&node, 9);
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    clock.advance(Duration::from_secs(4));
    let heartbeat = |fencing_token| PeerHeartbeat {
        node_id: "n1".into(),
        fencing_token: Some(fencing_token),
        ..PeerHeartbeat::default()
    };
    record_heartbeat(&node, heartbeat(FencingToken::new(8)));
    assert!(
        !lease.ended(),
        "an older leader's late heartbeat proves nothing"
    );
    assert!(
        !grant_extension(&node, Duration::from_secs(1)),
        "it may go on yet"
    );
    record_heartbeat(&node, heartbeat(FencingToken::new(10)));
    assert!(lease.ended());
    lease.record_renewal(now, now + Duration::from_secs(60));
    assert!(!lease.live(node.now()));
    node.lock().leadership = None;
    assert!(grant_extension(&node, Duration::from_secs(1)));
}

/// Refused by the key-value store alone, a leader passes its deadline just before the
/// service falls out for all. It may go on if all others stand aside, and none of
/// them, nor an earlier run of theirs, can have taken the shard in between.
#[tokio::test]
async fn who_has_taken_the_shard_since_does_not_stand_aside() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    clock.advance(Duration::from_secs(2));
    let renewed = node.now();
    clock.advance(Duration::from_secs(4));
    let asked = |fencing_token| {
        let frame = ReviveLease {
            fencing_token: FencingToken::new(fencing_token),
            millis: 1000,
        }
        .encode();
        let asked = ReviveLease::decode(&frame).expect("a frame");
        let answer = vote_on_revival(&node, &asked).encode();
        RevivalVote::decode(&answer).expect("a frame")
    };
    assert!(
        !asked(9).granted,
        "it is served, and seeks the shard itself"
    );
    let _ = node.clients.kv.get("o/0/owner", KV_DEADLINE).await;
    let answer = asked(9);
    assert!(proves_no_successor(&answer, node.now(), renewed));
    assert!(node.campaign_blocked_until().is_some());
    // Its run began after that renewal: an earlier one may have been the leader.
    let before = renewed - Duration::from_secs(3);
    assert!(!proves_no_successor(&answer, node.now(), before));
    node.lock().candidacy.latest_fencing_token = FencingToken::new(10);
    assert!(!asked(9).granted, "it has owned the shard since");
    assert!(asked(10).granted);
    node.lock().candidacy.acquiring = true;
    assert!(!asked(10).granted);
    // Two leaders in turn, both past their deadlines: the later one's question tells
    // the earlier that its record is gone.
    node.lock().candidacy.acquiring = false;
    let earlier = own(&node, 10);
    assert!(!asked(9).granted && !asked(10).granted && !earlier.ended());
    asked(11);
    assert!(earlier.ended());
}

/// A leader that a cut has taken from the key-value store and all others.
#[tokio::test]
async fn a_leader_past_its_deadline_keeps_its_workers_and_gives_no_commands() {
    let clock = Arc::new(FakeClock::new());
    let node = node(clock.clone());
    node.lock().cancellations.caught_up(node.now());
    let lease = own(&node, 9);
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
