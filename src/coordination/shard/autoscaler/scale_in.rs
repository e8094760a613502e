//! Scale-in: deleting machines that are not needed or never booted.

use std::collections::HashSet;
use std::fmt;
use std::time::{Duration, Instant};

use super::boot_times::BootPool;
use super::capacity::Capacity;
use super::machine_kind::{CLOUD_RETRY, MINIMUM_BILLED, MachineKind, usual_boot};
use super::view::AutoscalerView;
use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::MachineId;

/// Most machines in one deletion request.
const MAX_PER_DELETION: usize = 100;

/// Multiple of the usual boot time, plus an allowance, after which a machine that has not
/// booted is abandoned; at most the maximum where all machines of its type are late.
const ABANDON_BOOTS: f64 = 4.0;
const ABANDON_ALLOWANCE: Duration = Duration::from_secs(30);
const MAX_BOOT_WAIT: Duration = Duration::from_secs(900);

/// The same for a machine whose type is not known.
const UNKNOWN_TYPE_BOOT_WAIT: Duration = Duration::from_secs(300);

/// A machine that is not needed may be deleted this long before its minimum charge is used
/// up: the deletion itself takes time.
const DELETION_LEAD: Duration = Duration::from_secs(5);

/// Why a machine is deleted. The text is the `reason` of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::coordination::shard) enum DeletionReason {
    /// Missing from the cloud's list, or past its preemption notice, and unreachable.
    Reclaimed,
    /// Unreachable, and one of the last machines that hold up the reconciliation.
    Unreconciled,
    /// Unreachable for longer than `abandon-late-s` allows.
    Unreachable,
    /// No contact since its worker's lease expired: its tasks have stopped.
    LeaseExpired,
    /// It answers, but has sent no heartbeat of its own since its worker's lease expired.
    HeartbeatsMissing,
    /// The cloud lists it as failed.
    CloudFailure,
    /// It has not booted in time.
    NeverBooted,
    /// It is empty and accepts no more tasks.
    Drained,
    /// It is idle and in no plan.
    NotNeeded,
    /// Its worker restarted with tasks unaccounted for.
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
    /// Records the deletion of a machine, which is requested once the record is durable. Its
    /// tasks count until the cloud confirms that the machine no longer exists.
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

    /// Requests the deletion of machines; the record of each is durable.
    pub(in crate::coordination::shard) fn delete(&mut self, ids: &[MachineId]) {
        for batch in ids.chunks(MAX_PER_DELETION) {
            self.out.push(Action::Delete(batch.to_vec()));
        }
    }

    /// Requests deletions again that the cloud has not answered.
    pub(super) fn retry_deletions(&mut self, now: Instant) {
        let due = self.machines.ids(|m| m.deletion_retry_is_due(now));
        for id in &due {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.note_deletion_retried();
            }
        }
        self.delete(&due);
    }

    /// The cloud confirmed a deletion (`done`), or did not answer.
    pub fn deletion_answered(&mut self, ids: &[MachineId], done: bool, now: Instant) {
        for id in ids {
            if done {
                self.remove_deleted(id, now);
            } else if let Some(machine) = self.machines.get_mut(id) {
                machine.retry_deletion_at(now + CLOUD_RETRY);
            }
        }
        self.needs_pass = true;
    }

    /// Removes a machine that no longer exists, with everything on it.
    fn remove_deleted(&mut self, id: &MachineId, now: Instant) {
        self.empty_machine(id, now);
        if let Some(machine) = self.machines.remove(id) {
            self.remove_from_roster(id);
            // The cloud has one more of that kind.
            self.autoscaler.backoff.reset(&MachineKind::from(&machine));
        }
        self.deleted_machines.insert(id.clone(), now);
    }

    /// Deletes the machines that are empty and in no plan, and those that never booted.
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

/// A machine that is to be deleted.
struct UnneededMachine {
    id: MachineId,
    pool: BootPool,
    reason: DeletionReason,
}

impl AutoscalerView<'_> {
    /// The machines that are empty and in no plan, and those that never booted.
    fn unneeded_machines(&self, capacities: &[Capacity], now: Instant) -> Vec<UnneededMachine> {
        let unused: HashSet<&MachineId> = capacities
            .iter()
            .filter(|capacity| !capacity.used)
            .filter_map(|capacity| capacity.machine.as_ref())
            .collect();
        let machines = self.machines.values().filter(|m| !m.is_deleting());
        machines
            .filter_map(|machine| {
                let unused = unused.contains(&machine.id);
                Some(UnneededMachine {
                    id: machine.id.clone(),
                    pool: BootPool::from(machine),
                    reason: self.why_unneeded(machine, unused, now)?,
                })
            })
            .collect()
    }

    /// How long to wait for a machine that has not booted. Where none boots in time, deleting
    /// all of them would only start the wait again.
    fn boot_wait(&self, machine: &Machine, now: Instant) -> Duration {
        let Some(kind) = self.machine_types.get(&*machine.machine_type) else {
            return UNKNOWN_TYPE_BOOT_WAIT;
        };
        let factor = self.boot_wait_factor(machine, now);
        let wait = usual_boot(kind).mul_f64(ABANDON_BOOTS) + ABANDON_ALLOWANCE;
        wait.mul_f64(factor).min(MAX_BOOT_WAIT.max(wait))
    }

    /// Why a machine is to be deleted; None if it is not. `unused` says that the plan leaves
    /// it unused.
    fn why_unneeded(
        &self,
        machine: &Machine,
        unused: bool,
        now: Instant,
    ) -> Option<DeletionReason> {
        let age = now.saturating_duration_since(machine.rented);
        if machine.is_booting() {
            let too_late = age > self.boot_wait(machine, now);
            return too_late.then_some(DeletionReason::NeverBooted);
        }
        // An end that is not on record yet would be lost with the machine.
        let has_unrecorded = machine.attempts.values().any(|a| !a.clearable);
        if !machine.load.idle() || has_unrecorded {
            return None;
        }
        if machine.health.is_cordoned() || machine.draining || machine.preemption_notice.is_some() {
            return Some(DeletionReason::Drained);
        }
        let idle = machine
            .idle_since()
            .is_some_and(|since| now.saturating_duration_since(since) >= self.policy.idle);
        let not_needed =
            idle && self.all_reconciled && unused && age + DELETION_LEAD > MINIMUM_BILLED;
        not_needed.then_some(DeletionReason::NotNeeded)
    }
}
