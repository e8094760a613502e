//! The table of the controllers that may renew worker leases, and until when each may have done so.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::coordination::clock_drift;
use crate::coordination::worker_leases::DELEGATION_TIME;
use crate::storage::revoked_launches::RevokedLaunchPages;

/// Longest time from a delegate's decision to answer a heartbeat until it sends the answer.
const ANSWER_SEND_MARGIN: Duration = Duration::from_millis(50);

/// The state of one delegation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delegation {
    /// The delegate may answer heartbeats, from the moment the write of its record is queued.
    Granted,
    /// The deletion of the delegate's record is queued or in flight.
    Revoking,
    /// The deletion of the delegate's record became durable at this moment. A delegate that read
    /// the record earlier may answer heartbeats for [`DELEGATION_TIME`] after that read.
    Revoked { at: Instant },
}

impl Delegation {
    /// Whether the delegate can no longer answer heartbeats.
    fn has_ended(self, now: Instant) -> bool {
        let answers_for = clock_drift::max_elapsed(DELEGATION_TIME) + ANSWER_SEND_MARGIN;
        matches!(self, Self::Revoked { at } if at + answers_for <= now)
    }
}

/// What is known about renewals by advance delegations, which other controllers use without
/// notifying the leader.
#[derive(Debug, Clone, Copy)]
pub(in crate::coordination::shard) struct AdvanceRenewals {
    /// The moment up to which renewals are known.
    pub known_at: Instant,
    /// The latest moment, up to `known_at`, at which such a renewal may have happened; None if
    /// none can have happened.
    pub last: Option<Instant>,
}

/// The delegations of this leader, and the zones in which advance delegations may be in use.
///
/// Invariants: a delegate is in `by_node` for as long as it may answer workers' heartbeats. While
/// `by_node` is empty, other controllers renew leases only by advance delegations. `active_since`
/// is set exactly while `by_node` is not empty.
#[derive(Debug, Default)]
pub(in crate::coordination::shard) struct Delegations {
    /// The delegations, by the delegate's node id.
    by_node: BTreeMap<String, Delegation>,
    /// Since when `by_node` has continuously held a delegate.
    active_since: Option<Instant>,
    /// Renewals by advance delegations; None until the peering code has reported them.
    advance_renewals: Option<AdvanceRenewals>,
    /// Zones that are likely partitioned from the leader, as all of their controllers are
    /// unreachable.
    partitioned_zones: BTreeSet<String>,
    /// The launches that delegates have to make ineffective, as recorded for them.
    pub(in crate::coordination::shard) revoked_launches: RevokedLaunchPages,
}

impl Delegations {
    /// Whether the controller may renew worker leases.
    pub(crate) fn is_granted(&self, node_id: &str) -> bool {
        self.by_node.get(node_id) == Some(&Delegation::Granted)
    }

    /// The node ids of the controllers that may renew worker leases.
    pub(crate) fn granted_node_ids(&self) -> impl Iterator<Item = &str> {
        let granted = self
            .by_node
            .iter()
            .filter(|(_, delegation)| **delegation == Delegation::Granted);
        granted.map(|(node_id, _)| node_id.as_str())
    }

    /// Records that the controller may renew worker leases from `now` on.
    pub(crate) fn grant(&mut self, node_id: &str, now: Instant) {
        self.active_since.get_or_insert(now);
        self.by_node.insert(node_id.to_owned(), Delegation::Granted);
    }

    /// Records that the deletion of the delegation's record is queued.
    pub(crate) fn begin_revocation(&mut self, node_id: &str) {
        if let Some(delegation) = self.by_node.get_mut(node_id) {
            *delegation = Delegation::Revoking;
        }
    }

    /// Records that the deletion of the delegation's record is durable. If the delegation has been
    /// granted again in the meantime, nothing changes.
    pub(crate) fn revocation_written(&mut self, node_id: &str, now: Instant) {
        if let Some(delegation) = self.by_node.get_mut(node_id)
            && *delegation == Delegation::Revoking
        {
            *delegation = Delegation::Revoked { at: now };
        }
    }

    /// Removes the delegations whose delegate can no longer answer heartbeats; returns whether
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

    /// Whether a delegate may have renewed worker leases without the leader's knowledge.
    pub(crate) fn has_active(&self) -> bool {
        !self.by_node.is_empty()
    }

    /// For how long there has continuously been a delegate; None if there is none.
    pub(crate) fn active_duration(&self, now: Instant) -> Option<Duration> {
        self.active_since
            .map(|since| now.saturating_duration_since(since))
    }

    /// Sets what is known about renewals by advance delegations.
    pub(crate) fn note_advance_renewals(&mut self, renewals: AdvanceRenewals) {
        self.advance_renewals = Some(renewals);
    }

    /// What is known about renewals by advance delegations; None until the peering code has
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
