//! Actions that the shard requests from the action executor.

use super::ShardWrite;
use crate::protocol::cloud::Rental;
use crate::protocol::workers::{Command, WorkerHeartbeat};
use crate::protocol::{FencingToken, JobId, MachineId};

/// A request to the action executor. The executor returns the outcome of each through the
/// method of [`super::Shard`] that the variant names.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send `/commands` to a worker; answered by [`super::Shard::command_answered`].
    Command {
        /// The machine that they are for.
        machine: MachineId,
        /// Its worker's address.
        addr: String,
        /// The agent epoch in which the worker is to execute them.
        agent_epoch: u64,
        /// Tells this batch from others of the machine.
        number: u64,
        /// The commands; an empty batch is a probe, which only asks for a heartbeat.
        commands: Vec<Command>,
    },
    /// Write to the shard's keys; answered by [`super::Shard::write_applied`].
    Write(ShardWrite),
    /// Record that a job is done; answered by [`super::Shard::job_finished`].
    Finish {
        /// The job.
        job: JobId,
        /// The revision at which its record was last modified.
        mod_revision: u64,
    },
    /// Read a finished job's record; answered by [`super::Shard::orphan_job_resolved`].
    ReadFinal {
        /// The job.
        job: JobId,
    },
    /// Rent machines; answered by [`super::Shard::rental_answered`].
    Rent(Rental),
    /// Delete machines; answered by [`super::Shard::deletion_answered`].
    Delete(Vec<MachineId>),
    /// A worker has seen a higher fencing token: another controller may lead the shard.
    Fenced {
        /// That fencing token.
        seen: FencingToken,
    },
}

/// The outcome of a batch of commands.
#[derive(Debug, Clone)]
pub enum CommandOutcome {
    /// 200: executed; with the heartbeat that shows the worker's tasks after it.
    Executed(WorkerHeartbeat),
    /// 409: not executed; with the worker's heartbeat.
    Refused(WorkerHeartbeat),
    /// It surely never left this controller.
    NotSent,
    /// It may have been executed, or may still be.
    NoAnswer,
}
