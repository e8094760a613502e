//! Sends batches of commands to workers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use tracing::{debug, warn};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::Node;
use crate::coordination::shard::CommandOutcome;
use crate::protocol::workers::{Command, CommandBatch};
use crate::transport::client::{Answer, CallError};

/// Time from sending a batch of commands until it counts as unanswered.
const COMMAND_DEADLINE: Duration = Duration::from_secs(2);
/// The same for a probe: an empty batch, which only requests the worker's status.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);

/// Sends one batch of commands to the worker at `addr` and returns its outcome. An empty batch
/// is a probe. Waits for a permit first, since commands and probes in flight are limited.
pub(super) async fn send(
    node: &Node,
    lease: &ShardLease,
    addr: &str,
    agent_epoch: u64,
    commands: &[Command],
) -> CommandOutcome {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        return CommandOutcome::NotSent;
    };
    let batch = CommandBatch {
        fencing_token: lease.fencing_token,
        agent_epoch,
        commands: commands.to_vec(),
    };
    let Ok(body) = serde_json::to_vec(&batch) else {
        return CommandOutcome::NotSent;
    };
    let (deadline, permits) = if commands.is_empty() {
        (PROBE_DEADLINE, &node.admission.probes)
    } else {
        (COMMAND_DEADLINE, &node.admission.commands)
    };
    let queued_at = node.now();
    let _permit = permits.acquire().await;
    let waited = node.now().saturating_duration_since(queued_at);
    node.lock().counters.batches.record_sent(waited);
    debug!(
        %addr,
        fencing_token = %lease.fencing_token,
        agent_epoch,
        commands = commands.len(),
        waited_s = waited.as_secs_f64(),
        "batch of commands may be sent"
    );
    // Both may have expired while the batch waited.
    if !lease.is_live(node.now()) || !may_execute(node, commands) {
        return CommandOutcome::NotSent;
    }
    let result = node
        .workers_http()
        .call(Method::POST, addr, "/commands", body, deadline)
        .await;
    match result {
        Ok(answer) => command_outcome(&answer, addr),
        Err(CallError::NotSent) => CommandOutcome::NotSent,
        Err(CallError::NoAnswer | CallError::TooLarge) => CommandOutcome::NoAnswer,
    }
}

/// Whether the worker may execute the commands now: launches need a permit to let tasks run.
fn may_execute(node: &Node, commands: &[Command]) -> bool {
    let is_launch = |command: &Command| matches!(command, Command::Launch { .. });
    !commands.iter().any(is_launch) || node.run_permit().is_some()
}

fn command_outcome(answer: &Answer, addr: SocketAddr) -> CommandOutcome {
    match (answer.status, serde_json::from_slice(&answer.body)) {
        (StatusCode::OK, Ok(heartbeat)) => CommandOutcome::Executed(heartbeat),
        (StatusCode::CONFLICT, Ok(heartbeat)) => CommandOutcome::Refused(heartbeat),
        (status, _) => {
            warn!(%addr, %status, "a worker's answer has an unexpected status or cannot be parsed");
            CommandOutcome::NoAnswer
        }
    }
}
