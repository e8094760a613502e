//! Votes by which a leader keeps its lease through an outage of the key-value store.
//!
//! With a vote a controller promises not to campaign for the shard for a while. Before its deadline
//! a leader extends its lease if every other controller gives that vote. Past its deadline the
//! leader revives the lease if each voter also states that it has acquired no later fencing token.
//! Every peer has to vote, so that no successor can exist that the leader doesn't know of.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::ROUND_DEADLINE;
use super::client::{call_peer, post_frame};
use crate::coordination::clock_drift;
use crate::coordination::leadership::lease::{MAX_LEASE_EXTENSION, ShardLease};
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;
use crate::protocol::FencingToken;
use crate::protocol::peer_messages::{REVIVE_LEASE_PATH, RevivalVote, ReviveLease};
use crate::protocol::peers::{PeerAnswer, PeerRequest};
use crate::settings::platform::Peer;

/// Votes on extending the leader's lease by `time`. Returns true if this controller promises not to
/// campaign for that long.
///
/// The vote is refused while the key-value store serves this controller: then only the leader is
/// cut off from the store, and should be replaced.
pub fn grant_extension(node: &Node, time: Duration) -> bool {
    let now = node.now();
    let kv_failing = node.is_kv_failing();
    let mut state = node.lock();
    let may_lead = state.candidacy.acquiring || state.leadership.is_some();
    if !kv_failing || may_lead || time > MAX_LEASE_EXTENSION {
        return false;
    }
    // This controller's clock may run faster than the leader's.
    let until = now + clock_drift::max_elapsed(time);
    state.candidacy.extension_granted_until =
        state.candidacy.extension_granted_until.max(Some(until));
    true
}

/// Requests votes on a lease extension. Returns true if every other controller grants it.
pub async fn all_grant_extension(node: &Arc<Node>, time: Duration) -> bool {
    let request = PeerRequest::ExtendLease {
        millis: time.as_millis() as u64,
    };
    all_peers_grant(node, move |node, peer| {
        let request = request.clone();
        async move {
            let answer = call_peer(&node, &peer, &request, ROUND_DEADLINE).await;
            matches!(answer, Some(PeerAnswer::LeaseExtension { granted: true }))
        }
    })
    .await
}

/// Calls all other controllers at the same time. Returns true if every one of them gives its vote.
async fn all_peers_grant<Call, Vote>(node: &Arc<Node>, call: Call) -> bool
where
    Call: Fn(Arc<Node>, Peer) -> Vote,
    Vote: Future<Output = bool> + Send + 'static,
{
    let mut votes = tokio::task::JoinSet::new();
    for peer in &node.settings.platform.others {
        votes.spawn(call(node.clone(), peer.clone()));
    }
    let mut all_granted = true;
    while let Some(vote) = votes.join_next().await {
        all_granted &= vote.unwrap_or(false);
    }
    all_granted
}

/// Votes on the revival of a lease past its deadline. The rules are those for an extension.
/// In addition, this process must not have acquired a later fencing token.
pub fn vote_on_revival(node: &Node, request: &ReviveLease) -> RevivalVote {
    let has_later_token = {
        let state = node.lock();
        end_superseded_leases(&state, request.fencing_token);
        state.candidacy.latest_fencing_token > request.fencing_token
    };
    let time = Duration::from_millis(request.millis);
    RevivalVote {
        granted: !has_later_token && grant_extension(node, time),
        up_ms: node.up_time().as_millis() as u64,
    }
}

/// Whether a vote received at `now` proves that the voter hasn't acquired the shard since
/// `renewed`, when the leader's last successful renewal was sent. A vote of a process that started
/// later proves nothing: an earlier process of the voter may have acquired the shard.
pub fn proves_no_successor(vote: &RevivalVote, now: Instant, renewed: Instant) -> bool {
    let started = clock_drift::latest_start(Duration::from_millis(vote.up_ms), now);
    vote.granted && started < renewed
}

/// Requests votes on the revival of this lease. Returns true if every other controller grants it
/// and none can have acquired the shard since the last successful renewal was sent.
pub async fn all_vote_for_revival(node: &Arc<Node>, lease: &ShardLease, time: Duration) -> bool {
    if !node.is_kv_failing() || lease.has_ended() {
        return false;
    }
    let renewed = lease.last_renewed();
    let request = ReviveLease {
        fencing_token: lease.fencing_token,
        millis: time.as_millis() as u64,
    };
    let frame = request.encode();
    all_peers_grant(node, move |node, peer| {
        let frame = frame.clone();
        async move {
            let answer = post_frame(&node, &peer, REVIVE_LEASE_PATH, frame, ROUND_DEADLINE).await;
            let vote = answer.ok().and_then(|a| RevivalVote::decode(&a.body).ok());
            vote.is_some_and(|vote| proves_no_successor(&vote, node.now(), renewed))
        }
    })
    .await
}

/// Ends this controller's leases whose fencing token is lower than `later`, the token of a peer.
/// The leader records of these leases have been deleted, even if the store can't be read now. The
/// later leader may need this controller's vote, which a controller that leads doesn't give.
pub(super) fn end_superseded_leases(state: &NodeState, later: FencingToken) {
    let own_lease = state
        .leadership
        .as_ref()
        .map(|leadership| &leadership.lease);
    let superseded = |lease: &&Arc<ShardLease>| lease.fencing_token < later && !lease.has_ended();
    for lease in own_lease
        .into_iter()
        .chain(&state.recovering)
        .filter(superseded)
    {
        tracing::warn!(
            fencing_token = %lease.fencing_token,
            later_token = %later,
            "lease superseded by a later leader"
        );
        lease.end();
    }
}
