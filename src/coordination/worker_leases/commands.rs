//! The commands that start and stop attempts. Every launch and stop that a controller sends is built
//! here.

use std::time::Duration;

use super::run_permit::RunPermit;
use crate::protocol::AttemptId;
use crate::protocol::workers::Command;

/// The command that starts an attempt. The worker may run it for the rest of its lease.
pub fn launch_command(attempt_id: &AttemptId, _: &RunPermit) -> Command {
    Command::Launch {
        task: attempt_id.task.clone(),
        attempt: attempt_id.number,
    }
}

/// The command that stops an attempt and gives it `grace` to save its progress.
pub fn stop_command(attempt_id: &AttemptId, grace: Duration) -> Command {
    Command::Stop {
        task: attempt_id.task.clone(),
        attempt: attempt_id.number,
        grace_s: grace.as_secs_f64(),
    }
}
