//! Sends batches of commands to workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use tracing::{debug, warn};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::Node;
use crate::coordination::shard::CommandOutcome;
use crate::protocol::workers::{Command, CommandBatch, CommandSummary};
use crate::protocol::{CommandToken, MachineId};
use crate::transport::client::{Answer, CallError};

/// Time from sending a batch of commands until it counts as unanswered.
const COMMAND_DEADLINE: Duration = Duration::from_secs(2);
/// The same for a probe: an empty batch, which only requests the worker's status.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);

/// A batch of commands on its way to a worker. An empty batch is a probe.
pub(super) struct CommandDelivery {
    pub(super) machine: MachineId,
    pub(super) addr: String,
    pub(super) agent_epoch: u64,
    pub(super) token: CommandToken,
    pub(super) number: u64,
    pub(super) commands: Vec<Command>,
}

impl CommandDelivery {
    /// Sends the batch and reports the outcome to the shard.
    pub(super) async fn deliver(mut self, node: &Arc<Node>, lease: &Arc<ShardLease>) {
        let Some(outcome) = self.send(node, lease).await else {
            return;
        };
        self.log_outcome(lease, &outcome);
        node.with_shard(lease, "answers", |shard, now| {
            shard.command_answered(&self.machine, self.number, &self.commands, outcome, now);
        });
    }

    /// Waits for a permit, since commands and probes in flight are limited, and sends what the
    /// worker is to be sent then. `None` if that is nothing any more.
    async fn send(&mut self, node: &Arc<Node>, lease: &Arc<ShardLease>) -> Option<CommandOutcome> {
        let Ok(addr) = self.addr.parse::<SocketAddr>() else {
            return Some(CommandOutcome::NotSent);
        };
        let is_probe = self.commands.is_empty();
        let (deadline, permits) = if is_probe {
            (PROBE_DEADLINE, &node.admission.probes)
        } else {
            (COMMAND_DEADLINE, &node.admission.commands)
        };
        let queued_at = node.now();
        let _permit = permits.acquire().await;
        self.record_wait(node, lease, queued_at);
        // The lease may have expired while the batch waited.
        if !lease.is_live(node.now()) {
            return Some(CommandOutcome::NotSent);
        }
        if !is_probe {
            self.update(node, lease)?;
        }
        let Ok(body) = self.body() else {
            return Some(CommandOutcome::NotSent);
        };
        let result = node
            .workers_http()
            .call(Method::POST, addr, "/commands", body, deadline)
            .await;
        Some(match result {
            Ok(answer) => command_outcome(&answer, addr),
            Err(CallError::NotSent) => CommandOutcome::NotSent,
            Err(CallError::NoAnswer | CallError::TooLarge) => CommandOutcome::NoAnswer,
        })
    }

    /// Replaces the commands by those that are due now; `None` if none is.
    fn update(&mut self, node: &Arc<Node>, lease: &Arc<ShardLease>) -> Option<()> {
        let due = node.with_shard(lease, "batches", |shard, now| {
            shard.due_batch(&self.machine, self.number, now)
        });
        let due = due.flatten()?;
        self.agent_epoch = due.agent_epoch;
        self.token = due.commands.token();
        self.commands = due.commands.into_commands();
        Some(())
    }

    fn body(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(&CommandBatch {
            fencing_token: self.token,
            agent_epoch: self.agent_epoch,
            commands: self.commands.clone(),
        })
    }

    fn record_wait(&self, node: &Node, lease: &ShardLease, queued_at: Instant) {
        let waited = node.now().saturating_duration_since(queued_at);
        node.lock().counters.batches.record_sent(waited);
        debug!(
            machine = %self.machine,
            fencing_token = %lease.fencing_token,
            agent_epoch = self.agent_epoch,
            commands = self.commands.len(),
            waited_s = waited.as_secs_f64(),
            "batch of commands may be sent"
        );
    }

    fn log_outcome(&self, lease: &ShardLease, outcome: &CommandOutcome) {
        let heartbeat = match outcome {
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Refused(heartbeat) => {
                Some(heartbeat)
            }
            CommandOutcome::NotSent | CommandOutcome::NoAnswer => None,
        };
        debug!(
            machine = %self.machine,
            number = self.number,
            fencing_token = %lease.fencing_token,
            token = %self.token,
            agent_epoch = self.agent_epoch,
            commands = %CommandSummary(&self.commands),
            outcome = outcome.name(),
            seen = heartbeat.map(|heartbeat| heartbeat.fencing_token.revision()),
            sequence = heartbeat.map(|heartbeat| heartbeat.sequence),
            "batch of commands ended"
        );
    }
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
