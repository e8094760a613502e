//! Heartbeats among controllers: each controller sends its own state to the others once a second.
//!
//! The answer to a heartbeat is a heartbeat of the answering controller. If that controller is the
//! leader, its answer also grants an advance delegation ([`AdvanceDelegation`]).

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ROUND_DEADLINE, call_peer, lease_votes};
use crate::coordination::node::Node;
use crate::coordination::node::state::{LeaderContact, NodeState, PeerView};
use crate::coordination::shard::TaskCounts;
use crate::coordination::worker_leases::advance_delegation::AdvanceDelegation;
use crate::coordination::worker_leases::command_tokens::CommandTokens;
use crate::protocol::peers::{PeerAnswer, PeerHeartbeat, PeerRequest, Progress};
use crate::protocol::{FencingToken, JobId};

/// Largest number of jobs whose counts one heartbeat carries: some 1.5 MB, which every version
/// accepts.
const MAX_PROGRESS_ROWS: usize = 50_000;
/// How long after its last heartbeat to this controller a worker counts as reachable from it.
const WORKER_REACHABLE_FOR: Duration = Duration::from_secs(8);

/// This controller's heartbeat, without the jobs' progress.
pub fn own_heartbeat(node: &Node) -> PeerHeartbeat {
    let now = node.now();
    let kv_served = !node.is_kv_lost();
    let mut state = node.lock();
    state
        .worker_heartbeats
        .retain(|_, at| now.saturating_duration_since(*at) < WORKER_REACHABLE_FOR);
    let fencing_token = state
        .leadership
        .as_ref()
        .filter(|leadership| leadership.lease.is_live(now))
        .map(|leadership| leadership.lease.fencing_token);
    PeerHeartbeat {
        node_id: node.node_id().to_owned(),
        zone: node.settings.platform.zone.clone(),
        kv_served,
        reachable_workers: state.worker_heartbeats.len() as u32,
        up_s: node.up_time().as_secs(),
        fencing_token,
        main_zone: state.peers.main_zone.clone(),
        progress: Vec::new(),
        ineligible: state
            .candidacy
            .ineligible_until
            .is_some_and(|until| until > now),
        // An earlier process of this controller may have answered workers until this one started.
        answered_by_advance_delegation_ago_ms: now
            .saturating_duration_since(state.delegate.last_advance_renewal.unwrap_or(node.started))
            .as_millis() as u64,
    }
}

/// The progress of the unfinished jobs, if this controller leads the shard.
///
/// A job without a running or done task is left out: the other controllers show every job that
/// isn't in the list as pending. If more jobs have begun than a frame may carry, some of them are
/// shown as pending too. The counts are for display only.
fn progress(node: &Node) -> Vec<Progress> {
    let state = node.lock();
    let Some(leadership) = &state.leadership else {
        return Vec::new();
    };
    let row = |(job, counts): (&JobId, TaskCounts)| Progress {
        job: job.to_string(),
        done: counts.done,
        running: counts.running,
    };
    let has_begun = |(_, counts): &(&JobId, TaskCounts)| counts.done + counts.running > 0;
    let begun = leadership.shard.progress().filter(has_begun);
    let rows: Vec<Progress> = begun.take(MAX_PROGRESS_ROWS).map(row).collect();
    if rows.is_empty() {
        // The receiver ignores a list without rows, and would show outdated counts.
        return leadership.shard.progress().take(1).map(row).collect();
    }
    rows
}

/// This controller's heartbeat, with the jobs' progress if it leads the shard.
pub fn leader_heartbeat(node: &Node) -> PeerHeartbeat {
    PeerHeartbeat {
        progress: progress(node),
        ..own_heartbeat(node)
    }
}

/// Sends a heartbeat to every other controller, without waiting for the answers.
pub(super) fn send_to_all(node: &Arc<Node>) {
    let own_heartbeat = leader_heartbeat(node);
    for peer in &node.settings.platform.others {
        let (node, peer) = (node.clone(), peer.clone());
        let request = PeerRequest::Heartbeat(own_heartbeat.clone());
        let sent_token = own_heartbeat.fencing_token;
        tokio::spawn(async move {
            let sent = SentHeartbeat {
                at: node.now(),
                fencing_token: sent_token,
                known_revision: node.job_index.revision(),
            };
            let answer = call_peer(&node, &peer, &request, ROUND_DEADLINE).await;
            if let Some(PeerAnswer::Heartbeat(heartbeat)) = answer {
                handle_heartbeat_answer(&node, heartbeat, &sent);
            }
        });
    }
}

/// Answers a peer's heartbeat. The answer of a leader grants the peer an advance delegation.
pub fn answer_heartbeat(node: &Node, heartbeat: PeerHeartbeat) -> PeerHeartbeat {
    let node_id = heartbeat.node_id.clone();
    record_heartbeat(node, heartbeat);
    let answer = own_heartbeat(node);
    if let Some(fencing_token) = answer.fencing_token
        && let Some(leadership) = &mut node.lock().leadership
        && leadership.lease.fencing_token == fencing_token
    {
        leadership.advance_grants.record_grant(&node_id, node.now());
    }
    answer
}

/// A heartbeat that this controller sent to another, and what it knew then.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentHeartbeat {
    pub(crate) at: Instant,
    /// This controller's fencing token, if it led the shard.
    pub(crate) fencing_token: Option<FencingToken>,
    /// The store revision up to which it had read the jobs.
    pub(crate) known_revision: Option<u64>,
}

/// Handles the answer to a heartbeat.
pub(crate) fn handle_heartbeat_answer(node: &Node, answer: PeerHeartbeat, sent: &SentHeartbeat) {
    {
        let now = node.now();
        let mut state = node.lock();
        if let Some(fencing_token) = answer.fencing_token {
            renew_advance_delegation(&mut state, fencing_token, sent);
        }
        record_last_advance_renewal(&mut state, &answer, sent, now);
    }
    record_heartbeat(node, answer);
}

/// Records the advance delegation that the leader with this fencing token granted when it answered
/// the heartbeat `sent`. Its leader record existed then, and so at each revision read before.
fn renew_advance_delegation(
    state: &mut NodeState,
    fencing_token: FencingToken,
    sent: &SentHeartbeat,
) {
    let tokens = CommandTokens::of_leadership(fencing_token);
    let granted = AdvanceDelegation {
        tokens: tokens.known_at(sent.known_revision.unwrap_or_default()),
        heartbeat_sent: sent.at,
    };
    let renewed = AdvanceDelegation::renewed(state.delegate.advance, granted);
    state.delegate.advance = Some(renewed);
}

/// Records until when a peer may have renewed workers' leases by an advance delegation, as its
/// answer states. For a while after it received this leader's token, the peer renews none.
fn record_last_advance_renewal(
    state: &mut NodeState,
    answer: &PeerHeartbeat,
    sent: &SentHeartbeat,
    now: Instant,
) {
    let Some(leadership) = &mut state.leadership else {
        return;
    };
    if sent.fencing_token != Some(leadership.lease.fencing_token) {
        return;
    }
    let ago = Duration::from_millis(answer.answered_by_advance_delegation_ago_ms);
    let last_renewal = now.checked_sub(ago).unwrap_or(leadership.lease.acquired_at);
    leadership
        .advance_grants
        .record_answer(&answer.node_id, sent.at, last_renewal);
}

/// Records what a peer states about itself, in a heartbeat or in the answer to one.
pub fn record_heartbeat(node: &Node, mut heartbeat: PeerHeartbeat) {
    let received_at = node.now();
    let mut state = node.lock();
    if let Some(fencing_token) = heartbeat.fencing_token {
        record_progress(&mut state, std::mem::take(&mut heartbeat.progress));
        lease_votes::end_superseded_leases(&state, fencing_token);
        record_leader_contact(&mut state, fencing_token, received_at);
        if heartbeat.main_zone.is_some() {
            state.peers.main_zone.clone_from(&heartbeat.main_zone);
        }
    }
    state.peers.views.insert(
        heartbeat.node_id.clone(),
        PeerView {
            heartbeat,
            received_at,
        },
    );
}

/// Replaces the jobs' progress by that of a leader's heartbeat, if the heartbeat has any.
fn record_progress(state: &mut NodeState, rows: Vec<Progress>) {
    if rows.is_empty() {
        return;
    }
    let counts = |row: Progress| {
        let counts = TaskCounts {
            done: row.done,
            running: row.running,
        };
        (row.job, counts)
    };
    state.peers.progress = rows.into_iter().map(counts).collect();
}

/// Records when a heartbeat of the leader with this token was received, unless a later leader is
/// known.
fn record_leader_contact(state: &mut NodeState, fencing_token: FencingToken, received_at: Instant) {
    let latest = state.peers.leader_contact;
    if latest.is_none_or(|contact| fencing_token >= contact.fencing_token) {
        state.peers.leader_contact = Some(LeaderContact {
            fencing_token,
            received_at,
        });
    }
}
