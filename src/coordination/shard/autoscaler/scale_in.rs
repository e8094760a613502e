//! Scale-in: deleting machines that nobody needs or that never came up.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::capacity::Capacity;
use super::machine_kind::{CLOUD_RETRY, LEAST_CHARGE, MachineKind, startup};
use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::MachineId;

/// Most machines in one deletion request.
const MOST_PER_DELETION: usize = 100;

/// Times of a usual boot, and some more, after which a machine that is not up is given
/// back; at most so long where all come late.
const BOOTS_TO_GIVE_UP: f64 = 4.0;
const BOOT_ALLOWANCE: Duration = Duration::from_secs(30);
const LONGEST_BOOT_PATIENCE: Duration = Duration::from_secs(900);

/// The same for a machine whose type isn't known.
const PATIENCE_WITH_UNKNOWN: Duration = Duration::from_secs(300);

impl Shard {
    /// Gives a machine back; its tasks count until the cloud says 200.
    pub(in crate::coordination::shard) fn begin_deletion(
        &mut self,
        id: &MachineId,
        now: Instant,
        why: &str,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.deleting {
            return;
        }
        machine.deleting = true;
        tracing::info!(
            machine = %id,
            age_s = now.saturating_duration_since(machine.rented).as_secs(),
            why,
            "machine given back"
        );
        self.record_deletion(id);
    }

    /// Asks the cloud to delete machines whose return is on record.
    pub(in crate::coordination::shard) fn delete(&mut self, ids: &[MachineId]) {
        for batch in ids.chunks(MOST_PER_DELETION) {
            self.out.push(Action::Delete(batch.to_vec()));
        }
    }

    /// The cloud answered (or didn't) a deletion.
    pub fn deletion_answered(&mut self, ids: &[MachineId], done: bool, now: Instant) {
        for id in ids {
            if done {
                // The machine and everything on it are gone.
                self.empty_machine(id, now);
                if let Some(machine) = self.machines.remove(id) {
                    self.record_gone(id);
                    let kind = MachineKind {
                        machine_type: machine.machine_type.to_string(),
                        zone: machine.zone.to_string(),
                        spot: machine.spot,
                    };
                    self.autoscaler.note_freed(&kind);
                }
                self.deleted_machines.insert(id.clone(), now);
            } else if let Some(machine) = self.machines.get_mut(id) {
                machine.deletion_retry = Some(now + CLOUD_RETRY);
            }
        }
        self.needs_pass = true;
    }

    /// How long a machine that is not up yet is waited for. Where none comes up in time,
    /// giving them all back would only begin the wait anew.
    fn boot_patience(&self, machine: &Machine, now: Instant) -> Duration {
        let Some(kind) = self.types.get(&*machine.machine_type) else {
            return PATIENCE_WITH_UNKNOWN;
        };
        let slowness = self.boot_patience_factor(machine, now);
        let patience = startup(kind).mul_f64(BOOTS_TO_GIVE_UP) + BOOT_ALLOWANCE;
        patience
            .mul_f64(slowness)
            .min(LONGEST_BOOT_PATIENCE.max(patience))
    }

    /// Gives back what is empty and in no plan, and what never came up.
    pub(super) fn delete_spare_machines(&mut self, capacities: &[Capacity], now: Instant) {
        let spare: HashSet<&MachineId> = capacities
            .iter()
            .filter(|capacity| !capacity.used)
            .filter_map(|capacity| capacity.machine.as_ref())
            .collect();
        let mut back: Vec<(MachineId, &str)> = Vec::new();
        let mut late: Vec<(Arc<str>, Arc<str>)> = Vec::new();
        for machine in self.machines.values().filter(|m| !m.deleting) {
            let age = now.saturating_duration_since(machine.rented);
            if machine.last_contact.is_none() && !machine.admitted {
                if age > self.boot_patience(machine, now) {
                    late.push((machine.machine_type.clone(), machine.zone.clone()));
                    back.push((machine.id.clone(), "it never came up"));
                }
                continue;
            }
            let unrecorded = |m: &Machine| m.attempts.values().any(|a| !a.clearable);
            if !machine.load.idle() || unrecorded(machine) {
                continue;
            }
            let idle = machine
                .idle_since
                .is_some_and(|since| now.saturating_duration_since(since) >= self.policy.idle);
            if machine.cordoned || machine.draining || machine.preemption_notice.is_some() {
                back.push((machine.id.clone(), "it is empty and gets no more tasks"));
            } else if idle
                && self.unreconciled.is_empty()
                && spare.contains(&machine.id)
                && age + Duration::from_secs(5) > LEAST_CHARGE
            {
                back.push((machine.id.clone(), "it is not needed"));
            }
        }
        for (machine_type, zone) in late {
            let boots = &mut self.autoscaler.boot_times;
            boots.note_given_up(&machine_type, &zone, now);
        }
        for (id, why) in back {
            self.begin_deletion(&id, now, why);
        }
    }
}
