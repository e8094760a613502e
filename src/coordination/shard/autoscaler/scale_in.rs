//! Scale-in: deleting machines that are not needed or never booted, and handling the cloud's
//! answers to deletions.

use std::collections::HashSet;
use std::fmt;
use std::time::{Duration, Instant};

use super::boot_times::BootPool;
use super::capacity::Capacity;
use super::machine_kind::{CLOUD_RETRY_DELAY, MIN_BILLED_TIME, MachineKind, usual_boot_time};
use super::view::AutoscalerView;
use crate::coordination::shard::reconciler::RemovalProof;
use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::MachineId;

/// Most machines in one deletion request.
const MAX_MACHINES_PER_DELETION: usize = 100;

/// A machine that has not booted is abandoned after this multiple of the usual boot time plus
/// [`ABANDON_MARGIN`]. If the machines of its type boot late in its zone, the wait is extended, but
/// not beyond [`MAX_BOOT_WAIT`].
const ABANDON_BOOT_FACTOR: f64 = 4.0;
const ABANDON_MARGIN: Duration = Duration::from_secs(30);
const MAX_BOOT_WAIT: Duration = Duration::from_secs(900);

/// How long to wait for a machine of an unknown type to boot.
const UNKNOWN_TYPE_BOOT_WAIT: Duration = Duration::from_secs(300);

/// A machine that is not needed may be deleted this long before the end of [`MIN_BILLED_TIME`],
/// because the deletion itself takes time.
const DELETION_LEAD: Duration = Duration::from_secs(5);

/// Why a machine is deleted. The text is logged as `reason`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination::shard) enum DeletionReason {
    /// It is missing from the cloud's list, or its preemption notice has expired, and it is
    /// unreachable.
    Reclaimed,
    /// It is unreachable, and one of the last machines that hold up the reconciliation.
    Unreconciled,
    /// It is unreachable for longer than `abandon-late-s` allows.
    Unreachable,
    /// Its worker's lease expired without contact, so its tasks have stopped.
    LeaseExpired,
    /// It answers, but its worker's lease expired without a periodic heartbeat.
    HeartbeatsMissing,
    /// The cloud lists it as failed.
    CloudFailure,
    /// It has not booted in time.
    NeverBooted,
    /// It is empty and accepts no more tasks.
    Drained,
    /// It is idle and the plan does not need it.
    NotNeeded,
    /// Its worker restarted without accounting for all tasks.
    WorkerRestarted,
    /// An earlier leader recorded its deletion.
    RecordedEarlier,
}

impl fmt::Display for DeletionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reclaimed => "reclaimed by the cloud",
            Self::Unreconciled => "among the last unreconciled machines",
            Self::Unreachable => "worker unreachable",
            Self::LeaseExpired => "worker lease expired",
            Self::HeartbeatsMissing => "worker sends no heartbeats",
            Self::CloudFailure => "listed as failed by the cloud",
            Self::NeverBooted => "never booted",
            Self::Drained => "drained",
            Self::NotNeeded => "not needed",
            Self::WorkerRestarted => "worker restarted",
            Self::RecordedEarlier => "deletion recorded by an earlier leader",
        })
    }
}

impl Shard {
    /// Records the deletion of a machine; the deletion is requested once the record is durable. The
    /// machine's tasks count as live until the cloud confirms that the machine no longer exists.
    pub(in crate::coordination::shard) fn begin_deletion(
        &mut self,
        id: &MachineId,
        now: Instant,
        reason: DeletionReason,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if !machine.begin_deletion() {
            return;
        }
        tracing::info!(
            machine = %id,
            age_s = now.saturating_duration_since(machine.rented).as_secs(),
            %reason,
            "machine deletion started"
        );
        self.record_deletion(id);
    }

    /// Requests the deletion of machines whose deletion records are durable.
    pub(in crate::coordination::shard) fn request_deletions(&mut self, ids: &[MachineId]) {
        for batch in ids.chunks(MAX_MACHINES_PER_DELETION) {
            self.pending_actions.push(Action::Delete(batch.to_vec()));
        }
    }

    /// Repeats the deletion requests that the cloud did not answer and whose retry is due.
    pub(super) fn retry_deletions(&mut self, now: Instant) {
        let due = self.machines.ids(|m| m.deletion_retry_is_due(now));
        for id in &due {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.note_deletion_retried();
            }
        }
        self.request_deletions(&due);
    }

    /// Handles the outcome of a deletion request: the cloud confirmed it, or did not answer.
    pub fn deletion_answered(&mut self, ids: &[MachineId], is_confirmed: bool, now: Instant) {
        for id in ids {
            if is_confirmed {
                self.remove_deleted(id, now);
            } else if let Some(machine) = self.machines.get_mut(id) {
                machine.retry_deletion_at(now + CLOUD_RETRY_DELAY);
            }
        }
        self.needs_pass = true;
    }

    /// Removes a machine that no longer exists, and all attempts on it.
    fn remove_deleted(&mut self, id: &MachineId, now: Instant) {
        self.empty_machine(id, RemovalProof::MachineDeleted, now);
        if let Some(machine) = self.machines.remove(id) {
            self.remove_from_roster(id);
            // The cloud has one more machine of this kind available.
            self.autoscaler.backoff.reset(&MachineKind::from(&machine));
        }
        self.deleted_machines.insert(id.clone(), now);
    }

    /// Deletes the machines that are empty and either drained or not needed by the plan, and those
    /// that have not booted in time.
    pub(super) fn delete_unneeded_machines(&mut self, capacities: &[Capacity], now: Instant) {
        let unneeded = self.autoscaler_view().unneeded_machines(capacities, now);
        for machine in &unneeded {
            if machine.reason == DeletionReason::NeverBooted {
                let boot_times = &mut self.autoscaler.boot_times;
                boot_times.record_abandoned(&machine.pool, now);
            }
        }
        for machine in unneeded {
            self.begin_deletion(&machine.id, now, machine.reason);
        }
    }
}

/// A machine that is to be deleted, and why.
struct UnneededMachine {
    id: MachineId,
    pool: BootPool,
    reason: DeletionReason,
}

impl AutoscalerView<'_> {
    /// The machines that are empty and either drained or not needed by the plan, and those that
    /// have not booted in time.
    fn unneeded_machines(&self, capacities: &[Capacity], now: Instant) -> Vec<UnneededMachine> {
        let unused: HashSet<&MachineId> = capacities
            .iter()
            .filter(|capacity| !capacity.is_used)
            .filter_map(|capacity| capacity.machine.as_ref())
            .collect();
        let machines = self.machines.values().filter(|m| !m.is_deleting());
        machines
            .filter_map(|machine| {
                let is_unused = unused.contains(&machine.id);
                Some(UnneededMachine {
                    id: machine.id.clone(),
                    pool: BootPool::from(machine),
                    reason: self.deletion_reason(machine, is_unused, now)?,
                })
            })
            .collect()
    }

    /// How long to wait for a machine to boot. If the machines of its pool boot late or not at all,
    /// the wait is longer, because deleting all of them would only start the wait again.
    fn boot_wait(&self, machine: &Machine, now: Instant) -> Duration {
        let Some(machine_type) = self.machine_types.get(&*machine.machine_type) else {
            return UNKNOWN_TYPE_BOOT_WAIT;
        };
        let factor = self.boot_wait_factor(machine, now);
        let wait = usual_boot_time(machine_type).mul_f64(ABANDON_BOOT_FACTOR) + ABANDON_MARGIN;
        wait.mul_f64(factor).min(MAX_BOOT_WAIT.max(wait))
    }

    /// Why a machine is to be deleted; None if it is to be kept. `is_unused` says that the plan
    /// does not need it.
    fn deletion_reason(
        &self,
        machine: &Machine,
        is_unused: bool,
        now: Instant,
    ) -> Option<DeletionReason> {
        let age = now.saturating_duration_since(machine.rented);
        if machine.is_booting() {
            let is_too_late = age > self.boot_wait(machine, now);
            return is_too_late.then_some(DeletionReason::NeverBooted);
        }
        // An outcome that is not recorded yet would be lost with the machine.
        let has_unrecorded_outcome = machine.attempts.values().any(|a| !a.clearable);
        if !machine.load.is_idle() || has_unrecorded_outcome {
            return None;
        }
        if machine.health.is_cordoned() || machine.draining || machine.preemption_notice.is_some() {
            return Some(DeletionReason::Drained);
        }
        let is_idle_too_long = machine
            .idle_since()
            .is_some_and(|since| now.saturating_duration_since(since) >= self.policy.idle_timeout);
        let is_not_needed = is_idle_too_long
            && self.all_reconciled
            && is_unused
            && age + DELETION_LEAD > MIN_BILLED_TIME;
        is_not_needed.then_some(DeletionReason::NotNeeded)
    }
}
