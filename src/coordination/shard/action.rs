//! The actions that [`super::Shard`] requests from the action executor, and the outcome of a
//! batch of commands.
//!
//! The shard itself performs no I/O: it queues actions, the executor carries them out.

use super::ShardWrite;
use crate::protocol::cloud::Rental;
use crate::protocol::workers::{Command, WorkerHeartbeat};
use crate::protocol::{CommandToken, JobId, MachineId};

/// A request to the action executor. After carrying out an action, the executor reports the
/// outcome to the method of [`super::Shard`] that the variant's documentation names.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a batch of commands to a worker (`/commands`). Immediately before it is sent, a batch
    /// that isn't a probe is replaced by [`super::Shard::due_batch`]. The outcome goes to
    /// [`super::Shard::command_answered`].
    Command {
        /// The machine on which the worker runs.
        machine: MachineId,
        /// The worker's address.
        addr: String,
        /// The agent epoch in which the worker is to execute the commands.
        agent_epoch: u64,
        /// The token under which the worker is to execute the commands.
        token: CommandToken,
        /// Identifies this batch among all batches sent to the machine.
        number: u64,
        /// The commands. An empty batch is a probe, which only asks the worker for a heartbeat.
        commands: Vec<Command>,
    },
    /// Write to the shard's keys in the key-value store. The outcome goes to
    /// [`super::Shard::write_applied`].
    Write(ShardWrite),
    /// Replace the record of a job whose tasks have all completed by its final record. The
    /// outcome goes to [`super::Shard::job_finished`].
    Finish {
        /// The job's id.
        job: JobId,
        /// The store revision at which the job's record was last modified.
        mod_revision: u64,
    },
    /// Read a finished job's final record. The outcome goes to
    /// [`super::Shard::orphan_job_resolved`].
    ReadFinal {
        /// The job's id.
        job: JobId,
    },
    /// Rent machines from the cloud. The outcome goes to [`super::Shard::rental_answered`].
    Rent(Rental),
    /// Delete machines in the cloud. The outcome goes to [`super::Shard::deletion_answered`].
    Delete(Vec<MachineId>),
    /// Report that a worker has seen a higher token than any of this leader's: another
    /// controller may lead the shard by now.
    Fenced {
        /// The higher token.
        seen: CommandToken,
    },
}

/// The outcome of sending a batch of commands to a worker.
#[derive(Debug, Clone)]
pub enum CommandOutcome {
    /// The worker executed the batch and answered 200, with a heartbeat that lists its tasks
    /// after the execution.
    Executed(WorkerHeartbeat),
    /// The worker did not execute the batch and answered 409, with its heartbeat.
    Refused(WorkerHeartbeat),
    /// The batch was certainly not sent: the worker can't execute it.
    NotSent,
    /// No answer arrived: the worker may have executed the batch, or may still do so.
    NoAnswer,
}

impl CommandOutcome {
    /// The outcome as text for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Executed(_) => "executed",
            Self::Refused(_) => "refused",
            Self::NotSent => "not sent",
            Self::NoAnswer => "no answer",
        }
    }
}
