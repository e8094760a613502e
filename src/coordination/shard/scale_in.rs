//! Giving machines back: those that are silent, that nobody needs, or that never came up.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::autoscaler::{CLOUD_RETRY, LEAST_CHARGE, MachineKind};
use super::plan::{Capacity, startup};
use super::{Action, Machine, Shard};
use crate::protocol::MachineId;

/// Most machines in one deletion request.
const MOST_PER_DELETION: usize = 100;

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

/// Times of a usual boot, and some more, after which a machine that is not up is given
/// back; at most so long where all come late.
const BOOTS_TO_GIVE_UP: f64 = 4.0;
const BOOT_ALLOWANCE: Duration = Duration::from_secs(30);
const LONGEST_BOOT_PATIENCE: Duration = Duration::from_secs(900);

/// The same for a machine whose type isn't known.
const PATIENCE_WITH_UNKNOWN: Duration = Duration::from_secs(300);

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
    pub(super) fn unreachable_zones(&self, now: Instant) -> HashSet<Arc<str>> {
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

    /// Gives a machine back; its tasks count until the cloud says 200.
    pub(super) fn begin_deletion(&mut self, id: &MachineId, now: Instant, why: &str) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.deleting {
            return;
        }
        machine.deleting = true;
        tracing::info!(
            machine = %id,
            age_s = now.saturating_duration_since(machine.rented).as_secs(),
            why,
            "machine given back"
        );
        self.record_deletion(id);
    }

    /// Asks the cloud to delete machines whose return is on record.
    pub(super) fn delete(&mut self, ids: &[MachineId]) {
        for batch in ids.chunks(MOST_PER_DELETION) {
            self.out.push(Action::Delete(batch.to_vec()));
        }
    }

    /// The cloud answered (or didn't) a deletion.
    pub fn deletion_answered(&mut self, ids: &[MachineId], done: bool, now: Instant) {
        for id in ids {
            if done {
                // The machine and everything on it are gone.
                self.empty_machine(id, now);
                if let Some(machine) = self.machines.remove(id) {
                    self.record_gone(id);
                    let kind = MachineKind {
                        machine_type: machine.machine_type.to_string(),
                        zone: machine.zone.to_string(),
                        spot: machine.spot,
                    };
                    self.autoscaler.note_freed(&kind);
                }
                self.deleted_machines.insert(id.clone(), now);
            } else if let Some(machine) = self.machines.get_mut(id) {
                machine.deletion_retry = Some(now + CLOUD_RETRY);
            }
        }
        self.needs_pass = true;
    }

    /// How long a machine that is not up yet is waited for. Where none comes up in time,
    /// giving them all back would only begin the wait anew.
    fn boot_patience(&self, machine: &Machine, now: Instant) -> Duration {
        let Some(kind) = self.types.get(&*machine.machine_type) else {
            return PATIENCE_WITH_UNKNOWN;
        };
        let slowness = self.boot_patience_factor(machine, now);
        let patience = startup(kind).mul_f64(BOOTS_TO_GIVE_UP) + BOOT_ALLOWANCE;
        patience
            .mul_f64(slowness)
            .min(LONGEST_BOOT_PATIENCE.max(patience))
    }

    /// Gives back what is empty and in no plan, and what never came up.
    pub(super) fn delete_spare_machines(&mut self, capacities: &[Capacity], now: Instant) {
        let spare: HashSet<&MachineId> = capacities
            .iter()
            .filter(|capacity| !capacity.used)
            .filter_map(|capacity| capacity.machine.as_ref())
            .collect();
        let mut back: Vec<(MachineId, &str)> = Vec::new();
        let mut late: Vec<(Arc<str>, Arc<str>)> = Vec::new();
        for machine in self.machines.values().filter(|m| !m.deleting) {
            let age = now.saturating_duration_since(machine.rented);
            if machine.last_contact.is_none() && !machine.admitted {
                if age > self.boot_patience(machine, now) {
                    late.push((machine.machine_type.clone(), machine.zone.clone()));
                    back.push((machine.id.clone(), "it never came up"));
                }
                continue;
            }
            let unrecorded = |m: &Machine| m.attempts.values().any(|a| !a.clearable);
            if !machine.load.idle() || unrecorded(machine) {
                continue;
            }
            let idle = machine
                .idle_since
                .is_some_and(|since| now.saturating_duration_since(since) >= self.policy.idle);
            if machine.cordoned || machine.draining || machine.preemption_notice.is_some() {
                back.push((machine.id.clone(), "it is empty and gets no more tasks"));
            } else if idle
                && self.unreconciled.is_empty()
                && spare.contains(&machine.id)
                && age + Duration::from_secs(5) > LEAST_CHARGE
            {
                back.push((machine.id.clone(), "it is not needed"));
            }
        }
        for (machine_type, zone) in late {
            let boots = &mut self.autoscaler.boot_times;
            boots.note_given_up(&machine_type, &zone, now);
        }
        for (id, why) in back {
            self.begin_deletion(&id, now, why);
        }
    }
}
