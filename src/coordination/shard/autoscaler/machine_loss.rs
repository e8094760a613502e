//! Machine loss: declaring unreachable machines dead and deleting them, so that their tasks
//! can run elsewhere.
//!
//! Where much is unreachable at once, the fault is more likely in this controller or its
//! network than in the machines, and they get more time.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::scale_in::DeletionReason;
use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;

/// Probes that must go unanswered before an unreachable machine is declared dead.
const MIN_UNANSWERED_PROBES: u32 = 2;

/// Up to one unreconciled machine in so many counts as few; two always do.
const FEW_UNRECONCILED_ONE_IN: usize = 20;

/// Share of a zone's machines that are unreachable if the zone is likely partitioned, and how many
/// machines the zone has to have for that.
const ZONE_UNREACHABLE_SHARE: f64 = 0.9;
const MIN_ZONE_MACHINES: usize = 3;

/// Multiple of the heartbeat interval without contact after which a machine that the cloud
/// has reclaimed is deleted.
const RECLAIMED_INTERVALS: f64 = 1.4;

/// Multiple of a worker's lease that a machine gets where much is unreachable.
const MANY_UNREACHABLE_LEASES: u32 = 4;

/// How much of the shard is unreachable.
#[derive(Debug, Clone)]
struct ReachabilityOverview {
    /// More than a third of the machines are unreachable.
    many_unreachable: bool,
    /// Zones that are likely partitioned; their machines are expected to return.
    unreachable_zones: HashSet<Arc<str>>,
    /// New machines take much longer than usual to boot: unreachable ones may return sooner.
    slow_boots: bool,
    /// More than a third of the machines answer, but send no heartbeats of their own.
    many_without_own_heartbeats: bool,
    /// Only few machines are not reconciled.
    few_unreconciled: bool,
}

/// The zones almost all of whose machines are unreachable.
fn unreachable_zones<'a>(
    expected: impl Iterator<Item = &'a Machine>,
    unreachable: impl Iterator<Item = &'a Machine>,
) -> HashSet<Arc<str>> {
    let expected = count_by_zone(expected);
    let is_partitioned = |(zone, unreachable): &(Arc<str>, usize)| {
        let all = expected.get(zone).copied().unwrap_or(0);
        all >= MIN_ZONE_MACHINES && (*unreachable as f64) >= all as f64 * ZONE_UNREACHABLE_SHARE
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
    /// Deletes the machines that are lost.
    pub(super) fn delete_lost_machines(&mut self, now: Instant) {
        let overview = self.reachability_overview(now);
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let lost: Vec<(MachineId, DeletionReason)> = expected
            .filter_map(|m| Some((m.id.clone(), self.why_lost(m, &overview, now)?)))
            .collect();
        for (id, reason) in lost {
            self.begin_deletion(&id, now, reason);
        }
    }

    /// How long there has been no contact with a machine under this leader.
    fn since_last_contact_under_leader(&self, machine: &Machine, now: Instant) -> Duration {
        let last_contact = machine.last_contact.unwrap_or(self.acquired);
        now.saturating_duration_since(last_contact.max(self.acquired))
    }

    /// Whether there has been no contact with a machine for long enough to suspect it.
    fn is_unreachable(&self, machine: &Machine, now: Instant) -> bool {
        self.since_last_contact_under_leader(machine, now) >= self.policy.suspect_after
    }

    /// Whether a machine answers, but its own heartbeats do not arrive.
    fn heartbeats_missing(&self, machine: &Machine, now: Instant) -> bool {
        machine.last_contact.is_some()
            && machine.since_own_heartbeat(now) >= self.policy.heartbeat_overdue()
    }

    /// The zones almost all of whose machines are unreachable: likely partitioned.
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
        let many = |count: usize| count > 1 && count * 3 > total;
        let unreachable = expected.clone().filter(|m| self.is_unreachable(m, now));
        let without_own_heartbeats = expected.filter(|m| self.heartbeats_missing(m, now));
        ReachabilityOverview {
            many_unreachable: many(unreachable.count()),
            unreachable_zones: self.unreachable_zones(now),
            slow_boots: self.autoscaler.boot_times.any_slow(now),
            many_without_own_heartbeats: many(without_own_heartbeats.count()),
            // The last few unreconciled machines hold up all waiting tasks; when most are
            // reconciled, the fault is not ours.
            few_unreconciled: self.unreconciled.len() * FEW_UNRECONCILED_ONE_IN
                <= total.max(FEW_UNRECONCILED_ONE_IN * 2),
        }
    }

    /// Why a machine is declared dead now; None if it is not.
    fn why_lost(
        &self,
        machine: &Machine,
        overview: &ReachabilityOverview,
        now: Instant,
    ) -> Option<DeletionReason> {
        let since_last_contact = self.since_last_contact_under_leader(machine, now);
        let reclaimed = machine.vanished || machine.preemption_notice.is_some_and(|at| at <= now);
        let soon = self.policy.heartbeat_interval.mul_f64(RECLAIMED_INTERVALS);
        if reclaimed && since_last_contact >= soon {
            return Some(DeletionReason::Reclaimed);
        }
        self.why_unanswered(machine, overview, now)
            .or_else(|| self.why_lease_expired(machine, overview, now))
    }

    /// Why a machine is declared dead that answers no probes, while its lease may last; None
    /// if it is not.
    fn why_unanswered(
        &self,
        machine: &Machine,
        overview: &ReachabilityOverview,
        now: Instant,
    ) -> Option<DeletionReason> {
        let unanswered = machine.commands.unanswered() >= MIN_UNANSWERED_PROBES;
        if !unanswered || self.left_to_delegates(machine, now) {
            return None;
        }
        if overview.few_unreconciled && self.unreconciled.contains(&machine.id) {
            return Some(DeletionReason::Unreconciled);
        }
        let in_unreachable_zone = overview.unreachable_zones.contains(&machine.zone);
        let may_return = overview.slow_boots && in_unreachable_zone;
        let dead = self.since_last_contact_under_leader(machine, now) >= self.policy.dead_after
            && !overview.many_unreachable
            && !may_return;
        dead.then_some(DeletionReason::Unreachable)
    }

    /// Why a machine is declared dead whose worker's lease has expired; None if it is not.
    fn why_lease_expired(
        &self,
        machine: &Machine,
        overview: &ReachabilityOverview,
        now: Instant,
    ) -> Option<DeletionReason> {
        if now <= machine.lease.expires_at() || self.others_may_renew_leases() {
            return None;
        }
        let in_unreachable_zone = overview.unreachable_zones.contains(&machine.zone);
        let many_unreachable = overview.many_unreachable || in_unreachable_zone;
        let since_last_contact = self.since_last_contact_under_leader(machine, now);
        if since_last_contact >= self.max_unreachable(machine, many_unreachable) {
            return Some(DeletionReason::LeaseExpired);
        }
        let many_missing = overview.many_without_own_heartbeats || in_unreachable_zone;
        let missing = self.heartbeats_missing(machine, now)
            && machine.since_own_heartbeat(now) >= self.max_unreachable(machine, many_missing);
        missing.then_some(DeletionReason::HeartbeatsMissing)
    }

    /// How long a machine may be unreachable before it is declared dead; `many` says that much
    /// of the shard is.
    fn max_unreachable(&self, machine: &Machine, many: bool) -> Duration {
        let lease = self.policy.worker_lease;
        if many {
            lease * MANY_UNREACHABLE_LEASES
        } else if self.may_be_renewed_in_partition(machine) {
            lease + self.policy.advance_delegation
        } else {
            lease
        }
    }
}
