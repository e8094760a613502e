//! Extending the shard's lease by the votes of all other controllers, while the state
//! service is out for everybody.
//!
//! Before its deadline a leader needs their votes not to campaigns for the shard for a while.
//! Past it, each must say besides that it has taken no later fencing token.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ROUND_DEADLINE, ask, post};
use crate::coordination::clock_drift;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;
use crate::protocol::FencingToken;
use crate::protocol::peer_messages::{REVIVE_LEASE, RevivalVote, ReviveLease};
use crate::protocol::peers::{PeerAnswer, PeerRequest};
use crate::settings::platform::Peer;

/// Longest vote that is given. A process that has just started waits this
/// long before it campaigns for the shard: its earlier run may have promised.
pub const LONGEST_EXTENSION: Duration = Duration::from_secs(1);

/// Promises not to campaigns for the shard for a while, so that its leader can go on
/// through an outage of the key-value store. Not given when the service serves
/// this node: then the leader alone is cut off, and should be replaced.
pub fn grant_extension(node: &Node, time: Duration) -> bool {
    let now = node.now();
    let lost = node.kv_failing();
    let mut inner = node.lock();
    if !lost || inner.candidacy.acquiring || inner.leadership.is_some() || time > LONGEST_EXTENSION
    {
        return false;
    }
    // Our own clock may run fast against the leader's.
    let until = now + clock_drift::max_elapsed(time);
    inner.candidacy.extension_granted_until =
        inner.candidacy.extension_granted_until.max(Some(until));
    true
}

/// Asks all other controllers for a vote; true if every one gives it.
pub async fn all_grant_extension(node: &Arc<Node>, time: Duration) -> bool {
    let request = PeerRequest::ExtendLease {
        millis: time.as_millis() as u64,
    };
    all_others(node, move |node, peer| {
        let request = request.clone();
        async move {
            let answer = ask(&node, &peer, &request, ROUND_DEADLINE).await;
            matches!(answer, Some(PeerAnswer::LeaseExtension { granted: true }))
        }
    })
    .await
}

/// Whether every other controller, asked at the same time, says yes.
async fn all_others<UserRequest, Vote>(node: &Arc<Node>, vote: UserRequest) -> bool
where
    UserRequest: Fn(Arc<Node>, Peer) -> Vote,
    Vote: Future<Output = bool> + Send + 'static,
{
    let mut asked = tokio::task::JoinSet::new();
    for peer in &node.settings.platform.others {
        asked.spawn(vote(node.clone(), peer.clone()));
    }
    let mut all = true;
    while let Some(answer) = asked.join_next().await {
        all &= answer.unwrap_or(false);
    }
    all
}

/// Answers a leader past its deadline: the same vote, given only by a run that
/// has taken no later fencing token.
pub fn vote_on_revival(node: &Node, asked: &ReviveLease) -> RevivalVote {
    let later = {
        let inner = node.lock();
        end_earlier(&inner, asked.fencing_token);
        inner.candidacy.latest_fencing_token > asked.fencing_token
    };
    RevivalVote {
        granted: !later && grant_extension(node, Duration::from_millis(asked.millis)),
        up_ms: node.up_time().as_millis() as u64,
    }
}

/// Whether an answer that has just come proves that its giver left the shard alone
/// since a leader's last good renewal was sent: an earlier run may have taken it.
pub fn proves_unowned(answer: &RevivalVote, now: Instant, renewed: Instant) -> bool {
    answer.granted && clock_drift::latest_start(Duration::from_millis(answer.up_ms), now) < renewed
}

/// Asks all other controllers to stand aside; true if every one does, and none can
/// have taken the shard since.
pub async fn all_vote_for_revival(node: &Arc<Node>, lease: &ShardLease, time: Duration) -> bool {
    if !node.kv_failing() || lease.ended() {
        return false;
    }
    let renewed = lease.last_renewed();
    let frame = ReviveLease {
        fencing_token: lease.fencing_token,
        millis: time.as_millis() as u64,
    };
    let frame = frame.encode();
    all_others(node, move |node, peer| {
        let frame = frame.clone();
        async move {
            let answer = post(&node, &peer, REVIVE_LEASE, frame, ROUND_DEADLINE).await;
            let answer = answer.ok().and_then(|a| RevivalVote::decode(&a.body));
            answer.is_some_and(|answer| proves_unowned(&answer, node.now(), renewed))
        }
    })
    .await
}

/// A later fencing token than ours means that the record of ours is gone, though the service
/// may not tell us: the later leader counts on our vote.
pub(super) fn end_earlier(inner: &NodeState, later: FencingToken) {
    let own = inner.leadership.as_ref().map(|own| &own.lease);
    let superseded = |lease: &&Arc<ShardLease>| lease.fencing_token < later && !lease.ended();
    for lease in own.into_iter().chain(&inner.recovering).filter(superseded) {
        tracing::warn!(
            fencing_token = %lease.fencing_token,
            %later,
            "another owns the shard"
        );
        lease.end();
    }
}
