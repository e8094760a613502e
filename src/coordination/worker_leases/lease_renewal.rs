//! The answer that renews a worker's lease.
//!
//! An answer lets every task that the heartbeat lists run for another lease. So a controller must not
//! only know the recent cancellations ([`super::run_permit`]): the answer has to stop each listed
//! task whose job, as far as the controller knows, is not open. [`LeaseRenewal::new`] is the only
//! way to renew a lease and adds these stops, whatever the caller knows about the attempts, and
//! whether or not the worker has seen the controller's fencing token: a stop names one attempt, whose
//! number is never used again.

use std::time::Duration;

use super::commands::CommandList;
use super::run_permit::RunPermit;
use crate::protocol::workers::{
    Command, HeartbeatResponse, TaskState, TaskStatus, WorkerHeartbeat,
};
use crate::protocol::{AttemptId, CommandToken, TaskId};

/// The commands of an answer that renews a worker's lease, with a stop for each task that must not
/// run on.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaseRenewal {
    commands: CommandList,
    missing_stops: Vec<AttemptId>,
}

impl LeaseRenewal {
    /// The answer to `heartbeat` with these commands, under their token, and with the stops that
    /// they lack: of each task that is listed or launched and of which `is_open` says that its job is
    /// not open.
    pub fn new(
        _: &RunPermit,
        heartbeat: &WorkerHeartbeat,
        mut commands: CommandList,
        is_open: impl Fn(&TaskId) -> bool,
    ) -> Self {
        let is_live = |status: &&TaskStatus| status.state != TaskState::Ended;
        let listed = heartbeat.tasks.iter().filter(is_live);
        let is_launch = |command: &&Command| matches!(command, Command::Launch { .. });
        let launched = commands.commands().iter().filter(is_launch);
        let missing_stops: Vec<AttemptId> = listed
            .map(TaskStatus::attempt_id)
            .chain(launched.map(Command::attempt_id))
            .filter(|attempt_id| !is_open(&attempt_id.task))
            .filter(|attempt_id| !stops_at_once(commands.commands(), attempt_id))
            .collect();
        for attempt_id in &missing_stops {
            commands.stop(attempt_id, Duration::ZERO);
        }
        Self {
            commands,
            missing_stops,
        }
    }

    /// The commands for the worker.
    pub fn commands(&self) -> &[Command] {
        self.commands.commands()
    }

    /// The attempts whose stops the caller's commands lacked.
    pub fn missing_stops(&self) -> &[AttemptId] {
        &self.missing_stops
    }

    /// The token under which the worker executes the commands.
    pub fn token(&self) -> CommandToken {
        self.commands.token()
    }

    /// The message to the worker.
    pub fn into_response(self) -> HeartbeatResponse {
        HeartbeatResponse {
            fencing_token: self.commands.token(),
            commands: self.commands.into_commands(),
        }
    }
}

/// Whether the commands stop an attempt without a grace period.
fn stops_at_once(commands: &[Command], attempt_id: &AttemptId) -> bool {
    commands.iter().any(|command| match command {
        Command::Stop { grace_s, .. } => *grace_s <= 0.0 && command.attempt_id() == *attempt_id,
        Command::Launch { .. } | Command::Clear { .. } => false,
    })
}

#[cfg(test)]
mod tests;
