//! Answering workers' heartbeats: the one place that decides whether a worker's lease is renewed.
//!
//! [`crate::api`] passes in each heartbeat. The leader's shard decides on it; without a live lease
//! the controller may renew the worker's lease for the leader, if `worker_leases` says so.

use std::sync::Arc;

use super::node::Node;
use super::shard::{HeartbeatOutcome, delegate_commands};
use crate::protocol::FencingToken;
use crate::protocol::workers::{HeartbeatResponse, Redirect, WorkerHeartbeat};

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// 200: the worker's lease is renewed, and it executes these commands.
    Renewed(HeartbeatResponse),
    /// 503: the machine is known to be deleted, or the worker obeys a higher fencing token.
    Refused,
    /// 421: this controller may not renew the lease. It names the leader, if known.
    Redirected(Redirect),
}

/// Answers a heartbeat as the leader, or on its behalf, or redirects the worker.
pub fn handle_heartbeat(node: &Arc<Node>, heartbeat: &WorkerHeartbeat) -> HeartbeatDecision {
    let now = node.now();
    node.lock()
        .worker_heartbeats
        .insert(heartbeat.machine.clone(), now);
    answer_as_leader(node, heartbeat)
        .or_else(|| answer_for_leader(node, heartbeat))
        .unwrap_or_else(|| redirect(node))
}

/// The shard's answer; `None` if this controller doesn't hold a live lease on the shard.
fn answer_as_leader(node: &Arc<Node>, heartbeat: &WorkerHeartbeat) -> Option<HeartbeatDecision> {
    let lease = node.live_lease()?;
    let outcome = node.with_shard(&lease, "heartbeats", |shard, now| {
        shard.heartbeat(heartbeat, now)
    })?;
    // The shard's decision takes time: the lease has to be live after it.
    let now = node.now();
    if !lease.is_live(now) {
        return None;
    }
    let commands = match outcome {
        HeartbeatOutcome::Refuse => return Some(HeartbeatDecision::Refused),
        HeartbeatOutcome::Answer(commands) => commands,
    };
    if !node.may_renew_leases(now) {
        let without_leader = Redirect { leader: None };
        return Some(HeartbeatDecision::Redirected(without_leader));
    }
    Some(HeartbeatDecision::Renewed(HeartbeatResponse {
        fencing_token: lease.fencing_token,
        commands,
    }))
}

/// Renews the worker's lease for a leader that can't; `None` if this controller may not.
fn answer_for_leader(node: &Arc<Node>, heartbeat: &WorkerHeartbeat) -> Option<HeartbeatDecision> {
    if !node.may_renew_leases(node.now()) {
        return None;
    }
    let fencing_token = node.delegated_fencing_token(heartbeat)?;
    inform_own_shard(node, fencing_token, heartbeat);
    let commands = delegate_commands(heartbeat, |job| node.job_index.is_open(job));
    Some(HeartbeatDecision::Renewed(HeartbeatResponse {
        fencing_token,
        commands,
    }))
}

/// Applies the heartbeat to this controller's own shard if its lease has that token: votes may
/// still revive the lease.
fn inform_own_shard(node: &Arc<Node>, fencing_token: FencingToken, heartbeat: &WorkerHeartbeat) {
    let lease = node.lease();
    if let Some(lease) = lease.filter(|lease| lease.fencing_token == fencing_token) {
        node.with_shard(&lease, "heartbeats", |shard, now| {
            shard.heartbeat(heartbeat, now)
        });
    }
}

/// Names the leader, if another controller is known to be it.
fn redirect(node: &Node) -> HeartbeatDecision {
    let leader = node.leader_id().filter(|node_id| node_id != node.node_id());
    HeartbeatDecision::Redirected(Redirect { leader })
}
