//! Carrying out the plan: rentals, returns, and what the cloud says.

mod arrivals;
mod boot_times;
mod capacity;
mod demand;
mod drain;
mod machine_kind;
mod machine_loss;
mod offer;
mod plan;
mod scale_in;
mod scale_out;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use self::arrivals::ClassHistory;
use self::boot_times::BootTimes;
pub(super) use self::drain::hosts_services;
use self::machine_kind::{LEAST_CHARGE, MachineKind, PLAN_EVERY, startup};
pub use self::scale_out::RentalOutcome;
use super::{Machine, Shard};
use crate::protocol::cloud::{MachineType, Rental};
use crate::protocol::users::{JobSpec, Priority};

/// Most machines in one rental request.
const MOST_PER_RENTAL: u32 = 50;

/// Names of machines that are gone are kept at least this long.
const REMEMBER_GONE: Duration = Duration::from_secs(900);

/// How often the pause after a refusal doubles at the most.
const LONGEST_REFUSAL: u32 = 3;

/// A rental under way.
#[derive(Debug)]
struct PendingRental {
    rental: Rental,
    retry: Option<Instant>,
}

/// A kind of machine of which the cloud had too few.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: Instant,
    /// How often in a row.
    times: u32,
}

/// The cloud's side of the shard.
#[derive(Debug, Default)]
pub struct Autoscaler {
    pending_rentals: BTreeMap<String, PendingRental>,
    refused: HashMap<MachineKind, Refusal>,
    /// How long new machines attempt_number to come up.
    boot_times: BootTimes,
    next_rental: u64,
    last_plan: Option<Instant>,
    classes: BTreeMap<String, ClassHistory>,
    /// When each team last had an unfinished job, as far as this leader has seen.
    last_work: BTreeMap<String, Instant>,
    /// Cheap cores that each priority has found lately.
    usual_cores: BTreeMap<Priority, f64>,
}

impl Autoscaler {
    /// There is one more to be had of a kind: it may be asked for again.
    fn note_freed(&mut self, kind: &MachineKind) {
        self.refused.remove(kind);
    }

    /// Whether a kind is better not asked for now.
    fn refuses(&self, kind: &MachineKind, now: Instant) -> bool {
        self.refused
            .get(kind)
            .is_some_and(|refusal| refusal.until > now)
    }

    /// The cloud has too few of a kind. Each time in a row it is left alone for
    /// twice as long: where many kinds are used up, asking them all again in turn
    /// would never come to the one of which there is more.
    fn note_refusal(&mut self, kind: MachineKind, pause: Duration, now: Instant) {
        let times = self.refused.get(&kind).map_or(0, |refusal| refusal.times);
        let until = now + pause * (1 << times.min(LONGEST_REFUSAL));
        let times = times + 1;
        self.refused.insert(kind, Refusal { until, times });
    }

    /// Records how long a machine took to boot whose first heartbeat has come.
    pub(super) fn note_boot(&mut self, machine: &Machine, kind: &MachineType, now: Instant) {
        let took = now.saturating_duration_since(machine.rented);
        let ratio = took.as_secs_f64() / startup(kind).as_secs_f64().max(1.0);
        let (kind, zone) = (&machine.machine_type, &machine.zone);
        self.boot_times
            .note_arrival(kind, zone, machine.rented, ratio, now);
    }

    /// How many times longer than usual machines of a type take to boot in a zone; 1 at least.
    pub(super) fn boot_slowness(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        self.boot_times.slowness(machine_type, zone, now)
    }

    /// Notes that a team has an unfinished job.
    fn note_work(&mut self, team: &str, now: Instant) {
        if let Some(last) = self.last_work.get_mut(team) {
            *last = now;
        } else {
            self.last_work.insert(team.to_owned(), now);
        }
    }

    /// When a team last had an unfinished job, if this leader has seen one.
    fn last_work(&self, team: &str) -> Option<Instant> {
        self.last_work.get(team).copied()
    }

    /// Remembers a job that was accepted at a moment not long before `now`.
    pub fn note_arrival(&mut self, spec: &JobSpec, at: Instant, now: Instant) {
        match self.classes.get_mut(&spec.class) {
            Some(history) => history.note_arrival(spec, at, now),
            None => {
                let mut history = ClassHistory::new(spec);
                history.note_arrival(spec, at, now);
                self.classes.insert(spec.class.clone(), history);
            }
        }
    }
}

impl Shard {
    pub(super) fn autoscale(&mut self, now: Instant) {
        self.retry_cloud(now);
        self.delete_lost_machines(now);
        if self
            .autoscaler
            .last_plan
            .is_some_and(|last| now.saturating_duration_since(last) < PLAN_EVERY)
        {
            return;
        }
        self.autoscaler.last_plan = Some(now);
        self.deleted_machines
            .retain(|_, at| now.saturating_duration_since(*at) < REMEMBER_GONE);
        if self.types.is_empty() {
            return;
        }
        self.plan(now);
    }

    /// Whether a machine is there for batch work alone and not cheap: work that
    /// can wait leaves it, so that it can be given back. What is paid for in
    /// any case is not costly.
    pub(super) fn costly(&self, machine: &Machine, now: Instant) -> bool {
        let paid = now.saturating_duration_since(machine.rented) < LEAST_CHARGE / 2;
        !paid && self.barren(machine)
    }

    /// Whether a machine costs the full price and no service keeps it.
    pub(super) fn barren(&self, machine: &Machine) -> bool {
        !machine.spot && !self.policy.holds_capacity() && !hosts_services(machine)
    }
}

#[cfg(test)]
mod tests;
