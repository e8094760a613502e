//! Scale-out: rental requests, the cloud's answers to them, and the cloud's machine list.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::machine_kind::MachineKind;
use super::scale_in::DeletionReason;
use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::cloud::{ListedMachine, MachineState, Rental};

/// Most machines in one rental request.
const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Upper bound in seconds of the machine age that is accepted from the cloud's list.
const MAX_LISTED_AGE_S: f64 = 1e8;

/// The outcome of a rental request.
#[derive(Debug, Clone, PartialEq)]
pub enum RentalOutcome {
    /// These machines are rented; there may be fewer than requested.
    Rented(Vec<String>),
    /// The cloud has no machine of that kind.
    NoCapacity,
    /// The cloud rejected the request as malformed; it must not be repeated.
    Rejected,
    /// It is unknown whether the cloud has executed the request or still will.
    Unknown,
}

impl Shard {
    /// Repeats the rentals and deletions that the cloud did not answer.
    pub(super) fn retry_cloud_requests(&mut self, now: Instant) {
        for rental in self.autoscaler.rentals.take_due_retries(now) {
            self.pending_actions.push(Action::Rent(rental));
        }
        self.retry_deletions(now);
    }

    /// Records the rental of `count` machines, or of [`MAX_MACHINES_PER_RENTAL`] if that is fewer,
    /// unless a rental of the same kind is pending. It is requested once the record is durable.
    pub(super) fn request_machines(&mut self, kind: MachineKind, count: u32) {
        let rental = self.autoscaler.rentals.add(
            kind,
            count.min(MAX_MACHINES_PER_RENTAL),
            &self.policy.node_id,
            self.fencing_token,
        );
        if let Some(rental) = rental {
            self.record_rental(&rental);
        }
    }

    /// Repeats a rental request that an earlier leader recorded and may have sent.
    pub(in crate::coordination::shard) fn resume_rental(&mut self, rental: Rental) {
        self.pending_actions.push(Action::Rent(rental.clone()));
        self.autoscaler.rentals.insert(rental);
    }

    /// Handles the outcome of a rental request.
    pub fn rental_answered(&mut self, request: &str, outcome: RentalOutcome, now: Instant) {
        let Some(rental) = self.autoscaler.rentals.get(request).cloned() else {
            return;
        };
        match outcome {
            RentalOutcome::Unknown => {
                self.autoscaler.rentals.schedule_retry(request, now);
                return;
            }
            RentalOutcome::Rented(names) => self.add_rented_machines(&rental, &names, now),
            RentalOutcome::NoCapacity | RentalOutcome::Rejected => {
                self.record_shortage(&rental, now);
            }
        }
        self.autoscaler.rentals.remove(request);
        self.clear_rental(request);
        self.needs_pass = true;
    }

    /// Adds the machines of a rental that the cloud met in whole or in part.
    fn add_rented_machines(&mut self, rental: &Rental, names: &[String], now: Instant) {
        if (names.len() as u32) < rental.count {
            self.record_shortage(rental, now);
        } else {
            self.autoscaler.backoff.reset(&MachineKind::from(rental));
        }
        tracing::info!(
            request = rental.request,
            machine_type = rental.machine_type,
            zone = rental.zone,
            spot = rental.spot,
            requested = rental.count,
            rented = names.len(),
            "machines rented"
        );
        for name in names {
            self.add_machine(name, &rental.machine_type, &rental.zone, rental.spot, now);
        }
    }

    fn record_shortage(&mut self, rental: &Rental, now: Instant) {
        let kind = MachineKind::from(rental);
        let pause = self.policy.scale_out_retry;
        self.autoscaler.backoff.record_shortage(kind, pause, now);
    }

    /// Adds a machine that has not booted, unless it is known already or was deleted.
    fn add_machine(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        rented: Instant,
    ) {
        let id: MachineId = name.into();
        if self.deleted_machines.contains(&id) || self.machines.contains(&id) {
            return;
        }
        let mut machine = Machine::new(id.clone(), rented, rented);
        machine.update_description("", machine_type, zone, spot);
        self.machines.insert(machine);
    }

    /// Applies the cloud's complete machine list, which may be outdated.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Instant) {
        for entry in list {
            self.apply_list_entry(entry, now);
        }
        self.update_missing_from_list(list);
        self.delete_failed_machines(list, now);
        self.needs_pass = true;
    }

    /// Adds the machine of one list entry if it is new, and updates its rental time and address.
    fn apply_list_entry(&mut self, entry: &ListedMachine, now: Instant) {
        let age = Duration::from_secs_f64(entry.age_s.clamp(0.0, MAX_LISTED_AGE_S));
        let rented = now.checked_sub(age).unwrap_or(now);
        self.add_machine(
            &entry.id,
            &entry.machine_type,
            &entry.zone,
            entry.spot,
            rented,
        );
        let needs_update = |m: &Machine| !m.was_listed || m.addr.is_empty() || m.rented > rented;
        if self.machines.get(&entry.id).is_some_and(needs_update)
            && let Some(machine) = self.machines.get_mut(&entry.id)
        {
            machine.was_listed = true;
            machine.rented = machine.rented.min(rented);
            if machine.addr.is_empty() {
                machine.addr.clone_from(&entry.addr);
            }
        }
    }

    /// Marks the machines that are missing from the list. A list may be older than the one before
    /// it, so this alone proves nothing; but a machine that is also unreachable should be deleted.
    fn update_missing_from_list(&mut self, list: &[ListedMachine]) {
        let present: HashSet<&str> = list.iter().map(|entry| entry.id.as_str()).collect();
        let is_missing =
            |m: &Machine| !present.contains(&*m.id) && (m.was_listed || !m.is_booting());
        for id in self
            .machines
            .ids(|m| m.is_missing_from_list != is_missing(m))
        {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.is_missing_from_list = !present.contains(&*id);
            }
        }
    }

    /// Deletes the machines that the cloud lists as failed.
    fn delete_failed_machines(&mut self, list: &[ListedMachine], now: Instant) {
        for entry in list {
            if entry.state == MachineState::Failed
                && !self.deleted_machines.contains(entry.id.as_str())
            {
                self.begin_deletion(
                    &MachineId::from(entry.id.as_str()),
                    now,
                    DeletionReason::CloudFailure,
                );
            }
        }
    }
}
