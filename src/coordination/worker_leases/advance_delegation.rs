//! Advance delegations: renewing workers' leases without the store and the leader.
//!
//! A controller that a network partition separates from the leader and the store at once
//! cannot ask for a delegation. So each answer of the leader to a controller's heartbeat
//! grants one in advance: for a while after that heartbeat was sent, the controller may
//! renew workers' leases with the leader's fencing token, but only once it reaches neither
//! the leader nor the store. A leader past its deadline may do the same with its own
//! fencing token. The time is short enough that no task of a job cancelled meanwhile runs
//! for longer than `cancel_s` allows.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::coordination::clock_drift;
use crate::protocol::FencingToken;
use crate::settings::Settings;

/// Time left for scheduling delays on a busy processor, on both sides together.
const SCHEDULING_MARGIN: Duration = Duration::from_millis(200);

/// How long after the leader's last heartbeat a controller waits before it renews workers'
/// leases by an advance delegation.
pub const LEADER_UNREACHABLE_AFTER: Duration = Duration::from_secs(3);
/// How long after a heartbeat that was answered its receiver surely renews no lease by an
/// advance delegation: less than [`LEADER_UNREACHABLE_AFTER`] from when it received that
/// heartbeat.
const SURELY_IN_CONTACT: Duration = Duration::from_millis(2500);

/// How long an advance delegation lasts at most: it and the workers' leases together stay
/// within the time that the tasks of a cancelled job have to end.
pub fn longest(settings: &Settings) -> Duration {
    if settings.platform.others.is_empty() {
        return Duration::ZERO;
    }
    beyond_lease(settings).min(settings.operator.advance_delegation())
}

/// The time that the tasks of a cancelled job have to end beyond a worker's lease.
pub fn beyond_lease(settings: &Settings) -> Duration {
    let workers = &settings.platform.settings.workers;
    let lease = clock_drift::max_elapsed(workers.lease()) + SCHEDULING_MARGIN;
    workers.cancel().saturating_sub(lease)
}

/// What a leader's answer to a heartbeat grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvanceDelegation {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// When the heartbeat was sent that the leader answered.
    pub seen: Instant,
}

impl AdvanceDelegation {
    /// Until when workers' leases may be renewed, if all cancellations are known that were
    /// confirmed before `known`.
    pub fn until(&self, known: Option<Instant>, longest: Duration) -> Option<Instant> {
        let from = self.seen.min(known?);
        let lasts = clock_drift::min_elapsed(longest).checked_sub(SCHEDULING_MARGIN / 2)?;
        Some(from + lasts)
    }

    /// The delegation after a leader answered a heartbeat that was sent at `sent`: late
    /// answers, of this leader or an earlier one, change nothing.
    pub fn renewed(known: Option<Self>, fencing_token: FencingToken, sent: Instant) -> Self {
        match known {
            Some(delegation) if delegation.fencing_token > fencing_token => delegation,
            Some(delegation) if delegation.fencing_token == fencing_token => Self {
                fencing_token,
                seen: delegation.seen.max(sent),
            },
            _ => Self {
                fencing_token,
                seen: sent,
            },
        }
    }
}

/// What a leader knows of the advance delegations that its answers granted.
#[derive(Debug, Default)]
pub struct AdvanceGrants {
    /// By controller: when the leader last answered its heartbeat.
    granted: HashMap<String, Instant>,
    /// By controller: its last answer to a heartbeat with the leader's fencing token.
    contacts: HashMap<String, Contact>,
}

/// What a controller's answer to the leader's heartbeat says of the leases that the
/// controller renewed.
#[derive(Debug, Clone, Copy)]
struct Contact {
    /// When the leader sent the heartbeat.
    sent: Instant,
    /// Up to when the controller may have renewed leases by an advance delegation.
    renewed_up_to: Instant,
}

impl AdvanceGrants {
    /// The leader answers a controller's heartbeat, and so grants an advance delegation.
    pub fn grant(&mut self, node_id: &str, now: Instant) {
        self.granted.insert(node_id.to_owned(), now);
    }

    /// A controller answered a heartbeat that the leader sent at `sent`, and said that it
    /// renewed no lease by an advance delegation after `renewed_up_to`.
    pub fn answered(&mut self, node_id: &str, sent: Instant, renewed_up_to: Instant) {
        let contact = Contact {
            sent,
            renewed_up_to,
        };
        self.contacts.insert(node_id.to_owned(), contact);
    }

    /// The latest moment up to `now` at which one of these controllers may have renewed
    /// workers' leases with the leader's fencing token; None if none ever can have.
    pub fn last_answer<'a>(
        &self,
        node_ids: impl Iterator<Item = &'a str>,
        longest: Duration,
        now: Instant,
    ) -> Option<Instant> {
        node_ids
            .filter_map(|node_id| self.last_answer_by(node_id, longest, now))
            .max()
    }

    fn last_answer_by(&self, node_id: &str, longest: Duration, now: Instant) -> Option<Instant> {
        let contact = self.contacts.get(node_id);
        let reported = contact.map(|contact| contact.renewed_up_to.min(now));
        let in_contact = contact.is_some_and(|contact| {
            now.saturating_duration_since(contact.sent) <= SURELY_IN_CONTACT
        });
        if in_contact {
            return reported;
        }
        let granted = self.granted.get(node_id);
        reported.max(granted.map(|at| (*at + longest).min(now)))
    }
}

#[cfg(test)]
mod tests;
