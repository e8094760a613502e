//! Rental requests that the cloud has not answered yet.

use std::collections::BTreeMap;
use std::time::Instant;

use super::machine_kind::{CLOUD_RETRY_DELAY, MachineKind};
use crate::protocol::FencingToken;
use crate::protocol::cloud::Rental;

/// A rental that is recorded, or is being recorded, and that the cloud has not answered.
#[derive(Debug)]
struct PendingRental {
    rental: Rental,
    /// When to request the rental again; set only after an attempt without an answer.
    retry_at: Option<Instant>,
}

/// Pending rentals by request name.
///
/// Invariant: a rental is requested only after its record is durable. The caller that adds a rental
/// writes its record, and requests the rental when that write is applied. A retry is due only after
/// an attempt without an answer, hence never before the first request. A request's name consists of
/// the controller's node id, the fencing token and an increasing number. It is never used again, so
/// repeating a request is idempotent.
#[derive(Debug, Default)]
pub(super) struct PendingRentals {
    pending: BTreeMap<String, PendingRental>,
    /// The number of the newest request.
    last_request_number: u64,
}

impl PendingRentals {
    /// All pending rentals, ordered by request name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Rental> {
        self.pending.values().map(|pending| &pending.rental)
    }

    /// The pending rental with this request name.
    pub(super) fn get(&self, request: &str) -> Option<&Rental> {
        self.pending.get(request).map(|pending| &pending.rental)
    }

    /// Adds a rental that the caller then records; None if a rental of the same kind is pending.
    /// The answer to the pending rental will show whether the cloud has more machines of the kind.
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
        self.last_request_number += 1;
        let rental = Rental {
            request: format!("{node_id}-{fencing_token}-{}", self.last_request_number),
            machine_type: kind.machine_type,
            zone: kind.zone,
            spot: kind.spot,
            count,
        };
        self.insert(rental.clone());
        Some(rental)
    }

    /// Adds a rental without scheduling a retry.
    pub(super) fn insert(&mut self, rental: Rental) {
        let pending = PendingRental {
            rental,
            retry_at: None,
        };
        self.pending.insert(pending.rental.request.clone(), pending);
    }

    /// Schedules a retry after a request whose answer does not tell whether it was executed.
    pub(super) fn schedule_retry(&mut self, request: &str, now: Instant) {
        if let Some(pending) = self.pending.get_mut(request) {
            pending.retry_at = Some(now + CLOUD_RETRY_DELAY);
        }
    }

    /// Returns the rentals whose retry is due, and clears their retry times.
    pub(super) fn take_due_retries(&mut self, now: Instant) -> Vec<Rental> {
        let is_due = |pending: &&mut PendingRental| pending.retry_at.is_some_and(|at| at <= now);
        let due = self.pending.values_mut().filter(is_due);
        due.map(|pending| {
            pending.retry_at = None;
            pending.rental.clone()
        })
        .collect()
    }

    /// Removes a rental that the cloud has answered.
    pub(super) fn remove(&mut self, request: &str) {
        self.pending.remove(request);
    }
}

#[cfg(test)]
mod tests;
