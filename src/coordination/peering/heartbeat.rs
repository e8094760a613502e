//! Heartbeats: what each controller says of itself once a second.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{ROUND_DEADLINE, ask, extension};
use crate::coordination::node::Node;
use crate::coordination::node::state::{LeaderContact, PeerView};
use crate::coordination::shard::TaskCounts;
use crate::coordination::worker_leases::advance_delegation::AdvanceDelegation;
use crate::protocol::peers::{PeerAnswer, PeerHeartbeat, PeerRequest, Progress};
use crate::protocol::{FencingToken, JobId};

/// Jobs whose counts one heartbeat carries: some 1.5 MB, which all versions read.
const MOST_PROGRESS: usize = 50_000;
/// How long a worker that came by counts as heard.
const HEARD: Duration = Duration::from_secs(8);

/// What this node says of itself.
pub fn own_heartbeat(node: &Node) -> PeerHeartbeat {
    let now = node.now();
    let kv_served = !node.kv_lost();
    let mut inner = node.lock();
    inner
        .workers
        .retain(|_, at| now.saturating_duration_since(*at) < HEARD);
    let fencing_token = inner
        .leadership
        .as_ref()
        .filter(|own| own.lease.live(now))
        .map(|own| own.lease.fencing_token);
    PeerHeartbeat {
        node_id: node.node_id().to_owned(),
        zone: node.settings.platform.area.clone(),
        kv_served,
        reachable_workers: inner.workers.len() as u32,
        up_s: node.up_time().as_secs(),
        fencing_token,
        main_zone: inner.peers.main_zone.clone(),
        progress: Vec::new(),
        ineligible: inner
            .candidacy
            .ineligible_until
            .is_some_and(|until| until > now),
        // An earlier run may have answered workers until this one started.
        answered_by_advance_delegation_ago_ms: now
            .saturating_duration_since(
                inner
                    .delegate
                    .answered_by_advance_delegation
                    .unwrap_or(node.started),
            )
            .as_millis() as u64,
    }
}

/// How far the jobs are, if this node runs the shard. Jobs of which nothing runs or is done
/// are left out: a job that isn't named is pending. Beyond the most that a frame holds, the
/// counts of some jobs aren't shown by other controllers; they are for display alone.
fn progress(node: &Node) -> Vec<Progress> {
    let inner = node.lock();
    let Some(own) = &inner.leadership else {
        return Vec::new();
    };
    let row = |(job, counts): (&JobId, TaskCounts)| Progress {
        job: job.to_string(),
        done: counts.done,
        running: counts.running,
    };
    let begun = |(_, counts): &(&JobId, TaskCounts)| counts.done + counts.running > 0;
    let rows = own.shard.progress().filter(begun).take(MOST_PROGRESS);
    let rows: Vec<Progress> = rows.map(row).collect();
    if rows.is_empty() {
        // A frame without rows says nothing of the jobs.
        return own.shard.progress().take(1).map(row).collect();
    }
    rows
}

/// What this node says of itself and, if it runs the shard, of the jobs.
pub fn leader_heartbeat(node: &Node) -> PeerHeartbeat {
    PeerHeartbeat {
        progress: progress(node),
        ..own_heartbeat(node)
    }
}

/// Sends a heartbeat to every other controller; the answers are taken in as they come.
pub(super) fn send_to_all(node: &Arc<Node>) {
    let own = leader_heartbeat(node);
    for peer in &node.settings.platform.others {
        let (node, peer) = (node.clone(), peer.clone());
        let (request, told) = (PeerRequest::Heartbeat(own.clone()), own.fencing_token);
        tokio::spawn(async move {
            let sent = node.now();
            let answer = ask(&node, &peer, &request, ROUND_DEADLINE).await;
            if let Some(PeerAnswer::Heartbeat(heartbeat)) = answer {
                heartbeat_answered(&node, heartbeat, sent, told);
            }
        });
    }
}

/// Answers a heartbeat, which allows its sender in advance to answer workers.
pub fn answer_heartbeat(node: &Node, heartbeat: PeerHeartbeat) -> PeerHeartbeat {
    let node_id = heartbeat.node_id.clone();
    note_heartbeat(node, heartbeat);
    let answer = own_heartbeat(node);
    if let Some(fencing_token) = answer.fencing_token
        && let Some(own) = &mut node.lock().leadership
        && own.lease.fencing_token == fencing_token
    {
        own.advance_grants.grant(&node_id, node.now());
    }
    answer
}

/// Takes in the answer to a heartbeat that was sent at `sent` under the fencing token `told`.
pub(crate) fn heartbeat_answered(
    node: &Node,
    heartbeat: PeerHeartbeat,
    sent: Instant,
    told: Option<FencingToken>,
) {
    let now = node.now();
    let kept = now.checked_sub(Duration::from_millis(
        heartbeat.answered_by_advance_delegation_ago_ms,
    ));
    {
        let mut inner = node.lock();
        if let Some(fencing_token) = heartbeat.fencing_token {
            inner.delegate.advance = Some(AdvanceDelegation::renewed(
                inner.delegate.advance,
                fencing_token,
                sent,
            ));
        }
        // Who was told our fencing token keeps nothing for a while.
        if let Some(own) = &mut inner.leadership
            && told == Some(own.lease.fencing_token)
        {
            let kept = kept.unwrap_or(own.lease.since);
            own.advance_grants.answered(&heartbeat.node_id, sent, kept);
        }
    }
    note_heartbeat(node, heartbeat);
}

/// Notes what a peer says of itself.
pub fn note_heartbeat(node: &Node, mut heartbeat: PeerHeartbeat) {
    let at = node.now();
    let mut inner = node.lock();
    if heartbeat.fencing_token.is_some() && !heartbeat.progress.is_empty() {
        inner.peers.progress = std::mem::take(&mut heartbeat.progress)
            .into_iter()
            .map(|row| {
                let counts = TaskCounts {
                    done: row.done,
                    running: row.running,
                };
                (row.job, counts)
            })
            .collect();
    }
    if let Some(fencing_token) = heartbeat.fencing_token {
        extension::end_earlier(&inner, fencing_token);
    }
    if let Some(fencing_token) = heartbeat.fencing_token
        && inner
            .peers
            .leader_contact
            .is_none_or(|contact| fencing_token >= contact.fencing_token)
    {
        inner.peers.leader_contact = Some(LeaderContact { fencing_token, at });
    }
    if heartbeat.fencing_token.is_some() && heartbeat.main_zone.is_some() {
        inner.peers.main_zone.clone_from(&heartbeat.main_zone);
    }
    inner
        .peers
        .views
        .insert(heartbeat.node_id.clone(), PeerView { heartbeat, at });
}
