//! The commands that go to a worker in one message, under one token. Every launch, stop and clear that
//! a controller sends is built here.

use std::time::Duration;

use super::launch_fence::{ClearProof, LaunchFence};
use super::run_permit::RunPermit;
use crate::protocol::workers::Command;
use crate::protocol::{AttemptId, CommandToken};

/// The commands of one message to a worker, and the token under which it executes them.
#[derive(Debug, Clone, PartialEq)]
pub struct CommandList {
    token: CommandToken,
    commands: Vec<Command>,
}

impl CommandList {
    /// A message without commands.
    pub fn new(token: CommandToken) -> Self {
        Self {
            token,
            commands: Vec::new(),
        }
    }

    /// Adds the command that starts an attempt. The worker may run it for the rest of its lease.
    pub fn launch(&mut self, attempt_id: &AttemptId, fence: &mut LaunchFence, _: &RunPermit) {
        fence.note_launch(self.token);
        self.push_launch(attempt_id);
    }

    /// Adds a launch and a stop of an attempt whose launch the leader has revoked, to the answer to a
    /// heartbeat: such an answer never takes effect late, and the leader never clears the attempt.
    pub fn launch_and_stop(&mut self, attempt_id: &AttemptId, _: &RunPermit) {
        self.push_launch(attempt_id);
        self.stop(attempt_id, Duration::ZERO);
    }

    /// Adds the command that stops an attempt and gives it `grace` to save its progress.
    pub fn stop(&mut self, attempt_id: &AttemptId, grace: Duration) {
        self.commands.push(Command::Stop {
            task: attempt_id.task.clone(),
            attempt: attempt_id.number,
            grace_s: grace.as_secs_f64(),
        });
    }

    /// Adds the command that lets the worker forget an ended attempt, if no copy of its launches can
    /// start it again afterwards; returns the proof of that.
    pub fn clear(&mut self, attempt_id: &AttemptId, fence: LaunchFence) -> Option<ClearProof> {
        let proof = fence.clear_proof(self.token)?;
        self.commands.push(Command::Clear {
            task: attempt_id.task.clone(),
            attempt: attempt_id.number,
        });
        Some(proof)
    }

    /// Removes and returns the commands for which `predicate` is true.
    pub fn remove(&mut self, predicate: impl Fn(&Command) -> bool) -> Vec<Command> {
        self.commands
            .extract_if(.., |command| predicate(command))
            .collect()
    }

    /// The token of the message.
    pub fn token(&self) -> CommandToken {
        self.token
    }

    /// The commands in the order in which the worker executes them.
    pub fn commands(&self) -> &[Command] {
        &self.commands
    }

    /// Whether the message holds no command.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    /// The commands, without their token.
    pub fn into_commands(self) -> Vec<Command> {
        self.commands
    }

    fn push_launch(&mut self, attempt_id: &AttemptId) {
        self.commands.push(Command::Launch {
            task: attempt_id.task.clone(),
            attempt: attempt_id.number,
        });
    }
}

#[cfg(test)]
mod tests;
