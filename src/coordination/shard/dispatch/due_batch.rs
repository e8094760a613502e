//! What a batch of commands holds when it is sent.
//!
//! A batch may wait before it is sent, for a minute if thousands of workers can't be reached. What was
//! due when it was queued may be forbidden by then: a job may have been cancelled, or the leader may
//! not know of all cancellations any more. So the executor asks for the commands immediately before
//! it sends them.

use std::time::{Duration, Instant};

use super::batch::{push_clears, push_pending_launches, push_pending_stops};
use crate::coordination::shard::{InvariantViolation, Shard};
use crate::coordination::worker_leases::commands::CommandList;
use crate::protocol::workers::Command;
use crate::protocol::{CommandToken, MachineId};

/// The commands that a machine's outstanding batch holds now.
#[derive(Debug, PartialEq)]
pub struct DueBatch {
    /// The agent epoch in which the worker is to execute them.
    pub agent_epoch: u64,
    /// The commands, with the token under which they are sent.
    pub commands: CommandList,
}

impl Shard {
    /// Returns the commands that a batch which waited to be sent holds now. `None` if none is due
    /// any more: then the batch is over, and no outcome is to be reported.
    pub fn due_batch(
        &mut self,
        machine_id: &MachineId,
        number: u64,
        now: Instant,
    ) -> Option<DueBatch> {
        let machine = self.machines.get_mut(machine_id)?;
        if !machine.commands.awaits(number) {
            return None;
        }
        // A machine has one batch at a time, so all marks are of this one.
        for attempt in machine.attempts.values_mut() {
            attempt.has_command_in_flight = false;
        }
        let commands = self.due_commands(machine_id, now);
        let machine = self.machines.get_mut(machine_id)?;
        let Some(agent_epoch) = machine.agent_epoch().filter(|_| !commands.is_empty()) else {
            machine.commands.complete(number);
            self.needs_pass = true;
            return None;
        };
        machine.commands.note_left();
        Some(DueBatch {
            agent_epoch,
            commands,
        })
    }

    /// The token of messages to a worker, as long as it is not raised.
    pub(in crate::coordination::shard) fn present_token(
        &self,
        machine_id: &MachineId,
    ) -> CommandToken {
        let machine = self.machines.get(machine_id);
        let sent_or_seen = machine.map(|machine| machine.command_token);
        let leadership = CommandToken::from(self.fencing_token);
        leadership.max(sent_or_seen.unwrap_or_default())
    }

    /// The commands that a machine's attempts need now, each marked as having a command in flight.
    /// Launches are left out while this leader may start no tasks.
    pub(super) fn due_commands(&mut self, machine_id: &MachineId, now: Instant) -> CommandList {
        let permit = self.run_deadline.permit(now);
        let mut commands = CommandList::new(self.present_token(machine_id));
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return commands;
        };
        // Clears come first and launches last, so that clears and stops release resources
        // before the launches need them.
        push_clears(machine, &mut commands);
        push_pending_stops(machine, &mut commands);
        if let Some(permit) = permit {
            push_pending_launches(machine, &permit, &mut commands);
        }
        self.remove_launches_of_closed_jobs(machine_id, &mut commands);
        commands
    }

    /// Removes and reports launches of jobs that are not open. There are none: the end of a job
    /// requests a stop of every attempt, after which none is launched.
    fn remove_launches_of_closed_jobs(
        &mut self,
        machine_id: &MachineId,
        commands: &mut CommandList,
    ) {
        let is_forbidden = |command: &Command| match command {
            Command::Launch { task, .. } => !self.is_open_task(task),
            Command::Stop { .. } | Command::Clear { .. } => false,
        };
        let forbidden = commands.remove(is_forbidden);
        for attempt_id in forbidden.iter().map(Command::attempt_id) {
            let machine = self.machines.get_mut(machine_id);
            if let Some(attempt) = machine.and_then(|m| m.attempts.get_mut(&attempt_id)) {
                attempt.has_command_in_flight = false;
                attempt.request_stop(Duration::ZERO);
            }
            self.report_violation(&InvariantViolation::LaunchOfClosedJob {
                machine: machine_id.clone(),
                attempt: attempt_id,
            });
        }
    }
}
