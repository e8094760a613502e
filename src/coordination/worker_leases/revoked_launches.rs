//! Launches that the leader has revoked, at a delegate.
//!
//! A partition may hold back a launch for as long as it lasts. The worker executes the launch
//! afterwards if it is still in the same agent epoch and has seen no higher fencing token, and a
//! delegate that renews the worker's lease keeps it so. If the leader has requested a stop of the
//! attempt meanwhile, for instance since its job was cancelled, the delegate therefore launches and
//! stops the attempt in one answer: a worker that knows an attempt ignores later launches of it.

use std::collections::HashMap;
use std::time::Duration;

use super::commands::CommandList;
use super::run_permit::RunPermit;
use crate::protocol::FencingToken;
use crate::protocol::workers::{TaskState, WorkerHeartbeat};
use crate::storage::records::RevokedLaunch;

/// The launches that a leader has revoked, by machine.
#[derive(Debug, Default)]
pub struct RevokedLaunches {
    fencing_token: FencingToken,
    by_machine: HashMap<String, Vec<RevokedLaunch>>,
}

impl RevokedLaunches {
    /// The launches that the leader with this fencing token has revoked.
    pub fn new(fencing_token: FencingToken, launches: Vec<RevokedLaunch>) -> Self {
        let mut by_machine: HashMap<String, Vec<RevokedLaunch>> = HashMap::new();
        for launch in launches {
            let of_machine = by_machine.entry(launch.machine.clone()).or_default();
            of_machine.push(launch);
        }
        Self {
            fencing_token,
            by_machine,
        }
    }

    /// Adds to the answer to a heartbeat, on behalf of the leader with this fencing token, the commands
    /// that make the worker's revoked launches ineffective.
    pub fn add_commands(
        &self,
        permit: &RunPermit,
        leadership: FencingToken,
        heartbeat: &WorkerHeartbeat,
        commands: &mut CommandList,
    ) {
        if self.fencing_token != leadership {
            return;
        }
        let of_machine = self.by_machine.get(&heartbeat.machine);
        let of_epoch = of_machine
            .into_iter()
            .flatten()
            .filter(|launch| launch.agent_epoch == heartbeat.agent_epoch);
        for launch in of_epoch {
            add_commands_against(launch, permit, heartbeat, commands);
        }
    }
}

/// Adds the commands that make one launch ineffective; none if its attempt has ended.
fn add_commands_against(
    launch: &RevokedLaunch,
    permit: &RunPermit,
    heartbeat: &WorkerHeartbeat,
    commands: &mut CommandList,
) {
    let attempt_id = launch.attempt_id();
    let mut listed = heartbeat.tasks.iter();
    let listed = listed.find(|status| status.attempt_id() == attempt_id);
    match listed.map(|status| status.state) {
        Some(TaskState::Ended) => {}
        Some(_) => commands.stop(&attempt_id, Duration::ZERO),
        None => commands.launch_and_stop(&attempt_id, permit),
    }
}

#[cfg(test)]
mod tests;
