//! Dispatch of commands to workers.
//!
//! This module decides which commands are sent to which worker and when: launches and stops
//! that other components requested on the attempts, clears, which permit a worker to forget
//! ended attempts, and probes. It also detects that a worker's lease has expired. The
//! [`Shard`] calls this module in every pass and tick; the action executor sends the batches
//! and returns their outcomes through [`Shard::command_answered`]. Which task runs on which
//! machine is decided elsewhere.

mod answers;
mod batch;
mod due_batch;
mod lease_expiry;
mod probes;
mod repeated;

pub use due_batch::DueBatch;
pub(super) use probes::FIRST_AGENT_EPOCH;
pub(super) use repeated::{mark_launches_to_stop, push_commands_to_repeat};

use std::time::Instant;

use super::reconciler::RemovalProof;
use super::{Machine, Shard};
use crate::protocol::{AttemptId, MachineId};

impl Shard {
    /// Removes attempts whose launch was never sent and for which a stop was requested.
    pub(super) fn withdraw_launches(&mut self, now: Instant) {
        self.machines.refresh();
        let withdrawn: Vec<(MachineId, AttemptId)> = self
            .machines
            .values()
            .filter(|machine| machine.load.has_withdrawable_launch)
            .flat_map(withdrawable_launches)
            .collect();
        for (machine_id, attempt_id) in withdrawn {
            self.remove_attempt(&machine_id, &attempt_id, RemovalProof::NeverSent, now);
        }
    }

    /// Sends each machine that can receive a batch now the commands that were not sent to it
    /// yet.
    pub(super) fn flush_commands(&mut self, now: Instant) {
        self.machines.refresh();
        let machine_ids = self.machines.ids(|machine| {
            machine.load.has_pending_commands
                && machine.token_acknowledged
                && !machine.is_deleting()
                && machine.commands.can_send(now)
        });
        for machine_id in machine_ids {
            self.send_commands(&machine_id, now);
        }
    }
}

fn withdrawable_launches(machine: &Machine) -> impl Iterator<Item = (MachineId, AttemptId)> {
    machine
        .attempts
        .iter()
        .filter(|(_, attempt)| attempt.is_withdrawable())
        .map(|(attempt_id, _)| (machine.id.clone(), attempt_id.clone()))
}
