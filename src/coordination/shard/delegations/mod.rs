//! Renewal of worker leases by other controllers than the leader.
//!
//! In a network partition the leader may miss the heartbeats of workers that still reach
//! another controller. The leader then delegates the renewal of their leases to it: the
//! delegate answers their heartbeats with the leader's fencing token, so that what runs
//! there goes on, and stops only tasks of finished jobs. Apart from that, an advance
//! delegation lets a controller go on answering for a while without the store.
//!
//! While another controller may renew leases, the leader takes no lease to have expired.
//! Once the last delegation has ended, leases count from the last moment at which the
//! delegate may have answered.
//!
//! [`Delegations`] owns that state; `grants` and `inventories` connect it to the shard. The
//! peering code says which controllers can't be reached and calls them; nothing here sends
//! or reads anything.

mod grants;
mod inventories;
mod table;

pub(in crate::coordination::shard) use table::{AdvanceRenewals, Delegations};

use std::time::Duration;

use super::dispatch::stop_command;
use crate::protocol::workers::{Command, TaskState, WorkerHeartbeat};

/// What a delegate commands a worker in answer to a heartbeat. It starts nothing, but stops
/// tasks of jobs that are not open: a cancelled job has to end within its time also where
/// the worker's lease is renewed.
pub fn delegate_commands(
    heartbeat: &WorkerHeartbeat,
    is_open: impl Fn(&str) -> bool,
) -> Vec<Command> {
    heartbeat
        .tasks
        .iter()
        .filter(|line| line.state != TaskState::Ended && !is_open(&line.task.job))
        .map(|line| stop_command(&line.task, line.attempt, Duration::ZERO))
        .collect()
}

#[cfg(test)]
mod tests;
