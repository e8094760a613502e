//! The plan: reserves capacity for each demand, and decides which machines to rent for what
//! finds none.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::capacity::Capacity;
use super::demand::{Demand, OfferFilter};
use super::machine_kind::MachineKind;
use super::offer::{MachineCounts, Offer};
use super::reserved_quota::teams_with_work;
use super::view::AutoscalerView;
use crate::coordination::shard::Shard;
use crate::protocol::JobId;

/// A plan in the making.
struct Plan {
    /// Capacity that exists or is on its way, less what is reserved.
    capacities: Vec<Capacity>,
    machine_counts: MachineCounts,
    /// How many machines of each kind to rent.
    rentals: BTreeMap<MachineKind, u32>,
    /// The zones chosen for jobs that are bound to one zone.
    zones: BTreeMap<JobId, Arc<str>>,
}

impl Plan {
    /// Reserves capacity for a demand, in one zone if one is named, on machines that have
    /// booted within `latest_s` seconds. Returns how many of its tasks found none.
    fn reserve(&mut self, demand: &Demand, zone: Option<&str>, latest_s: f64) -> u32 {
        let spec = &demand.spec;
        let mut spread = ZoneSpread::new(demand);
        let mut left = demand.count;
        for capacity in &mut self.capacities {
            if left == 0 {
                break;
            }
            if !is_usable(capacity, demand, zone, latest_s) {
                continue;
            }
            capacity.preempt_for(spec, left);
            let fits = capacity.free.fitting_tasks(spec).min(left);
            let tasks = spread.limit(&capacity.zone, fits);
            capacity.reserve(spec, tasks);
            // Work that can wait is no reason to keep a machine.
            capacity.used |= tasks > 0 && demand.filter != OfferFilter::SpotOnly;
            left -= tasks;
        }
        left
    }

    /// Plans to rent a machine; returns how many of the `left` tasks fit on it.
    fn rent(&mut self, offer: &Offer, demand: &Demand, left: u32) -> u32 {
        let mut capacity = Capacity::of_new(&offer.kind, &offer.zone, offer.spot, offer.ready_in_s);
        let tasks = capacity.free.fitting_tasks(&demand.spec).min(left);
        if tasks == 0 {
            return 0;
        }
        capacity.reserve(&demand.spec, tasks);
        capacity.used = true;
        self.capacities.push(capacity);
        *self.rentals.entry(MachineKind::from(offer)).or_default() += 1;
        tasks
    }

    /// Whether some on-demand machine is to be rented.
    fn rents_on_demand(&self) -> bool {
        self.rentals.keys().any(|kind| !kind.spot)
    }
}

/// Whether a demand can be met by a machine.
fn is_usable(capacity: &Capacity, demand: &Demand, zone: Option<&str>, latest_s: f64) -> bool {
    let spec = &demand.spec;
    let too_costly = capacity.costs_extra && demand.filter == OfferFilter::SpotOnly;
    let boot_matters = capacity.boots_late || spec.is_gang();
    !too_costly
        && capacity.is_allowed_for(spec)
        && capacity.may_hold(spec)
        && !(boot_matters && capacity.ready_in_s > latest_s)
        && zone.is_none_or(|zone| zone == &*capacity.zone)
}

/// Limits how many tasks of a job that is scattered over zones get into one zone: half of them.
struct ZoneSpread {
    /// Most tasks in one zone; None if the demand need not be scattered.
    max_per_zone: Option<u32>,
    in_zone: HashMap<Arc<str>, u32>,
}

impl ZoneSpread {
    fn new(demand: &Demand) -> Self {
        let scatter = demand.spec.scatter && demand.job.is_some();
        Self {
            max_per_zone: scatter.then(|| demand.spec.tasks.div_ceil(2)),
            in_zone: HashMap::new(),
        }
    }

    /// How many of some tasks may go into a zone; they count from now on.
    fn limit(&mut self, zone: &Arc<str>, tasks: u32) -> u32 {
        let Some(max_per_zone) = self.max_per_zone else {
            return tasks;
        };
        let in_zone = self.in_zone.entry(zone.clone()).or_default();
        let allowed = tasks.min(max_per_zone.saturating_sub(*in_zone));
        *in_zone += allowed;
        allowed
    }
}

impl Shard {
    /// Compares the demand with the capacity, and scales the machines out and in.
    pub(super) fn plan(&mut self, now: Instant) {
        self.update_overdue_boots(now);
        let capacities = self.autoscaler_view().capacities(now);
        self.record_low_cost_cores(&capacities);
        self.record_teams_with_work(now);
        let view = self.autoscaler_view();
        let demands = view.demands(&capacities, self.wall_ms(now), now);
        let plan = view.make_plan(demands.demands, capacities, now);
        self.mark_accepting_extra_cost(&demands.accepting_extra_cost);
        self.carry_out(plan, now);
    }

    fn update_overdue_boots(&mut self, now: Instant) {
        let unreachable_zones = self.unreachable_zones(now);
        let view = self.autoscaler_view();
        let overdue = view.overdue_boots(&unreachable_zones, now);
        self.autoscaler.boot_times.update_overdue(&overdue, now);
    }

    fn record_low_cost_cores(&mut self, capacities: &[Capacity]) {
        let cores = self
            .autoscaler_view()
            .low_cost_cores_by_priority(capacities);
        for (priority, cores) in cores {
            self.autoscaler.record_reachable_cores(priority, cores);
        }
    }

    fn record_teams_with_work(&mut self, now: Instant) {
        for team in teams_with_work(&self.jobs) {
            self.autoscaler.record_work(team, now);
        }
    }

    /// Marks the jobs that cannot wait for low-cost machines alone.
    fn mark_accepting_extra_cost(&mut self, accepting_extra_cost: &[JobId]) {
        for job in self.jobs.values_mut() {
            job.accepts_extra_cost = false;
        }
        for id in accepting_extra_cost {
            if let Some(job) = self.jobs.get_mut(id) {
                job.accepts_extra_cost = true;
            }
        }
    }

    /// Rents and deletes machines, and moves services, as the plan says.
    fn carry_out(&mut self, plan: Plan, now: Instant) {
        let growing =
            plan.rents_on_demand() || self.autoscaler.rentals.iter().any(|rental| !rental.spot);
        self.undrain_used(&plan.capacities);
        // The tasks on unreconciled machines are in no plan.
        if self.unreconciled.is_empty() {
            self.consolidate(&plan.capacities, !growing, now);
        }
        for (kind, count) in plan.rentals {
            self.request_machines(kind, count);
        }
        self.delete_unneeded_machines(&plan.capacities, now);
    }
}

impl AutoscalerView<'_> {
    /// Reserves capacity for the demands in turn, on new machines where there is none.
    fn make_plan(&self, demands: Vec<Demand>, capacities: Vec<Capacity>, now: Instant) -> Plan {
        let mut plan = Plan {
            capacities,
            machine_counts: self.machine_counts(),
            rentals: BTreeMap::new(),
            zones: BTreeMap::new(),
        };
        // A new machine is shared with the later demands of the same class.
        let mut left_of_class: HashMap<String, u32> = HashMap::new();
        for demand in &demands {
            *left_of_class.entry(demand.spec.class.clone()).or_default() += demand.count;
        }
        for demand in demands {
            let following = left_of_class.entry(demand.spec.class.clone()).or_default();
            *following -= demand.count;
            self.plan_for(&demand, *following, &mut plan, now);
        }
        plan
    }

    /// Reserves capacity for a demand, on new machines if need be; `following` more tasks of
    /// its class come after it.
    fn plan_for(&self, demand: &Demand, following: u32, plan: &mut Plan, now: Instant) {
        let zone = self.planned_zone(demand, plan, now);
        let zone = zone.as_deref();
        let latest_s = self.latest_boot_s(demand, zone, plan, now);
        let mut left = plan.reserve(demand, zone, latest_s);
        while left > 0 {
            let tasks = left + following;
            let offer = self.best_offer(demand, tasks, zone, &plan.machine_counts, now);
            let Some(offer) = offer else {
                return;
            };
            let tasks = plan.rent(&offer, demand, left);
            if tasks == 0 {
                return;
            }
            left -= tasks;
            tracing::debug!(
                class = demand.spec.class,
                left,
                slack_s = demand.slack_s,
                machine_type = offer.kind.name,
                zone = offer.zone,
                spot = offer.spot,
                "scale-out planned"
            );
        }
    }

    /// Within how many seconds a machine has to boot for a demand to count on it. A gang
    /// starts with the last of its machines: one that boots too late is better left to others
    /// if a machine rented now would boot sooner. The same holds for all work while machines
    /// boot much later than usual.
    fn latest_boot_s(&self, demand: &Demand, zone: Option<&str>, plan: &Plan, now: Instant) -> f64 {
        let matters = demand.spec.is_gang() || self.autoscaler.boot_times.any_slow(now);
        let Some(slack) = demand.slack_s.filter(|_| matters) else {
            return f64::INFINITY;
        };
        let offer = self.best_offer(demand, demand.count, zone, &plan.machine_counts, now);
        let soonest = offer.map_or(f64::INFINITY, |offer| offer.ready_in_s);
        slack.max(soonest)
    }

    fn machine_counts(&self) -> MachineCounts {
        let mut machine_counts = MachineCounts::default();
        for machine in self.machines.values() {
            machine_counts.add(&machine.machine_type, &machine.zone);
        }
        machine_counts
    }

    /// The zone in which a demand gets capacity if its job is bound to one zone; all demands
    /// of the job get the same.
    fn planned_zone(&self, demand: &Demand, plan: &mut Plan, now: Instant) -> Option<Arc<str>> {
        let id = demand.job.as_ref().filter(|_| demand.spec.one_zone)?;
        if let Some(zone) = plan.zones.get(id) {
            return Some(zone.clone());
        }
        let zone = self
            .begun_zone(id)
            .or_else(|| zone_with_capacity(demand, &plan.capacities))
            .or_else(|| self.cheapest_zone(demand, plan, now))?;
        plan.zones.insert(id.clone(), zone.clone());
        Some(zone)
    }

    /// The zone in which tasks of a job bound to one zone may exist.
    pub(super) fn begun_zone(&self, id: &JobId) -> Option<Arc<str>> {
        let job = self.jobs.get(id).filter(|job| job.spec.one_zone)?;
        self.scheduler.tasks_by_zone(job).into_keys().next()
    }

    /// The zone of the best offer for a demand.
    fn cheapest_zone(&self, demand: &Demand, plan: &Plan, now: Instant) -> Option<Arc<str>> {
        let offer = self.best_offer(demand, demand.count, None, &plan.machine_counts, now)?;
        Some(offer.zone.as_str().into())
    }
}

/// The zone with the most free capacity for a demand; None if not even half of it fits there:
/// then it matters more where machines boot soonest.
fn zone_with_capacity(demand: &Demand, capacities: &[Capacity]) -> Option<Arc<str>> {
    let spec = &demand.spec;
    let mut tasks_by_zone: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    for capacity in capacities {
        if capacity.is_allowed_for(spec) {
            *tasks_by_zone.entry(&capacity.zone).or_default() += capacity.free.fitting_tasks(spec);
        }
    }
    let (zone, tasks) = tasks_by_zone.into_iter().max_by_key(|(_, tasks)| *tasks)?;
    (tasks * 2 >= demand.count).then(|| zone.clone())
}
