//! Answers to workers' heartbeats. This is the only place that decides whether a worker's lease is
//! renewed.
//!
//! [`crate::api`] passes in each heartbeat. If this controller leads with a live lease, its shard
//! decides on the answer. Otherwise the controller may renew the worker's lease on behalf of the
//! leader if `worker_leases` permits it.

use std::sync::Arc;

use super::node::Node;
use super::shard::HeartbeatOutcome;
use super::worker_leases::commands::CommandList;
use super::worker_leases::lease_renewal::LeaseRenewal;
use super::worker_leases::{DelegatedRenewal, RenewalAuthority};
use crate::protocol::workers::{Command, CommandSummary, Redirect, WorkerHeartbeat};
use crate::protocol::{FencingToken, TaskId};

/// How a heartbeat is answered, with the HTTP status of each answer.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// 200: the worker's lease is renewed, and the worker executes the commands in the response.
    Renewed(LeaseRenewal),
    /// 503: the machine is known to be deleted, or the worker has seen a higher fencing token.
    Refused,
    /// 421: this controller may not renew the worker's lease. The redirect names the leader, if
    /// it is known.
    Redirected(Redirect),
}

/// Answers a heartbeat as the leader or on behalf of the leader, or redirects the worker.
pub fn handle_heartbeat(node: &Arc<Node>, heartbeat: &WorkerHeartbeat) -> HeartbeatDecision {
    let now = node.now();
    node.lock()
        .worker_heartbeats
        .insert(heartbeat.machine.clone(), now);
    answer_as_leader(node, heartbeat)
        .or_else(|| answer_on_behalf_of_leader(node, heartbeat))
        .unwrap_or_else(|| redirect(node, other_leader(node)))
}

/// Answers as the shard decides. Returns `None` if this controller doesn't hold a live lease on the
/// shard.
fn answer_as_leader(node: &Arc<Node>, heartbeat: &WorkerHeartbeat) -> Option<HeartbeatDecision> {
    let lease = node.live_lease()?;
    let outcome = node.with_shard(&lease, "heartbeats", |shard, now| {
        shard.heartbeat(heartbeat, now)
    })?;
    // The shard's decision takes time, so the lease has to be checked again.
    if !lease.is_live(node.now()) {
        return None;
    }
    Some(match outcome {
        HeartbeatOutcome::Refuse => refuse(node),
        HeartbeatOutcome::Withhold => redirect(node, None),
        HeartbeatOutcome::Renew(renewal) => {
            renew(node, RenewalAuthority::Leader, heartbeat, renewal)
        }
    })
}

/// Counts and logs the answer that renews the worker's lease.
fn renew(
    node: &Node,
    authority: RenewalAuthority,
    heartbeat: &WorkerHeartbeat,
    renewal: LeaseRenewal,
) -> HeartbeatDecision {
    let count = |is_counted: fn(&&Command) -> bool| {
        let commands = renewal.commands().iter();
        commands.filter(is_counted).count()
    };
    let stops = count(|command| matches!(command, Command::Stop { .. }));
    let launches = count(|command| matches!(command, Command::Launch { .. }));
    let now = node.now();
    let mut state = node.lock();
    state
        .counters
        .heartbeat_answers
        .record_renewal(authority, stops);
    let known = node.cancellations_known_up_to(&state, now);
    tracing::debug!(
        machine = heartbeat.machine,
        agent_epoch = heartbeat.agent_epoch,
        sequence = heartbeat.sequence,
        seen = %heartbeat.fencing_token,
        fencing_token = %renewal.token(),
        %authority,
        staleness_s = known.map(|known| now.saturating_duration_since(known).as_secs_f64()),
        tasks = heartbeat.tasks.len(),
        stops,
        launches,
        commands = %CommandSummary(renewal.commands()),
        "worker's lease renewed"
    );
    HeartbeatDecision::Renewed(renewal)
}

fn refuse(node: &Node) -> HeartbeatDecision {
    node.lock().counters.heartbeat_answers.record_refusal();
    HeartbeatDecision::Refused
}

/// Renews the worker's lease on behalf of a leader that can't. Returns `None` if this controller
/// may not do so.
fn answer_on_behalf_of_leader(
    node: &Arc<Node>,
    heartbeat: &WorkerHeartbeat,
) -> Option<HeartbeatDecision> {
    let permit = node.run_permit()?;
    let DelegatedRenewal {
        authority,
        fencing_token,
        command_token,
    } = node.delegated_renewal(heartbeat)?;
    apply_to_own_shard(node, fencing_token, heartbeat);
    // The controller starts no tasks on the leader's behalf and stops only those of finished jobs, and
    // those whose launches the leader has revoked.
    let is_open = |task: &TaskId| node.job_index.is_open(&task.job);
    let mut commands = CommandList::new(command_token);
    node.lock().delegate.revoked_launches.add_commands(
        &permit,
        fencing_token,
        heartbeat,
        &mut commands,
    );
    let renewal = LeaseRenewal::new(&permit, heartbeat, commands, is_open);
    Some(renew(node, authority, heartbeat, renewal))
}

/// Applies the heartbeat to this controller's own shard if the shard's lease has this fencing
/// token: votes may still revive that lease.
fn apply_to_own_shard(node: &Arc<Node>, fencing_token: FencingToken, heartbeat: &WorkerHeartbeat) {
    let lease = node.lease();
    if let Some(lease) = lease.filter(|lease| lease.fencing_token == fencing_token) {
        node.with_shard(&lease, "heartbeats", |shard, now| {
            shard.heartbeat(heartbeat, now)
        });
    }
}

/// The node id of the leader, if another controller is known to lead.
fn other_leader(node: &Node) -> Option<String> {
    node.leader_id().filter(|node_id| node_id != node.node_id())
}

/// Redirects the worker to this leader, if it is known.
fn redirect(node: &Node, leader: Option<String>) -> HeartbeatDecision {
    node.lock().counters.heartbeat_answers.record_redirect();
    HeartbeatDecision::Redirected(Redirect { leader })
}
