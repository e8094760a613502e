//! Reconciliation of the shard's state with the workers' heartbeats.
//!
//! Which task is on which machine is known from the workers' heartbeats alone: placements in a
//! snapshot are only a hint. This module applies heartbeats to the shard's attempts, handles the
//! outcomes of attempts, and owns the set of machines on which an earlier leader may have started
//! tasks that this leader does not know of. The handler of worker heartbeats calls
//! [`Shard::heartbeat`]; answers to commands arrive through [`super::dispatch`]. This module
//! records what runs and never decides what should run.

mod outcomes;
mod preemption_notice;
mod recovery;
mod removal;
mod task_list;
mod unreconciled;

pub use recovery::{RecoveredMachine, RecoveredState};
pub(super) use removal::RemovalProof;
pub(super) use unreconciled::UnreconciledMachines;

use std::time::{Duration, Instant};

use super::dispatch::{mark_launches_to_stop, push_commands_to_repeat};
use super::machines::{EpochChange, HeartbeatNumber};
use super::{Action, InvariantViolation, Machine, Shard};
use crate::coordination::worker_leases::commands::CommandList;
use crate::coordination::worker_leases::lease_renewal::LeaseRenewal;
use crate::protocol::workers::WorkerHeartbeat;
use crate::protocol::{CommandToken, MachineId, TaskId};

/// Minimum time between two probes that outdated heartbeats of one machine cause.
const OUTDATED_HEARTBEAT_PROBE_PAUSE: Duration = Duration::from_secs(2);

/// The answer to a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// Status 200: the worker renews its lease and executes the commands.
    Renew(LeaseRenewal),
    /// The lease is not renewed, since this leader may not know of all cancellations.
    Withhold,
    /// The lease is not renewed: the machine is deleted, or another controller has a higher
    /// fencing token and may lead the shard.
    Refuse,
}

impl Shard {
    /// Applies a periodic heartbeat of a worker and returns the answer. The caller must send
    /// the answer at once, since the bound on the worker's lease counts from `now`.
    pub fn heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> HeartbeatOutcome {
        if self.is_deleted(heartbeat) || self.is_fenced_by(heartbeat) {
            return HeartbeatOutcome::Refuse;
        }
        self.apply_heartbeat(heartbeat, now);
        let lease_expires_at = now + self.policy.worker_lease_bound();
        let Some(machine) = self.machines.get_mut(heartbeat.machine.as_str()) else {
            return HeartbeatOutcome::Refuse;
        };
        let number = HeartbeatNumber::from(heartbeat);
        let is_duplicate = !machine.epochs.note_periodic(number);
        if !is_duplicate {
            machine.lease.note_periodic_heartbeat(now);
        }
        let Some(permit) = self.run_deadline.permit(now) else {
            return HeartbeatOutcome::Withhold;
        };
        // The bound assumes that the worker accepts this answer; if it doesn't, its lease
        // expires earlier. The answer to a duplicate renews nothing, since the worker does not
        // wait for it.
        if !is_duplicate {
            machine.lease.extend_to(lease_expires_at);
        }
        let is_reconciled = machine.token_acknowledged && machine.epochs.is_newest(number);
        if is_reconciled && !is_duplicate {
            machine.raise_token_for_clears(self.token_raises.usable(now));
        }
        let machine_id = machine.id.clone();
        let mut commands = CommandList::new(self.present_token(&machine_id));
        if is_reconciled && let Some(machine) = self.machines.get_mut(&machine_id) {
            mark_launches_to_stop(machine);
            push_commands_to_repeat(machine, &permit, &mut commands);
        }
        let is_open = |task: &TaskId| self.is_open_task(task);
        let renewal = LeaseRenewal::new(&permit, heartbeat, commands, is_open);
        // The list of a duplicate was reconciled before; its tasks may be forgotten since.
        if is_reconciled && !is_duplicate {
            self.check_stops(&heartbeat.machine, &renewal);
        }
        HeartbeatOutcome::Renew(renewal)
    }

    /// Reports the stops that a renewal had to add although this leader has reconciled the listed
    /// tasks: it should have requested them.
    fn check_stops(&mut self, machine: &str, renewal: &LeaseRenewal) {
        for attempt in renewal.missing_stops() {
            self.report_violation(&InvariantViolation::MissingStop {
                machine: machine.into(),
                attempt: attempt.clone(),
            });
        }
    }

    /// Applies a heartbeat, periodic or in answer to commands.
    pub(super) fn apply_heartbeat(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) {
        if self.is_fenced_by(heartbeat) || self.is_deleted(heartbeat) {
            return;
        }
        let Some(machine_id) = self.register_machine(heartbeat, now) else {
            return;
        };
        if !self.accept_heartbeat(&machine_id, heartbeat, now) {
            return;
        }
        self.apply_preemption_notice(&machine_id, heartbeat.preemption_notice_s, now);
        if heartbeat.fencing_token < self.fencing_token.into() {
            // The worker still accepts commands of an earlier leader, so this task list may be
            // outdated by them. The probe raises the worker's fencing token.
            self.probe(&machine_id, heartbeat.agent_epoch);
            return;
        }
        self.note_token_acknowledged(&machine_id, heartbeat.fencing_token);
        self.reconcile_attempts(&machine_id, &heartbeat.tasks, now);
        self.mark_reconciled(&machine_id);
        self.admit(&machine_id);
        self.needs_pass = true;
    }

    fn is_deleted(&self, heartbeat: &WorkerHeartbeat) -> bool {
        self.deleted_machines.contains(heartbeat.machine.as_str())
    }

    /// Whether the worker has seen a higher token than any of this leader's. If so, emits
    /// [`Action::Fenced`], since another controller may lead the shard.
    fn is_fenced_by(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let is_fenced = heartbeat.fencing_token > self.command_tokens().highest();
        if is_fenced {
            self.pending_actions.push(Action::Fenced {
                seen: heartbeat.fencing_token,
            });
        }
        is_fenced
    }

    /// Adds the machine of a heartbeat if the shard does not have it yet, and updates its
    /// properties from the heartbeat.
    fn register_machine(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) -> Option<MachineId> {
        let machine_id: MachineId = heartbeat.machine.as_str().into();
        let lease_expires_at = now + self.policy.worker_lease_bound();
        if self.machines.contains(&machine_id) {
            self.note_boot_time(&machine_id, now);
        } else {
            self.machines
                .insert(Machine::new(machine_id.clone(), now, lease_expires_at));
        }
        let machine = self.machines.get_mut(&machine_id)?;
        if machine.last_contact.is_none() {
            machine.begin_idle(now);
        }
        machine.update_description(
            &heartbeat.addr,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
        );
        Some(machine.id.clone())
    }

    /// Records how long a machine took to boot if this is its first heartbeat. A machine rented
    /// before this leader was elected is skipped, since it may have booted before the election.
    fn note_boot_time(&mut self, machine_id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        if !machine.is_booting() || machine.rented < self.term_began {
            return;
        }
        let Some(machine_type) = self.machine_types.get(&*machine.machine_type) else {
            return;
        };
        self.autoscaler.record_boot(machine, machine_type, now);
    }

    /// Makes a heartbeat its machine's newest one. Returns false if the heartbeat is outdated.
    fn accept_heartbeat(
        &mut self,
        machine_id: &MachineId,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> bool {
        let lease_expires_at = now + self.policy.worker_lease_bound();
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return false;
        };
        let number = HeartbeatNumber::from(heartbeat);
        if machine.epochs.is_outdated(number) {
            self.probe_if_behind(machine_id, number, now);
            return false;
        }
        machine.last_contact = Some(now);
        machine.is_missing_from_list = false;
        machine.commands.note_heartbeat();
        let change = machine.epochs.advance(number);
        if change != EpochChange::Unchanged {
            // The lease of the new epoch began with the epoch, which is before `now`; the
            // present bound is for the lease of an earlier epoch.
            machine.lease.extend_to(lease_expires_at);
        }
        if change == EpochChange::NewEpoch {
            // The worker's lease expired although its heartbeats arrived: messages from this
            // leader may not reach the worker.
            machine.commands.note_lease_lost();
            tracing::info!(machine = %machine_id, agent_epoch = heartbeat.agent_epoch, "worker began a new agent epoch");
            // The machine stays unreconciled if it is, since an earlier leader may have
            // started tasks in the new epoch.
            self.remove_attempts(machine_id, RemovalProof::EpochEnded, now);
        }
        true
    }

    /// Probes a machine whose heartbeat is older than the newest one. Either the message is late
    /// or the worker process has restarted, and only the worker's answer shows which.
    fn probe_if_behind(&mut self, machine_id: &MachineId, number: HeartbeatNumber, now: Instant) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        if number < machine.epochs.newest() && machine.commands.retry_is_due(now) {
            machine
                .commands
                .delay_until(now + OUTDATED_HEARTBEAT_PROBE_PAUSE);
            self.probe(machine_id, number.agent_epoch);
        }
    }

    /// Records that the worker has seen a token of this leader, so that it refuses commands
    /// of earlier leaders.
    fn note_token_acknowledged(&mut self, machine_id: &MachineId, seen: CommandToken) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.command_token = machine.command_token.max(seen);
        if !machine.token_acknowledged {
            machine.token_acknowledged = true;
            tracing::debug!(machine = %machine_id, "worker acknowledged the fencing token");
        }
    }
}
