//! What a worker's heartbeat is answered: the one place that decides whether its
//! lease goes on.

use std::sync::Arc;

use super::node::Node;
use super::shard::{HeartbeatOutcome, delegate_commands};
use crate::protocol::workers::{HeartbeatResponse, Redirect, WorkerHeartbeat};

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// 200: the worker's lease goes on, and it executes these commands.
    Renewed(HeartbeatResponse),
    /// 503: its machine is known to be gone, or a higher fencing token is about.
    Refused,
    /// 421: this controller isn't entitled to answer; that one may be.
    Elsewhere(Redirect),
}

/// Answers a heartbeat as the leader, or in its stead, or sends its worker on.
pub fn handle_heartbeat(node: &Arc<Node>, heartbeat: &WorkerHeartbeat) -> HeartbeatDecision {
    let now = node.now();
    node.lock().workers.insert(heartbeat.machine.clone(), now);
    if let Some(lease) = node.live_lease() {
        let outcome = node.with_shard(&lease, "reports", |shard, now| {
            shard.heartbeat(heartbeat, now)
        });
        // The shard took a moment: only a lease that still holds may answer.
        let now = node.now();
        match outcome {
            Some(HeartbeatOutcome::Refuse) if lease.live(now) => return HeartbeatDecision::Refused,
            Some(HeartbeatOutcome::Answer(commands)) if lease.live(now) => {
                if !node.may_renew_leases(now) {
                    return HeartbeatDecision::Elsewhere(Redirect { leader: None });
                }
                let fencing_token = lease.fencing_token;
                return HeartbeatDecision::Renewed(HeartbeatResponse {
                    fencing_token,
                    commands,
                });
            }
            _ => {}
        }
    }
    if node.may_renew_leases(node.now())
        && let Some(fencing_token) = node.delegated_fencing_token(heartbeat)
    {
        // A leader past its deadline stays informed: it may go on.
        if let Some(lease) = node
            .lease()
            .filter(|lease| lease.fencing_token == fencing_token)
        {
            node.with_shard(&lease, "reports", |shard, now| {
                shard.heartbeat(heartbeat, now)
            });
        }
        let commands = delegate_commands(heartbeat, |job| node.job_index.is_open(job));
        return HeartbeatDecision::Renewed(HeartbeatResponse {
            fencing_token,
            commands,
        });
    }
    let leader = node.leader_id().filter(|node_id| node_id != node.node_id());
    HeartbeatDecision::Elsewhere(Redirect { leader })
}
