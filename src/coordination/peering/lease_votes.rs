//! Votes by which a leader keeps its lease through an outage of the key-value store.
//!
//! A vote is a controller's promise not to campaign for the shard for a while (an abstention).
//! Before its deadline a leader extends its lease if every other controller gives that vote. Past
//! its deadline it revives the lease if each states besides that it has acquired no later fencing
//! token. Every peer has to vote, so that no successor can exist that the leader doesn't know.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::ROUND_DEADLINE;
use super::client::{call_peer, post_frame};
use crate::coordination::clock_drift;
use crate::coordination::leadership::lease::{MAX_LEASE_EXTENSION, ShardLease};
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;
use crate::protocol::FencingToken;
use crate::protocol::peer_messages::{REVIVE_LEASE, RevivalVote, ReviveLease};
use crate::protocol::peers::{PeerAnswer, PeerRequest};
use crate::settings::platform::Peer;

/// Votes on a lease extension; true if this controller abstains from campaigning for this long.
///
/// The vote is refused while the key-value store serves this controller: then the leader alone
/// is cut off from the store, and should be replaced.
pub fn grant_extension(node: &Node, time: Duration) -> bool {
    let now = node.now();
    let kv_failing = node.kv_failing();
    let mut inner = node.lock();
    let may_lead = inner.candidacy.acquiring || inner.leadership.is_some();
    if !kv_failing || may_lead || time > MAX_LEASE_EXTENSION {
        return false;
    }
    // This controller's clock may run fast against the leader's.
    let until = now + clock_drift::max_elapsed(time);
    inner.candidacy.extension_granted_until =
        inner.candidacy.extension_granted_until.max(Some(until));
    true
}

/// Requests votes on a lease extension; true if every other controller grants it.
pub async fn all_grant_extension(node: &Arc<Node>, time: Duration) -> bool {
    let request = PeerRequest::ExtendLease {
        millis: time.as_millis() as u64,
    };
    all_peers(node, move |node, peer| {
        let request = request.clone();
        async move {
            let answer = call_peer(&node, &peer, &request, ROUND_DEADLINE).await;
            matches!(answer, Some(PeerAnswer::LeaseExtension { granted: true }))
        }
    })
    .await
}

/// Whether every other controller, all called at the same time, gives its vote.
async fn all_peers<Call, Vote>(node: &Arc<Node>, call: Call) -> bool
where
    Call: Fn(Arc<Node>, Peer) -> Vote,
    Vote: Future<Output = bool> + Send + 'static,
{
    let mut votes = tokio::task::JoinSet::new();
    for peer in &node.settings.platform.others {
        votes.spawn(call(node.clone(), peer.clone()));
    }
    let mut all = true;
    while let Some(vote) = votes.join_next().await {
        all &= vote.unwrap_or(false);
    }
    all
}

/// Votes on the revival of a lease past its deadline: as on an extension, but only if this
/// incarnation has acquired no later fencing token.
pub fn vote_on_revival(node: &Node, request: &ReviveLease) -> RevivalVote {
    let acquired_later = {
        let inner = node.lock();
        end_superseded_leases(&inner, request.fencing_token);
        inner.candidacy.latest_fencing_token > request.fencing_token
    };
    let time = Duration::from_millis(request.millis);
    RevivalVote {
        granted: !acquired_later && grant_extension(node, time),
        up_ms: node.up_time().as_millis() as u64,
    }
}

/// Whether a vote that has just been received proves that the voter hasn't acquired the shard
/// since `renewed`, when the leader's last successful renewal was sent. An earlier incarnation of
/// the voter may have acquired it.
pub fn proves_no_successor(vote: &RevivalVote, now: Instant, renewed: Instant) -> bool {
    let started = clock_drift::latest_start(Duration::from_millis(vote.up_ms), now);
    vote.granted && started < renewed
}

/// Requests votes on the revival of this lease; true if every other controller grants it and
/// none can have acquired the shard meanwhile.
pub async fn all_vote_for_revival(node: &Arc<Node>, lease: &ShardLease, time: Duration) -> bool {
    if !node.kv_failing() || lease.ended() {
        return false;
    }
    let renewed = lease.last_renewed();
    let request = ReviveLease {
        fencing_token: lease.fencing_token,
        millis: time.as_millis() as u64,
    };
    let frame = request.encode();
    all_peers(node, move |node, peer| {
        let frame = frame.clone();
        async move {
            let answer = post_frame(&node, &peer, REVIVE_LEASE, frame, ROUND_DEADLINE).await;
            let vote = answer.ok().and_then(|a| RevivalVote::decode(&a.body).ok());
            vote.is_some_and(|vote| proves_no_successor(&vote, node.now(), renewed))
        }
    })
    .await
}

/// Ends this controller's leases with a token lower than one that a peer holds. Their records in
/// the store have been deleted, even if the store can't be read, and the later leader may need this
/// controller's vote, which a leader doesn't give.
pub(super) fn end_superseded_leases(inner: &NodeState, later: FencingToken) {
    let own = inner.leadership.as_ref().map(|own| &own.lease);
    let superseded = |lease: &&Arc<ShardLease>| lease.fencing_token < later && !lease.ended();
    for lease in own.into_iter().chain(&inner.recovering).filter(superseded) {
        tracing::warn!(
            fencing_token = %lease.fencing_token,
            later_token = %later,
            "lease superseded by a later leader"
        );
        lease.end();
    }
}
