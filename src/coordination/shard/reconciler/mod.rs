//! What workers send in their heartbeats, and what they are answered.

mod outcomes;
mod preemption_notice;
mod recovery;
mod removal;
mod task_list;

pub use recovery::{RecoveredMachine, RecoveredState};

use std::time::{Duration, Instant};

use super::dispatch::commands_to_repeat;
use super::{Action, Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::workers::{Command, WorkerHeartbeat};

/// Pause before a machine that sends old numbers is asked again.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// What to answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// 200 with these commands; the worker's lease is renewed.
    Answer(Vec<Command>),
    /// The machine is known to be gone, or a higher fencing token is about.
    Refuse,
}

impl Shard {
    /// A worker's own heartbeat; the caller answers it at once.
    pub fn heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> HeartbeatOutcome {
        if self
            .deleted_machines
            .contains_key(heartbeat.machine.as_str())
        {
            return HeartbeatOutcome::Refuse;
        }
        if heartbeat.fencing_token > self.fencing_token {
            self.out.push(Action::Fenced {
                seen: heartbeat.fencing_token,
            });
            return HeartbeatOutcome::Refuse;
        }
        self.apply_heartbeat(heartbeat, now);
        let Some(machine) = self.machines.get_mut(heartbeat.machine.as_str()) else {
            return HeartbeatOutcome::Refuse;
        };
        // Whatever the worker makes of this answer, its lease can't end later
        // than it would if it took it. Nobody takes the answer to a copy.
        let numbers = (heartbeat.agent_epoch, heartbeat.sequence);
        if numbers > machine.last_heartbeat {
            machine.last_heartbeat = numbers;
            machine.renewed = Some(now);
            machine.lease_expires_at = machine
                .lease_expires_at
                .max(now + self.policy.worker_lease_bound());
        }
        let current = machine.agent_epoch == Some(heartbeat.agent_epoch)
            && machine.sequence == heartbeat.sequence;
        let commands = if machine.token_acknowledged && current {
            commands_to_repeat(machine)
        } else {
            Vec::new()
        };
        HeartbeatOutcome::Answer(commands)
    }

    /// Takes in a heartbeat that came by itself or with a command's answer.
    pub(super) fn apply_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) {
        if heartbeat.fencing_token > self.fencing_token {
            self.out.push(Action::Fenced {
                seen: heartbeat.fencing_token,
            });
            return;
        }
        if self
            .deleted_machines
            .contains_key(heartbeat.machine.as_str())
        {
            return;
        }
        let lease_expires_at = now + self.policy.worker_lease_bound();
        let Some(machine) = self.adopt(heartbeat, now) else {
            return;
        };
        let id = machine.id.clone();
        let numbers = (heartbeat.agent_epoch, heartbeat.sequence);
        if heartbeat.agent_epoch <= machine.ended_epochs || numbers <= machine.numbers() {
            // A copy or a late message; or the machine came back with a worker
            // that began anew. The machine itself tells.
            if numbers < machine.numbers() && machine.command_retry.is_none_or(|at| at <= now) {
                machine.command_retry = Some(now + ASK_AGAIN);
                self.probe(&id, heartbeat.agent_epoch);
            }
            return;
        }
        machine.last_contact = Some(now);
        machine.vanished = false;
        machine.unanswered = 0;
        let new_epoch = machine.agent_epoch != Some(heartbeat.agent_epoch);
        let had_epoch = machine.agent_epoch.is_some();
        if new_epoch {
            // Its lease runs from when it began, which was before now; what we
            // reckoned with so far was an earlier epoch's.
            machine.lease_expires_at = machine.lease_expires_at.max(lease_expires_at);
        }
        machine.agent_epoch = Some(heartbeat.agent_epoch);
        machine.sequence = heartbeat.sequence;
        if new_epoch && had_epoch {
            // The worker killed and forgot all that its last agent epoch held.
            machine.ended_epochs = machine.ended_epochs.max(heartbeat.agent_epoch - 1);
            // We heard it, and still its lease ended: it may not hear us.
            machine.outbound_unreachable = true;
            tracing::info!(machine = %id, agent_epoch = heartbeat.agent_epoch, "worker began a new agent epoch");
            // What an earlier leader started in this agent epoch is not reconciled.
            self.remove_attempts(&id, now);
        }
        self.apply_preemption_notice(&id, heartbeat.preemption_notice_s, now);
        if heartbeat.fencing_token < self.fencing_token {
            // Its list may change yet by commands of an earlier leader.
            self.probe(&id, heartbeat.agent_epoch);
            return;
        }
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        if !machine.token_acknowledged {
            machine.token_acknowledged = true;
            tracing::debug!(machine = %id, "machine synced");
        }
        self.take_tasks(&id, &heartbeat.tasks, now);
        self.reconcile_machine(&id);
        self.admit(&id);
        self.needs_pass = true;
    }

    fn adopt(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> Option<&mut Machine> {
        let id: MachineId = heartbeat.machine.as_str().into();
        let lease_expires_at = now + self.policy.worker_lease_bound();
        if self.machines.contains(&id) {
            self.note_boot(&id, now);
        } else {
            self.machines
                .insert(Machine::new(id.clone(), now, lease_expires_at));
        }
        let machine = self.machines.get_mut(&id)?;
        if machine.last_contact.is_none() {
            machine.idle_since = Some(now);
        }
        machine.describe(
            &heartbeat.addr,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
        );
        Some(machine)
    }

    /// Takes in how long a machine took that is heard for the first time. One that was
    /// rented before this leader began may have come up unheard.
    fn note_boot(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        if !machine.is_booting() || machine.rented < self.acquired {
            return;
        }
        let Some(kind) = self.types.get(&*machine.machine_type) else {
            return;
        };
        self.autoscaler.record_boot(machine, kind, now);
    }
}
