//! Advance delegations: renewals of workers' leases without the store and the leader.
//!
//! A controller that a network partition separates from the leader and the store at once
//! cannot ask for a delegation. So each answer of the leader to a controller's heartbeat
//! grants a delegation in advance: for a while after that heartbeat was sent, the controller
//! may renew workers' leases with the leader's fencing token, but only once it reaches neither
//! the leader nor the store. A leader past its deadline may do the same with its own fencing
//! token. The delegation is short enough that no task of a job that is cancelled meanwhile runs
//! for longer than `cancel_s` allows.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::command_tokens::CommandTokens;
use crate::coordination::clock_drift;
use crate::settings::Settings;

/// Allowance for scheduling delays on busy processors, for both sides of a delegation together.
const SCHEDULING_MARGIN: Duration = Duration::from_millis(200);

/// How long after the leader's last heartbeat a controller waits before it renews workers'
/// leases by an advance delegation.
pub const LEADER_UNREACHABLE_AFTER: Duration = Duration::from_secs(3);
/// If the leader sent a heartbeat at most this long ago and got an answer, the receiver certainly
/// renews no lease by an advance delegation yet. Less than [`LEADER_UNREACHABLE_AFTER`], the time
/// that the receiver waits after it received the heartbeat.
const NO_ADVANCE_RENEWAL_WITHIN: Duration = Duration::from_millis(2500);

/// Longest duration of an advance delegation: together with a worker's lease it stays within the
/// time in which the tasks of a cancelled job must end. Zero if there are no other controllers.
pub fn max_duration(settings: &Settings) -> Duration {
    if settings.platform.others.is_empty() {
        return Duration::ZERO;
    }
    cancel_time_beyond_lease(settings).min(settings.operator.advance_delegation())
}

/// What remains of the time in which the tasks of a cancelled job must end (`cancel_s`) after the
/// duration of a worker's lease.
pub fn cancel_time_beyond_lease(settings: &Settings) -> Duration {
    let workers = &settings.platform.settings.workers;
    let lease = clock_drift::max_elapsed(workers.lease_duration()) + SCHEDULING_MARGIN;
    workers.max_cancellation_time().saturating_sub(lease)
}

/// The right, granted by the leader's answer to a heartbeat, to renew workers' leases later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvanceDelegation {
    /// The tokens of the leader's commands, as far as they are known to be its own.
    pub tokens: CommandTokens,
    /// When the heartbeat that the leader answered was sent.
    pub heartbeat_sent: Instant,
}

impl AdvanceDelegation {
    /// Until when workers' leases may be renewed, given that all cancellations confirmed before
    /// `cancellations_known_up_to` are known. `None` if no cancellations are known.
    pub fn valid_until(
        &self,
        cancellations_known_up_to: Option<Instant>,
        max_duration: Duration,
    ) -> Option<Instant> {
        let start = self.heartbeat_sent.min(cancellations_known_up_to?);
        let duration = clock_drift::min_elapsed(max_duration).checked_sub(SCHEDULING_MARGIN / 2)?;
        Some(start + duration)
    }

    /// Returns the delegation that applies after the leader has granted `granted`. That of an earlier
    /// leader, granted by a late answer, leaves the `current` delegation as it is.
    pub fn renewed(current: Option<Self>, granted: Self) -> Self {
        let Some(current) = current else {
            return granted;
        };
        let leadership = granted.tokens.leadership();
        match current.tokens.leadership().cmp(&leadership) {
            Ordering::Greater => current,
            Ordering::Less => granted,
            Ordering::Equal => Self {
                tokens: current.tokens.known_at(granted.tokens.highest().revision()),
                heartbeat_sent: current.heartbeat_sent.max(granted.heartbeat_sent),
            },
        }
    }
}

/// The advance delegations that a leader has granted, and what it knows about their use.
#[derive(Debug, Default)]
pub struct AdvanceGrants {
    /// By controller: when the leader last answered its heartbeat.
    granted: HashMap<String, Instant>,
    /// By controller: what its last answer to a heartbeat with the leader's fencing token stated.
    contacts: HashMap<String, Contact>,
}

/// What a controller's answer to the leader's heartbeat states about the leases that the
/// controller has renewed.
#[derive(Debug, Clone, Copy)]
struct Contact {
    /// When the leader sent the heartbeat.
    sent: Instant,
    /// Until when the controller may have renewed leases by an advance delegation.
    renewed_up_to: Instant,
}

impl AdvanceGrants {
    /// Records that the leader answers a controller's heartbeat now, which grants an advance
    /// delegation.
    pub fn record_grant(&mut self, node_id: &str, now: Instant) {
        self.granted.insert(node_id.to_owned(), now);
    }

    /// Records that a controller answered a heartbeat which the leader sent at `sent`, and stated
    /// that it renewed no lease by an advance delegation after `renewed_up_to`.
    pub fn record_answer(&mut self, node_id: &str, sent: Instant, renewed_up_to: Instant) {
        let contact = Contact {
            sent,
            renewed_up_to,
        };
        self.contacts.insert(node_id.to_owned(), contact);
    }

    /// The latest moment up to `now` at which one of these controllers may have renewed workers'
    /// leases by an advance delegation of this leader; `None` if none of them ever can have.
    pub fn last_possible_renewal<'a>(
        &self,
        node_ids: impl Iterator<Item = &'a str>,
        max_duration: Duration,
        now: Instant,
    ) -> Option<Instant> {
        node_ids
            .filter_map(|node_id| self.last_possible_renewal_by(node_id, max_duration, now))
            .max()
    }

    fn last_possible_renewal_by(
        &self,
        node_id: &str,
        max_duration: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let contact = self.contacts.get(node_id);
        let reported_renewal = contact.map(|contact| contact.renewed_up_to.min(now));
        let in_contact = contact.is_some_and(|contact| {
            now.saturating_duration_since(contact.sent) <= NO_ADVANCE_RENEWAL_WITHIN
        });
        if in_contact {
            return reported_renewal;
        }
        let granted = self.granted.get(node_id);
        reported_renewal.max(granted.map(|at| (*at + max_duration).min(now)))
    }
}

#[cfg(test)]
mod tests;
