//! Renewal of worker leases by controllers other than the leader.
//!
//! In a network partition the leader may miss the heartbeats of workers that still reach
//! another controller. The leader then delegates the renewal of these workers' leases to that
//! controller, the delegate. The delegate answers the heartbeats with the leader's fencing
//! token, so that the workers' tasks keep running, and stops only tasks of finished jobs. In
//! addition, an advance delegation lets a controller answer heartbeats for a limited time while
//! it can't reach the store.
//!
//! While another controller may renew leases, the leader treats no worker's lease as expired.
//! Whenever a delegation has ended, every lease counts as renewed at that moment, since the
//! delegate may have answered heartbeats until then.
//!
//! [`Delegations`] owns the state of the delegations; `grants` and `inventories` connect it to
//! the shard. The peering code determines which controllers are unreachable and calls these
//! functions; this module does no I/O.

mod grants;
mod inventories;
mod table;

pub(in crate::coordination::shard) use table::{AdvanceRenewals, Delegations};

use std::time::Duration;

use super::dispatch::stop_command;
use crate::protocol::workers::{Command, TaskState, WorkerHeartbeat};

/// The commands with which a delegate answers a worker's heartbeat. A delegate starts no tasks,
/// but stops the tasks of jobs that are not open: a cancelled job has to end within its deadline
/// also on workers whose leases a delegate renews.
pub fn delegate_commands(
    heartbeat: &WorkerHeartbeat,
    is_open: impl Fn(&str) -> bool,
) -> Vec<Command> {
    heartbeat
        .tasks
        .iter()
        .filter(|status| status.state != TaskState::Ended && !is_open(&status.task.job))
        .map(|status| stop_command(&status.task, status.attempt, Duration::ZERO))
        .collect()
}

#[cfg(test)]
mod tests;
