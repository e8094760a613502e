//! Rental requests that the cloud has not answered yet.

use std::collections::BTreeMap;
use std::time::Instant;

use super::machine_kind::{CLOUD_RETRY, MachineKind};
use crate::protocol::FencingToken;
use crate::protocol::cloud::Rental;

/// A rental that is recorded or being recorded, and not answered.
#[derive(Debug)]
struct PendingRental {
    rental: Rental,
    /// When to request it again; set only after an attempt without an answer.
    retry_at: Option<Instant>,
}

/// The pending rentals by the names of their requests.
///
/// Invariant: a rental is requested only after its record is durable. Whoever adds one writes
/// its record and requests it when that write is applied; a retry is due only after an attempt
/// without an answer, so after a request. A request's name consists of the controller, the
/// fencing token and a rising number: it is never used again, so that repeating a request is
/// idempotent.
#[derive(Debug, Default)]
pub(super) struct PendingRentals {
    pending: BTreeMap<String, PendingRental>,
    /// The number of the newest request.
    last_number: u64,
}

impl PendingRentals {
    /// All pending rentals, by the names of their requests.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Rental> {
        self.pending.values().map(|pending| &pending.rental)
    }

    /// A pending rental by its request's name.
    pub(super) fn get(&self, request: &str) -> Option<&Rental> {
        self.pending.get(request).map(|pending| &pending.rental)
    }

    /// Adds a rental that is to be recorded; None if one of the same kind is pending. The
    /// answer to that one will show whether the cloud has more of the kind.
    pub(super) fn add(
        &mut self,
        kind: MachineKind,
        count: u32,
        node_id: &str,
        fencing_token: FencingToken,
    ) -> Option<Rental> {
        if self.iter().any(|rental| MachineKind::from(rental) == kind) {
            return None;
        }
        self.last_number += 1;
        let rental = Rental {
            request: format!("{node_id}-{fencing_token}-{}", self.last_number),
            machine_type: kind.machine_type,
            zone: kind.zone,
            spot: kind.spot,
            count,
        };
        self.restore(rental.clone());
        Some(rental)
    }

    /// Adds a rental whose record is durable.
    pub(super) fn restore(&mut self, rental: Rental) {
        let pending = PendingRental {
            rental,
            retry_at: None,
        };
        self.pending.insert(pending.rental.request.clone(), pending);
    }

    /// A request had no answer that tells whether it was executed.
    pub(super) fn retry_later(&mut self, request: &str, now: Instant) {
        if let Some(pending) = self.pending.get_mut(request) {
            pending.retry_at = Some(now + CLOUD_RETRY);
        }
    }

    /// The rentals to be requested again now.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<Rental> {
        let is_due = |pending: &&mut PendingRental| pending.retry_at.is_some_and(|at| at <= now);
        let due = self.pending.values_mut().filter(is_due);
        due.map(|pending| {
            pending.retry_at = None;
            pending.rental.clone()
        })
        .collect()
    }

    /// A request was answered.
    pub(super) fn remove(&mut self, request: &str) {
        self.pending.remove(request);
    }
}

#[cfg(test)]
mod tests;
