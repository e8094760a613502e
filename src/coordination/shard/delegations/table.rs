//! Which controllers may renew worker leases, and until when they may have done so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::coordination::clock_drift;
use crate::coordination::worker_leases::DELEGATION_TIME;

/// How much later than its decision an answer of a delegate may leave.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);

/// The state of one delegation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delegation {
    /// The delegate may answer, from the moment the write of its record is queued.
    Granted,
    /// The deletion of its record is queued or in flight.
    Revoking,
    /// The deletion of its record was durable at this moment. The delegate may answer for
    /// [`DELEGATION_TIME`] after a read that came before.
    Revoked { at: Instant },
}

impl Delegation {
    /// Whether the delegate can't answer any more.
    fn has_ended(self, now: Instant) -> bool {
        let last_answer = clock_drift::max_elapsed(DELEGATION_TIME) + DELIVERY_MARGIN;
        matches!(self, Self::Revoked { at } if at + last_answer <= now)
    }
}

/// What is known of renewals by advance delegations, which other controllers use without
/// a word to the leader.
#[derive(Debug, Clone, Copy)]
pub(in crate::coordination::shard) struct AdvanceRenewals {
    /// The moment up to which they are known.
    pub known_at: Instant,
    /// The latest moment up to then at which there may have been one.
    pub last: Option<Instant>,
}

/// The delegations of this leader, and the zones in which advance delegations may be in use.
///
/// Invariant: a delegate is listed for as long as it may answer workers. While none is, other
/// controllers renew leases only by advance delegations. `active_since` is set exactly while
/// a delegate is listed.
#[derive(Debug, Default)]
pub(in crate::coordination::shard) struct Delegations {
    /// By the delegate's node id.
    by_node: BTreeMap<String, Delegation>,
    /// Since when a delegate has been listed without a break.
    active_since: Option<Instant>,
    /// None until the peering code has reported them.
    advance_renewals: Option<AdvanceRenewals>,
    /// Zones all of whose controllers are unreachable: likely partitioned from the leader.
    partitioned_zones: BTreeSet<String>,
}

impl Delegations {
    /// Whether the controller may renew worker leases.
    pub(crate) fn is_granted(&self, node_id: &str) -> bool {
        self.by_node.get(node_id) == Some(&Delegation::Granted)
    }

    /// The controllers that may renew worker leases.
    pub(crate) fn granted(&self) -> impl Iterator<Item = &str> {
        let granted = self
            .by_node
            .iter()
            .filter(|(_, delegation)| **delegation == Delegation::Granted);
        granted.map(|(node_id, _)| node_id.as_str())
    }

    /// The controller may renew worker leases from now on.
    pub(crate) fn grant(&mut self, node_id: &str, now: Instant) {
        self.active_since.get_or_insert(now);
        self.by_node.insert(node_id.to_owned(), Delegation::Granted);
    }

    /// The deletion of the delegation's record is queued.
    pub(crate) fn begin_revocation(&mut self, node_id: &str) {
        if let Some(delegation) = self.by_node.get_mut(node_id) {
            *delegation = Delegation::Revoking;
        }
    }

    /// The deletion of the delegation's record is durable. It may have been granted again
    /// since: then nothing changes.
    pub(crate) fn revocation_written(&mut self, node_id: &str, now: Instant) {
        if let Some(delegation) = self.by_node.get_mut(node_id)
            && *delegation == Delegation::Revoking
        {
            *delegation = Delegation::Revoked { at: now };
        }
    }

    /// Removes the delegations under which nobody can answer any more; returns whether
    /// there were any.
    pub(crate) fn remove_ended(&mut self, now: Instant) -> bool {
        let before = self.by_node.len();
        self.by_node
            .retain(|_, delegation| !delegation.has_ended(now));
        if self.by_node.is_empty() {
            self.active_since = None;
        }
        self.by_node.len() < before
    }

    /// Whether a delegate may have renewed worker leases that the leader doesn't know of.
    pub(crate) fn any_active(&self) -> bool {
        !self.by_node.is_empty()
    }

    /// For how long there has been a delegate without a break; none if there is none.
    pub(crate) fn active_for(&self, now: Instant) -> Option<Duration> {
        self.active_since
            .map(|since| now.saturating_duration_since(since))
    }

    /// Sets what is known of renewals by advance delegations.
    pub(crate) fn note_advance_renewals(&mut self, renewals: AdvanceRenewals) {
        self.advance_renewals = Some(renewals);
    }

    /// What is known of renewals by advance delegations; none until the peering code has
    /// reported them.
    pub(crate) fn advance_renewals(&self) -> Option<AdvanceRenewals> {
        self.advance_renewals
    }

    /// Sets the zones that are likely partitioned from the leader.
    pub(crate) fn set_partitioned_zones(&mut self, zones: BTreeSet<String>) {
        self.partitioned_zones = zones;
    }

    /// Whether the zone is likely partitioned from the leader.
    pub(crate) fn is_partitioned(&self, zone: &str) -> bool {
        self.partitioned_zones.contains(zone)
    }
}
