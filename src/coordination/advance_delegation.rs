//! Advance delegations: going on without the state service.
//!
//! A controller that a cut takes from the owner and the state service at once
//! can't ask for a delegation. So each answer of the owner to a controller's heartbeat
//! allows it in advance to answer workers: for a while after that heartbeat it
//! may answer them with the owner's term, but only once it hears neither the
//! owner nor the service. An owner past its deadline may do the same for its
//! own term. The time is short enough that no task of a job cancelled meanwhile
//! outlives the time in which it has to end.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::drift;
use crate::settings::Settings;

/// For a busy processor.
const MARGIN: Duration = Duration::from_millis(200);

/// How long a controller that hears the owner no more waits before it answers
/// workers on its own.
pub const OWNER_SILENT: Duration = Duration::from_secs(3);
/// How long after a heartbeat that was answered its receiver surely keeps nothing:
/// less than [`OWNER_SILENT`] from when it heard that heartbeat.
const SURELY_HEARD: Duration = Duration::from_millis(2500);

/// For how long a controller may keep workers on its own: their leases and this
/// together stay within the time that a cancelled job's tasks have.
pub fn longest(settings: &Settings) -> Duration {
    if settings.platform.others.is_empty() {
        return Duration::ZERO;
    }
    beyond_lease(settings).min(settings.operator.keep_alone())
}

/// The time that a cancelled job's tasks have beyond a worker's lease.
pub fn beyond_lease(settings: &Settings) -> Duration {
    let workers = &settings.platform.settings.workers;
    let lease = drift::longest(workers.lease()) + MARGIN;
    workers.cancel().saturating_sub(lease)
}

/// What an owner's answer to a heartbeat entitles to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvanceDelegation {
    /// The owner's term.
    pub term: u64,
    /// When the heartbeat was sent that the owner answered.
    pub seen: Instant,
}

impl AdvanceDelegation {
    /// Until when workers may be answered, if all cancellations told before
    /// `known` are known.
    pub fn until(&self, known: Option<Instant>, longest: Duration) -> Option<Instant> {
        let from = self.seen.min(known?);
        Some(from + drift::shortest(longest).checked_sub(MARGIN / 2)?)
    }

    /// Takes in that an owner answered a heartbeat sent then.
    pub fn renewed(known: Option<Self>, term: u64, sent: Instant) -> Self {
        match known {
            Some(delegation) if delegation.term > term => delegation,
            Some(delegation) if delegation.term == term => Self {
                term,
                seen: delegation.seen.max(sent),
            },
            _ => Self { term, seen: sent },
        }
    }
}

/// What an owner knows of the delegations that its answers gave.
#[derive(Debug, Default)]
pub struct AdvanceGrants {
    /// By controller: when it last got an answer of ours.
    granted: HashMap<String, Instant>,
    /// By controller: when we sent the last heartbeat of this term that it answered,
    /// and a moment after which it had answered no worker then.
    quiet: HashMap<String, (Instant, Instant)>,
}

impl AdvanceGrants {
    /// A controller's heartbeat is answered.
    pub fn grant(&mut self, label: &str, now: Instant) {
        self.granted.insert(label.to_owned(), now);
    }

    /// A controller answered a heartbeat sent then: when it last answered workers.
    pub fn answered(&mut self, label: &str, sent: Instant, kept: Instant) {
        self.quiet.insert(label.to_owned(), (sent, kept));
    }

    /// The latest moment up to `now` at which one of these controllers may have
    /// answered workers under our term; None if none ever can have.
    pub fn last_answer<'a>(
        &self,
        labels: impl Iterator<Item = &'a str>,
        longest: Duration,
        now: Instant,
    ) -> Option<Instant> {
        let of = |label: &str| {
            let quiet = self.quiet.get(label);
            let kept = quiet.map(|(_, kept)| (*kept).min(now));
            if quiet.is_some_and(|(sent, _)| now.saturating_duration_since(*sent) <= SURELY_HEARD) {
                return kept;
            }
            let delegated = self.granted.get(label).map(|at| (*at + longest).min(now));
            kept.max(delegated)
        };
        labels.filter_map(of).max()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONGEST: Duration = Duration::from_secs(20);

    #[test]
    fn an_advance_delegation_runs_from_the_older_of_heartbeat_and_look() {
        let start = Instant::now();
        let later = start + Duration::from_secs(5);
        let delegation = AdvanceDelegation::renewed(None, 7, later);
        assert_eq!(delegation.until(None, LONGEST), None, "never looked");
        let until = delegation.until(Some(start), LONGEST).expect("a look");
        assert!(until < start + LONGEST);
        assert!(until > start + LONGEST - Duration::from_millis(300));
        // An older owner's late answer changes nothing, a newer one's does.
        assert_eq!(
            AdvanceDelegation::renewed(Some(delegation), 6, later),
            delegation
        );
        assert_eq!(
            AdvanceDelegation::renewed(Some(delegation), 8, later).term,
            8
        );
        assert_eq!(
            AdvanceDelegation::renewed(Some(delegation), 7, start).seen,
            later
        );
    }

    #[test]
    fn an_owner_counts_on_a_delegate_that_does_not_answer() {
        let start = Instant::now();
        let at = |s: f64| start + Duration::from_secs_f64(s);
        let mut advance_grants = AdvanceGrants::default();
        let last = |advance_grants: &AdvanceGrants, now| {
            advance_grants.last_answer(["b", "c"].into_iter(), LONGEST, now)
        };
        assert_eq!(
            last(&advance_grants, at(1.0)),
            None,
            "no answer was given yet"
        );
        advance_grants.grant("b", at(1.0));
        advance_grants.answered("b", at(1.5), at(0.5));
        assert_eq!(last(&advance_grants, at(3.9)), Some(at(0.5)), "it hears us");
        // Silent since: it may be answering workers now, until its time is up.
        assert_eq!(last(&advance_grants, at(5.0)), Some(at(5.0)));
        assert_eq!(last(&advance_grants, at(60.0)), Some(at(21.0)));
        advance_grants.answered("b", at(59.0), at(40.0));
        assert_eq!(
            last(&advance_grants, at(60.0)),
            Some(at(40.0)),
            "as it says itself"
        );
    }
}
