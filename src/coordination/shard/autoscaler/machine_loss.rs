//! Machine loss: declaring machines dead that are silent, so that their tasks can move.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;

/// Probes that must go unanswered before a silent machine is given back.
const PROBES_TO_ABANDON: u32 = 2;

/// One in so many machines counts as few.
const FEW_LEFT: usize = 20;

/// Share of a zone's machines that are silent if it is likely cut off, and how many it has
/// to have for that.
const ZONE_UNREACHABLE_SHARE: f64 = 0.9;
const LEAST_ZONE: usize = 3;

/// Times of a usual heartbeat after which a machine that was taken is given up.
const SOON: f64 = 1.4;

/// How much of the shard is silent.
#[derive(Debug, Clone)]
struct ReachabilityOverview {
    many_unreachable: bool,
    /// Zones of which next to nothing is heard: likely cut off, and back some time.
    unreachable_zones: HashSet<Arc<str>>,
    /// New machines attempt_number much longer than usual: silent ones may be back sooner.
    late_boots: bool,
    /// The same for machines that answer, but whose own heartbeats don't come.
    many_without_own_heartbeats: bool,
    few_unreconciled: bool,
}

/// The zones of which next to nothing is heard.
fn unreachable_zones<'a>(
    expected: impl Iterator<Item = &'a Machine>,
    silent: impl Iterator<Item = &'a Machine>,
) -> HashSet<Arc<str>> {
    let mut silent_in: HashMap<Arc<str>, usize> = HashMap::new();
    for machine in silent {
        *silent_in.entry(machine.zone.clone()).or_default() += 1;
    }
    let mut all_in: HashMap<Arc<str>, usize> = HashMap::new();
    for machine in expected {
        *all_in.entry(machine.zone.clone()).or_default() += 1;
    }
    let is_silent = |(_, silent): &(&Arc<str>, &usize), all: usize| {
        all >= LEAST_ZONE && (**silent as f64) >= all as f64 * ZONE_UNREACHABLE_SHARE
    };
    let zones = silent_in.iter();
    let zones = zones.filter(|entry| is_silent(entry, all_in.get(entry.0).copied().unwrap_or(0)));
    zones.map(|(zone, _)| zone.clone()).collect()
}

impl Shard {
    /// Gives back machines that are silent, so that their tasks can move.
    pub(super) fn delete_lost_machines(&mut self, now: Instant) {
        let overview = self.reachability_overview(now);
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let lost: Vec<(MachineId, &str)> = expected
            .filter_map(|m| Some((m.id.clone(), self.why_lost(m, &overview, now)?)))
            .collect();
        for (id, why) in lost {
            self.begin_deletion(&id, now, why);
        }
    }

    /// How long a machine has been silent under this leader.
    fn since_last_contact_under_leader(&self, machine: &Machine, now: Instant) -> Duration {
        let last_contact = machine.last_contact.unwrap_or(self.acquired);
        now.saturating_duration_since(last_contact.max(self.acquired))
    }

    /// Whether a machine answers, but its own heartbeats don't come.
    fn heartbeats_missing(&self, machine: &Machine, now: Instant) -> bool {
        machine.last_contact.is_some()
            && machine.since_own_heartbeat(now) >= self.policy.heartbeat_overdue()
    }

    /// The zones of which next to nothing is heard.
    pub(in crate::coordination::shard) fn unreachable_zones(
        &self,
        now: Instant,
    ) -> HashSet<Arc<str>> {
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let is_silent = |m: &&Machine| {
            self.since_last_contact_under_leader(m, now) >= self.policy.suspect_after
        };
        unreachable_zones(expected.clone(), expected.filter(is_silent))
    }

    /// How much is silent at once: when it is much, the trouble is more likely ours.
    fn reachability_overview(&self, now: Instant) -> ReachabilityOverview {
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let total = expected.clone().count();
        let much = |count: usize| count > 1 && count * 3 > total;
        let silent = expected.clone();
        let silent = silent
            .filter(|m| self.since_last_contact_under_leader(m, now) >= self.policy.suspect_after);
        let without_own_heartbeats = expected.filter(|m| self.heartbeats_missing(m, now));
        ReachabilityOverview {
            many_unreachable: much(silent.count()),
            unreachable_zones: self.unreachable_zones(now),
            late_boots: self.autoscaler.boot_times.in_trouble(now),
            many_without_own_heartbeats: much(without_own_heartbeats.count()),
            // The last few that nobody can account for hold up all that waits; when
            // most are reconciled, the trouble is not ours.
            few_unreconciled: self.unreconciled.len() * FEW_LEFT <= total.max(FEW_LEFT * 2),
        }
    }

    /// Why a machine is to be given back now; None if it isn't.
    fn why_lost(
        &self,
        machine: &Machine,
        overview: &ReachabilityOverview,
        now: Instant,
    ) -> Option<&'static str> {
        let since_last_contact = self.since_last_contact_under_leader(machine, now);
        let unanswered = machine.unanswered >= PROBES_TO_ABANDON;
        let in_silent_zone = overview.unreachable_zones.contains(&machine.zone);
        let taken = machine.vanished || machine.preemption_notice.is_some_and(|at| at <= now);
        if taken && since_last_contact >= self.policy.heartbeat_interval.mul_f64(SOON) {
            return Some("the cloud has taken it");
        }
        if unanswered && !self.left_to_delegates(machine, now) {
            if overview.few_unreconciled && self.unreconciled.contains(&machine.id) {
                return Some("it alone is not reconciled");
            }
            let may_be_back = overview.late_boots && in_silent_zone;
            if since_last_contact >= self.policy.dead_after
                && !overview.many_unreachable
                && !may_be_back
            {
                return Some("its worker is silent");
            }
        }
        if now <= machine.lease_expires_at || self.others_may_answer() {
            return None;
        }
        let many_unreachable = overview.many_unreachable || in_silent_zone;
        if since_last_contact >= self.patience(machine, many_unreachable) {
            return Some("its worker's lease is over");
        }
        let without_own_heartbeats = machine.since_own_heartbeat(now);
        let missing = self.heartbeats_missing(machine, now);
        let many_without_own_heartbeats = overview.many_without_own_heartbeats || in_silent_zone;
        if missing && without_own_heartbeats >= self.patience(machine, many_without_own_heartbeats)
        {
            return Some("its worker's heartbeats don't come");
        }
        None
    }

    /// How long a machine may be silent at the most before it is given back.
    fn patience(&self, machine: &Machine, many: bool) -> Duration {
        let lease = self.policy.worker_lease;
        if many {
            lease * 4
        } else if self.answered_in_cut(machine) {
            lease + self.policy.advance_delegation
        } else {
            lease
        }
    }
}
