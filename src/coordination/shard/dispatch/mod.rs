//! Dispatch of commands to workers.
//!
//! This module owns what is sent to which worker and when: launches and stops that the
//! scheduler and others decided on the attempts, permission to forget ended attempts,
//! probes, and the expiry of leases of workers that no answer renews any more. The
//! [`Shard`] calls it in every pass; the action executor carries out the batches and
//! returns their outcome through [`Shard::command_answered`]. It never decides which task
//! runs where.

mod answers;
mod batch;
mod lease_expiry;
mod probes;
mod repeated;

pub(super) use batch::stop_command;
pub(super) use probes::FIRST_AGENT_EPOCH;
pub(super) use repeated::commands_to_repeat;

use std::time::Instant;

use super::{Machine, Shard};
use crate::protocol::{AttemptId, MachineId};

impl Shard {
    /// Removes launches that were never sent and are no longer wanted.
    pub(super) fn withdraw_launches(&mut self, now: Instant) {
        self.machines.refresh();
        let withdrawn: Vec<(MachineId, AttemptId)> = self
            .machines
            .values()
            .filter(|machine| machine.load.has_withdrawable_launch)
            .flat_map(withdrawable_launches)
            .collect();
        for (machine, key) in withdrawn {
            self.remove_attempt(&machine, &key, now);
        }
    }

    /// Sends each machine the commands that it has not been sent yet.
    pub(super) fn flush_commands(&mut self, now: Instant) {
        self.machines.refresh();
        let ids = self.machines.ids(|machine| {
            machine.load.has_pending_commands
                && machine.token_acknowledged
                && !machine.is_deleting()
                && machine.commands.is_free(now)
        });
        for id in ids {
            self.send_commands(&id);
        }
    }
}

fn withdrawable_launches(machine: &Machine) -> impl Iterator<Item = (MachineId, AttemptId)> {
    machine
        .attempts
        .iter()
        .filter(|(_, attempt)| attempt.is_withdrawable())
        .map(|(key, _)| (machine.id.clone(), key.clone()))
}
