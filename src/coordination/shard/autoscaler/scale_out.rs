//! Scale-out: rental requests and what the cloud answers.

use std::time::{Duration, Instant};

use super::PendingRental;
use super::machine_kind::{CLOUD_RETRY, MachineKind};
use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::cloud::{Listed, ListedState, Rental};

/// What became of a rental request.
#[derive(Debug, Clone, PartialEq)]
pub enum RentalOutcome {
    /// These machines are rented.
    Rented(Vec<String>),
    /// The cloud has none of that kind.
    NoCapacity,
    /// Malformed in the cloud's eyes: not to be repeated.
    Rejected,
    /// It may have been carried out, or may still be.
    Unknown,
}

impl Shard {
    pub(super) fn retry_cloud(&mut self, now: Instant) {
        for pending_rental in self.autoscaler.pending_rentals.values_mut() {
            if pending_rental.retry.is_some_and(|at| at <= now) {
                pending_rental.retry = None;
                self.out.push(Action::Rent(pending_rental.rental.clone()));
            }
        }
        let again = self
            .machines
            .ids(|m| m.deletion_retry.is_some_and(|at| at <= now));
        for id in &again {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.deletion_retry = None;
            }
        }
        self.delete(&again);
    }

    /// The cloud answered (or didn't) a rental.
    pub fn rental_answered(&mut self, request: &str, outcome: RentalOutcome, now: Instant) {
        let Some(pending_rental) = self.autoscaler.pending_rentals.get_mut(request) else {
            return;
        };
        let rental = pending_rental.rental.clone();
        let key = MachineKind::of(&rental);
        match outcome {
            RentalOutcome::Unknown => {
                pending_rental.retry = Some(now + CLOUD_RETRY);
                return;
            }
            RentalOutcome::Rented(names) => {
                if (names.len() as u32) < rental.count {
                    self.autoscaler.note_refusal(key, self.policy.refused, now);
                } else {
                    self.autoscaler.refused.remove(&key);
                }
                tracing::info!(
                    request,
                    machine_type = rental.machine_type,
                    zone = rental.zone,
                    spot = rental.spot,
                    asked = rental.count,
                    got = names.len(),
                    "machines rented"
                );
                for name in names {
                    self.expect_machine(
                        &name,
                        &rental.machine_type,
                        &rental.zone,
                        rental.spot,
                        now,
                    );
                }
            }
            RentalOutcome::NoCapacity | RentalOutcome::Rejected => {
                self.autoscaler.note_refusal(key, self.policy.refused, now);
            }
        }
        self.autoscaler.pending_rentals.remove(request);
        self.clear_scale_out(request);
        self.needs_pass = true;
    }

    fn expect_machine(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        rented: Instant,
    ) {
        let id: MachineId = name.into();
        if self.deleted_machines.contains_key(&id) || self.machines.contains(&id) {
            return;
        }
        let mut machine = Machine::new(id.clone(), rented, rented);
        machine.describe("", machine_type, zone, spot);
        self.machines.insert(machine);
    }

    /// A rental that an earlier leader recorded and perhaps requested.
    pub(in crate::coordination::shard) fn resume_rental(&mut self, rental: Rental) {
        self.out.push(Action::Rent(rental.clone()));
        self.autoscaler.pending_rentals.insert(
            rental.request.clone(),
            PendingRental {
                rental,
                retry: None,
            },
        );
    }

    /// The whole machine list, as old as it may be.
    pub fn listed(&mut self, list: &[Listed], now: Instant) {
        let mut failed = Vec::new();
        for entry in list {
            if entry.state == ListedState::Failed
                && !self.deleted_machines.contains_key(entry.id.as_str())
            {
                failed.push(MachineId::from(entry.id.as_str()));
            }
            let age = Duration::from_secs_f64(entry.age_s.clamp(0.0, 1e8));
            let rented = now.checked_sub(age).unwrap_or(now);
            self.expect_machine(
                &entry.id,
                &entry.machine_type,
                &entry.zone,
                entry.spot,
                rented,
            );
            let outdated = |m: &Machine| !m.listed || m.addr.is_empty() || m.rented > rented;
            if self.machines.get(&entry.id).is_some_and(outdated)
                && let Some(machine) = self.machines.get_mut(&entry.id)
            {
                machine.listed = true;
                machine.rented = machine.rented.min(rented);
                if machine.addr.is_empty() {
                    machine.addr.clone_from(&entry.addr);
                }
            }
        }
        let present: std::collections::HashSet<&str> =
            list.iter().map(|entry| entry.id.as_str()).collect();
        // A list may be older than the one before: this alone proves nothing,
        // but a machine that is silent as well is best deleted.
        let missing = |m: &Machine| {
            !present.contains(&*m.id) && (m.listed || m.last_contact.is_some() || m.admitted)
        };
        for id in self.machines.ids(|m| m.vanished != missing(m)) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.vanished = !present.contains(&*id);
            }
        }
        for id in failed {
            self.begin_deletion(&id, now, "the cloud lists it as failed");
        }
        self.needs_pass = true;
    }

    /// Records a rental of so many machines, which is asked for once it is written.
    pub(super) fn request_machines(&mut self, kind: MachineKind, count: u32) {
        // One request for a kind at a time: its answer tells of the capacity.
        let mut pending_rentals = self.autoscaler.pending_rentals.values();
        if pending_rentals.any(|pending_rental| MachineKind::of(&pending_rental.rental) == kind) {
            return;
        }
        self.autoscaler.next_rental += 1;
        let rental = Rental {
            request: format!(
                "{}-{}-{}",
                self.policy.node_id, self.fencing_token, self.autoscaler.next_rental
            ),
            machine_type: kind.machine_type,
            zone: kind.zone,
            spot: kind.spot,
            count,
        };
        self.record_scale_out(&rental);
        self.autoscaler.pending_rentals.insert(
            rental.request.clone(),
            PendingRental {
                rental,
                retry: None,
            },
        );
    }
}
