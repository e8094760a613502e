//! Machine loss: declares unreachable machines dead and deletes them, so that their tasks can run
//! elsewhere.
//!
//! If many machines are unreachable at once, the fault is more likely in this controller or its
//! network than in the machines, so they get more time.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::scale_in::DeletionReason;
use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;

/// Fewest unanswered probes before an unreachable machine is declared dead.
const MIN_UNANSWERED_PROBES: u32 = 2;

/// The unreconciled machines count as few if there is at most one per this many machines, or if
/// there are at most two.
const MACHINES_PER_UNRECONCILED: usize = 20;

/// A zone is likely partitioned if at least this share of its machines is unreachable and it has at
/// least [`MIN_ZONE_MACHINES`] machines.
const ZONE_UNREACHABLE_SHARE: f64 = 0.9;
const MIN_ZONE_MACHINES: usize = 3;

/// A machine that the cloud has reclaimed is deleted after this many heartbeat intervals without
/// contact.
const RECLAIMED_TIMEOUT_INTERVALS: f64 = 1.4;

/// If many machines are unreachable, a machine may be unreachable for this multiple of the worker
/// lease.
const MANY_UNREACHABLE_LEASE_FACTOR: u32 = 4;

/// Summary of how many of the shard's machines are unreachable.
#[derive(Debug, Clone)]
struct ReachabilityOverview {
    /// More than one machine and more than a third of all are unreachable.
    has_many_unreachable: bool,
    /// Zones that are likely partitioned; their machines are expected to become reachable again.
    unreachable_zones: HashSet<Arc<str>>,
    /// New machines take much longer than usual to boot, so unreachable machines may return before
    /// replacements are ready.
    has_slow_boots: bool,
    /// More than one machine and more than a third of all answer probes but send no periodic
    /// heartbeats.
    has_many_without_periodic_heartbeats: bool,
    /// Only few machines are unreconciled.
    has_few_unreconciled: bool,
}

/// The zones in which almost all machines that should send heartbeats are unreachable.
fn unreachable_zones<'a>(
    expected: impl Iterator<Item = &'a Machine>,
    unreachable: impl Iterator<Item = &'a Machine>,
) -> HashSet<Arc<str>> {
    let expected = count_by_zone(expected);
    let is_partitioned = |(zone, unreachable): &(Arc<str>, usize)| {
        let zone_total = expected.get(zone).copied().unwrap_or(0);
        zone_total >= MIN_ZONE_MACHINES
            && (*unreachable as f64) >= zone_total as f64 * ZONE_UNREACHABLE_SHARE
    };
    count_by_zone(unreachable)
        .into_iter()
        .filter(is_partitioned)
        .map(|(zone, _)| zone)
        .collect()
}

fn count_by_zone<'a>(machines: impl Iterator<Item = &'a Machine>) -> HashMap<Arc<str>, usize> {
    let mut counts = HashMap::new();
    for machine in machines {
        *counts.entry(machine.zone.clone()).or_default() += 1;
    }
    counts
}

impl Shard {
    /// Deletes the machines that are declared dead.
    pub(super) fn delete_lost_machines(&mut self, now: Instant) {
        let overview = self.reachability_overview(now);
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let lost: Vec<(MachineId, DeletionReason)> = expected
            .filter_map(|m| Some((m.id.clone(), self.loss_reason(m, &overview, now)?)))
            .collect();
        for (id, reason) in lost {
            self.begin_deletion(&id, now, reason);
        }
    }

    /// Time since the last contact with a machine; since the start of this leader's term if there
    /// was no contact during it.
    fn since_last_contact_in_term(&self, machine: &Machine, now: Instant) -> Duration {
        let last_contact = machine.last_contact.unwrap_or(self.term_began);
        now.saturating_duration_since(last_contact.max(self.term_began))
    }

    /// Whether the last contact with a machine was so long ago that it gets no new tasks.
    fn is_unreachable(&self, machine: &Machine, now: Instant) -> bool {
        self.since_last_contact_in_term(machine, now) >= self.policy.suspect_after
    }

    /// Whether a machine has been in contact, but its worker's periodic heartbeats have stopped
    /// arriving.
    fn is_missing_periodic_heartbeats(&self, machine: &Machine, now: Instant) -> bool {
        machine.last_contact.is_some()
            && machine.since_periodic_heartbeat(now) >= self.policy.heartbeat_overdue_after()
    }

    /// The zones that are likely partitioned, because almost all of their machines are unreachable.
    pub(in crate::coordination::shard) fn unreachable_zones(
        &self,
        now: Instant,
    ) -> HashSet<Arc<str>> {
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let unreachable = expected.clone().filter(|m| self.is_unreachable(m, now));
        unreachable_zones(expected, unreachable)
    }

    fn reachability_overview(&self, now: Instant) -> ReachabilityOverview {
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let total = expected.clone().count();
        let are_many = |count: usize| count > 1 && count * 3 > total;
        let unreachable = expected.clone().filter(|m| self.is_unreachable(m, now));
        let without_periodic_heartbeats =
            expected.filter(|m| self.is_missing_periodic_heartbeats(m, now));
        ReachabilityOverview {
            has_many_unreachable: are_many(unreachable.count()),
            unreachable_zones: self.unreachable_zones(now),
            has_slow_boots: self.autoscaler.boot_times.is_any_pool_slow(now),
            has_many_without_periodic_heartbeats: are_many(without_periodic_heartbeats.count()),
            // The last few unreconciled machines hold up all waiting tasks. If most machines are
            // reconciled, the fault is not in this controller.
            has_few_unreconciled: self.unreconciled.len() * MACHINES_PER_UNRECONCILED
                <= total.max(MACHINES_PER_UNRECONCILED * 2),
        }
    }

    /// Why a machine is declared dead now; None if it is not declared dead.
    fn loss_reason(
        &self,
        machine: &Machine,
        overview: &ReachabilityOverview,
        now: Instant,
    ) -> Option<DeletionReason> {
        let since_last_contact = self.since_last_contact_in_term(machine, now);
        let is_reclaimed =
            machine.is_missing_from_list || machine.preemption_notice.is_some_and(|at| at <= now);
        let reclaimed_timeout = self
            .policy
            .heartbeat_interval
            .mul_f64(RECLAIMED_TIMEOUT_INTERVALS);
        if is_reclaimed && since_last_contact >= reclaimed_timeout {
            return Some(DeletionReason::Reclaimed);
        }
        self.unanswered_probes_reason(machine, overview, now)
            .or_else(|| self.expired_lease_reason(machine, overview, now))
    }

    /// Why a machine that answers no probes is declared dead although its worker's lease may still
    /// be valid; None if it is not declared dead.
    fn unanswered_probes_reason(
        &self,
        machine: &Machine,
        overview: &ReachabilityOverview,
        now: Instant,
    ) -> Option<DeletionReason> {
        let is_unanswered = machine.commands.unanswered_batches() >= MIN_UNANSWERED_PROBES;
        if !is_unanswered || self.should_defer_replacement(machine, now) {
            return None;
        }
        if overview.has_few_unreconciled && self.unreconciled.contains(&machine.id) {
            return Some(DeletionReason::Unreconciled);
        }
        let is_in_unreachable_zone = overview.unreachable_zones.contains(&machine.zone);
        let may_return = overview.has_slow_boots && is_in_unreachable_zone;
        let is_dead = self.since_last_contact_in_term(machine, now) >= self.policy.dead_after
            && !overview.has_many_unreachable
            && !may_return;
        is_dead.then_some(DeletionReason::Unreachable)
    }

    /// Why a machine whose worker's lease has expired is declared dead; None if it is not declared
    /// dead.
    fn expired_lease_reason(
        &self,
        machine: &Machine,
        overview: &ReachabilityOverview,
        now: Instant,
    ) -> Option<DeletionReason> {
        if now <= machine.lease.expires_at() || self.others_may_renew_leases() {
            return None;
        }
        let is_in_unreachable_zone = overview.unreachable_zones.contains(&machine.zone);
        let many_unreachable = overview.has_many_unreachable || is_in_unreachable_zone;
        let since_last_contact = self.since_last_contact_in_term(machine, now);
        if since_last_contact >= self.max_unreachable_time(machine, many_unreachable) {
            return Some(DeletionReason::LeaseExpired);
        }
        let many_missing = overview.has_many_without_periodic_heartbeats || is_in_unreachable_zone;
        let is_missing = self.is_missing_periodic_heartbeats(machine, now)
            && machine.since_periodic_heartbeat(now)
                >= self.max_unreachable_time(machine, many_missing);
        is_missing.then_some(DeletionReason::HeartbeatsMissing)
    }

    /// How long a machine may be unreachable before it is declared dead. `is_widespread` says that
    /// many machines, or almost all of its zone, are affected.
    fn max_unreachable_time(&self, machine: &Machine, is_widespread: bool) -> Duration {
        let lease = self.policy.worker_lease;
        if is_widespread {
            lease * MANY_UNREACHABLE_LEASE_FACTOR
        } else if self.may_be_renewed_in_partition(machine) {
            lease + self.policy.advance_delegation
        } else {
            lease
        }
    }
}
