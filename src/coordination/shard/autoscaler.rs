//! Carrying out the plan: rentals, returns, and what the cloud says.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::boot_times::BootTimes;
use super::{Action, Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::cloud::{Listed, ListedState, Rental};
use crate::protocol::users::{JobSpec, Priority};

/// Most machines in one rental request.
pub(super) const MOST_PER_RENTAL: u32 = 50;

/// Pause between two plans.
pub(super) const PLAN_EVERY: Duration = Duration::from_millis(500);

/// How long arrivals are remembered to foresee the next ones.
const ARRIVALS: Duration = Duration::from_secs(120);

/// A machine is charged for this long at least.
pub(super) const LEAST_CHARGE: Duration = Duration::from_secs(60);

/// Names of machines that are gone are kept at least this long.
const REMEMBER_GONE: Duration = Duration::from_secs(900);

/// How often the pause after a refusal doubles at the most.
const LONGEST_REFUSAL: u32 = 3;

/// Pause before a rental or a deletion is tried again.
pub(super) const CLOUD_RETRY: Duration = Duration::from_secs(1);

/// What became of a rental request.
#[derive(Debug, Clone, PartialEq)]
pub enum RentalOutcome {
    /// These machines are rented.
    Rented(Vec<String>),
    /// The cloud has none of that kind.
    NoCapacity,
    /// Malformed in the cloud's eyes: not to be repeated.
    Rejected,
    /// It may have been carried out, or may still be.
    Unknown,
}

/// A rental under way.
#[derive(Debug)]
pub(super) struct PendingRental {
    pub(super) rental: Rental,
    retry: Option<Instant>,
}

/// A machine type in a zone, spot or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct MachineKind {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl MachineKind {
    fn of(rental: &Rental) -> Self {
        Self {
            machine_type: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        }
    }
}

/// A kind of machine of which the cloud had too few.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    until: Instant,
    /// How often in a row.
    times: u32,
}

/// What is known of a class of jobs.
#[derive(Debug)]
pub(super) struct ClassHistory {
    pub(super) spec: Arc<JobSpec>,
    arrivals: VecDeque<(Instant, u32)>,
}

impl ClassHistory {
    /// Whether some job of the class has come lately.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        let last = self.arrivals.back();
        last.is_some_and(|(at, _)| now.saturating_duration_since(*at) <= ARRIVALS)
    }

    /// Tasks per second to reckon with. Arrivals are counted in slots, and the
    /// fullest ones left out: a burst that is over says nothing of what comes.
    pub(super) fn rate(&self, now: Instant) -> f64 {
        const SLOTS: usize = 12;
        const KEPT: usize = 10;
        let slot = ARRIVALS / SLOTS as u32;
        let mut counts = [0_u32; SLOTS];
        for (at, tasks) in &self.arrivals {
            let age = now.saturating_duration_since(*at);
            let index = (age.as_secs_f64() / slot.as_secs_f64()) as usize;
            if let Some(count) = counts.get_mut(index) {
                *count += tasks;
            }
        }
        counts.sort_unstable();
        let kept: u32 = counts[..KEPT].iter().sum();
        f64::from(kept) / (slot.as_secs_f64() * KEPT as f64)
    }
}

/// The cloud's side of the shard.
#[derive(Debug, Default)]
pub struct Autoscaler {
    pub(super) pending_rentals: BTreeMap<String, PendingRental>,
    refused: HashMap<MachineKind, Refusal>,
    /// How long new machines attempt_number to come up.
    pub(super) boot_times: BootTimes,
    next_rental: u64,
    last_plan: Option<Instant>,
    pub(super) classes: BTreeMap<String, ClassHistory>,
    /// When each team last had an unfinished job, as far as this leader has seen.
    last_work: BTreeMap<String, Instant>,
    /// Cheap cores that each priority has found lately.
    pub(super) usual_cores: BTreeMap<Priority, f64>,
}

impl Autoscaler {
    /// There is one more to be had of a kind: it may be asked for again.
    pub(super) fn note_freed(&mut self, kind: &MachineKind) {
        self.refused.remove(kind);
    }

    /// Whether a kind is better not asked for now.
    pub(super) fn refuses(&self, kind: &MachineKind, now: Instant) -> bool {
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

    /// Notes that a team has an unfinished job.
    pub(super) fn note_work(&mut self, team: &str, now: Instant) {
        if let Some(last) = self.last_work.get_mut(team) {
            *last = now;
        } else {
            self.last_work.insert(team.to_owned(), now);
        }
    }

    /// When a team last had an unfinished job, if this leader has seen one.
    pub(super) fn last_work(&self, team: &str) -> Option<Instant> {
        self.last_work.get(team).copied()
    }

    /// Remembers a job that was accepted at a moment not long before `now`.
    pub fn note_arrival(&mut self, spec: &JobSpec, at: Instant, now: Instant) {
        let history = self
            .classes
            .entry(spec.class.clone())
            .or_insert_with(|| ClassHistory {
                spec: Arc::new(spec.clone()),
                arrivals: VecDeque::new(),
            });
        if *history.spec != *spec {
            history.spec = Arc::new(spec.clone());
        }
        history.arrivals.push_back((at, spec.tasks));
        while history
            .arrivals
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) > ARRIVALS)
        {
            history.arrivals.pop_front();
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

    fn retry_cloud(&mut self, now: Instant) {
        for pending_rental in self.autoscaler.pending_rentals.values_mut() {
            if pending_rental.retry.is_some_and(|at| at <= now) {
                pending_rental.retry = None;
                self.out.push(Action::Rent(pending_rental.rental.clone()));
            }
        }
        let again = self
            .machines
            .ids(|m| m.deletion_retry.is_some_and(|at| at <= now));
        for id in &again {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.deletion_retry = None;
            }
        }
        self.delete(&again);
    }

    /// The cloud answered (or didn't) a rental.
    pub fn rental_answered(&mut self, request: &str, outcome: RentalOutcome, now: Instant) {
        let Some(pending_rental) = self.autoscaler.pending_rentals.get_mut(request) else {
            return;
        };
        let rental = pending_rental.rental.clone();
        let key = MachineKind::of(&rental);
        match outcome {
            RentalOutcome::Unknown => {
                pending_rental.retry = Some(now + CLOUD_RETRY);
                return;
            }
            RentalOutcome::Rented(names) => {
                if (names.len() as u32) < rental.count {
                    self.autoscaler.note_refusal(key, self.policy.refused, now);
                } else {
                    self.autoscaler.refused.remove(&key);
                }
                tracing::info!(
                    request,
                    machine_type = rental.machine_type,
                    zone = rental.zone,
                    spot = rental.spot,
                    asked = rental.count,
                    got = names.len(),
                    "machines rented"
                );
                for name in names {
                    self.expect_machine(
                        &name,
                        &rental.machine_type,
                        &rental.zone,
                        rental.spot,
                        now,
                    );
                }
            }
            RentalOutcome::NoCapacity | RentalOutcome::Rejected => {
                self.autoscaler.note_refusal(key, self.policy.refused, now);
            }
        }
        self.autoscaler.pending_rentals.remove(request);
        self.clear_scale_out(request);
        self.needs_pass = true;
    }

    fn expect_machine(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        rented: Instant,
    ) {
        let id: MachineId = name.into();
        if self.deleted_machines.contains_key(&id) || self.machines.contains(&id) {
            return;
        }
        let mut machine = Machine::new(id.clone(), rented, rented);
        machine.describe("", machine_type, zone, spot);
        self.machines.insert(machine);
    }

    /// A rental that an earlier leader recorded and perhaps requested.
    pub(super) fn resume_rental(&mut self, rental: Rental) {
        self.out.push(Action::Rent(rental.clone()));
        self.autoscaler.pending_rentals.insert(
            rental.request.clone(),
            PendingRental {
                rental,
                retry: None,
            },
        );
    }

    /// The whole machine list, as old as it may be.
    pub fn listed(&mut self, list: &[Listed], now: Instant) {
        let mut failed = Vec::new();
        for entry in list {
            if entry.state == ListedState::Failed
                && !self.deleted_machines.contains_key(entry.id.as_str())
            {
                failed.push(MachineId::from(entry.id.as_str()));
            }
            let age = Duration::from_secs_f64(entry.age_s.clamp(0.0, 1e8));
            let rented = now.checked_sub(age).unwrap_or(now);
            self.expect_machine(
                &entry.id,
                &entry.machine_type,
                &entry.zone,
                entry.spot,
                rented,
            );
            let outdated = |m: &Machine| !m.listed || m.addr.is_empty() || m.rented > rented;
            if self.machines.get(&entry.id).is_some_and(outdated)
                && let Some(machine) = self.machines.get_mut(&entry.id)
            {
                machine.listed = true;
                machine.rented = machine.rented.min(rented);
                if machine.addr.is_empty() {
                    machine.addr.clone_from(&entry.addr);
                }
            }
        }
        let present: std::collections::HashSet<&str> =
            list.iter().map(|entry| entry.id.as_str()).collect();
        // A list may be older than the one before: this alone proves nothing,
        // but a machine that is silent as well is best deleted.
        let missing = |m: &Machine| {
            !present.contains(&*m.id) && (m.listed || m.last_contact.is_some() || m.admitted)
        };
        for id in self.machines.ids(|m| m.vanished != missing(m)) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.vanished = !present.contains(&*id);
            }
        }
        for id in failed {
            self.begin_deletion(&id, now, "the cloud lists it as failed");
        }
        self.needs_pass = true;
    }

    /// Records a rental of so many machines, which is asked for once it is written.
    pub(super) fn request_machines(&mut self, kind: MachineKind, count: u32) {
        // One request for a kind at a time: its answer tells of the capacity.
        let mut pending_rentals = self.autoscaler.pending_rentals.values();
        if pending_rentals.any(|pending_rental| MachineKind::of(&pending_rental.rental) == kind) {
            return;
        }
        self.autoscaler.next_rental += 1;
        let rental = Rental {
            request: format!(
                "{}-{}-{}",
                self.policy.node_id, self.fencing_token, self.autoscaler.next_rental
            ),
            machine_type: kind.machine_type,
            zone: kind.zone,
            spot: kind.spot,
            count,
        };
        self.record_scale_out(&rental);
        self.autoscaler.pending_rentals.insert(
            rental.request.clone(),
            PendingRental {
                rental,
                retry: None,
            },
        );
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
        !machine.spot && !self.policy.holds_capacity() && !super::drain::hosts_services(machine)
    }
}

#[cfg(test)]
mod tests;
