//! The plan: reserves capacity for each demand, and decides which machines to rent for demands that
//! do not fit.
//!
//! [`Shard::plan`] is called every half second by [`Shard::autoscale`]; it makes the plan and
//! carries it out.

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

/// A plan while it is being made.
struct Plan {
    /// Capacity that exists, is being added or is to be rented, less what is reserved.
    capacities: Vec<Capacity>,
    machine_counts: MachineCounts,
    /// How many machines of each kind to rent.
    rental_counts: BTreeMap<MachineKind, u32>,
    /// The zone chosen for each job that must run in a single zone.
    zones_by_job: BTreeMap<JobId, Arc<str>>,
}

impl Plan {
    /// Reserves capacity for a demand on machines that are ready within `max_ready_in_s` seconds,
    /// restricted to `zone` if it is given. Returns how many tasks found no capacity.
    fn reserve(&mut self, demand: &Demand, zone: Option<&str>, max_ready_in_s: f64) -> u32 {
        let spec = &demand.spec;
        let mut spread = ZoneSpread::new(demand);
        let mut unplaced = demand.tasks;
        for capacity in &mut self.capacities {
            if unplaced == 0 {
                break;
            }
            if !is_usable(capacity, demand, zone, max_ready_in_s) {
                continue;
            }
            capacity.assume_preemption(spec, unplaced);
            let fitting_tasks = capacity.free.fitting_tasks(spec).min(unplaced);
            let tasks = spread.place_in_zone(&capacity.zone, fitting_tasks);
            capacity.reserve(spec, tasks);
            // Tasks that can wait for spot machines do not keep a machine.
            capacity.is_used |= tasks > 0 && demand.filter != OfferFilter::SpotOnly;
            unplaced -= tasks;
        }
        unplaced
    }

    /// Adds an offer's machine to the plan and returns how many of the `unplaced` tasks fit on it.
    fn add_machine(&mut self, offer: &Offer, demand: &Demand, unplaced: u32) -> u32 {
        let mut capacity = Capacity::for_new_machine(
            &offer.machine_type,
            &offer.zone,
            offer.spot,
            offer.ready_in_s,
        );
        let tasks = capacity.free.fitting_tasks(&demand.spec).min(unplaced);
        if tasks == 0 {
            return 0;
        }
        capacity.reserve(&demand.spec, tasks);
        capacity.is_used = true;
        self.capacities.push(capacity);
        *self
            .rental_counts
            .entry(MachineKind::from(offer))
            .or_default() += 1;
        tasks
    }

    /// Whether the plan rents any on-demand machine.
    fn rents_on_demand(&self) -> bool {
        self.rental_counts.keys().any(|kind| !kind.spot)
    }
}

/// Whether a machine is suitable for a demand: its cost, placement constraints, size, boot time and
/// zone.
fn is_usable(
    capacity: &Capacity,
    demand: &Demand,
    zone: Option<&str>,
    max_ready_in_s: f64,
) -> bool {
    let spec = &demand.spec;
    let is_too_costly = capacity.costs_extra && demand.filter == OfferFilter::SpotOnly;
    let is_boot_time_relevant = capacity.is_boot_pool_slow || spec.is_gang();
    !is_too_costly
        && capacity.is_allowed_for(spec)
        && capacity.may_fit_task(spec)
        && !(is_boot_time_relevant && capacity.ready_in_s > max_ready_in_s)
        && zone.is_none_or(|zone| zone == &*capacity.zone)
}

/// Limits how many tasks of a scattered job get into one zone: half of them.
struct ZoneSpread {
    /// Most tasks in one zone; None if the demand need not be scattered over zones.
    max_per_zone: Option<u32>,
    tasks_by_zone: HashMap<Arc<str>, u32>,
}

impl ZoneSpread {
    fn new(demand: &Demand) -> Self {
        let must_scatter = demand.spec.scatter && demand.job.is_some();
        Self {
            max_per_zone: must_scatter.then(|| demand.spec.tasks.div_ceil(2)),
            tasks_by_zone: HashMap::new(),
        }
    }

    /// Returns how many of `tasks` tasks may go into a zone, and counts them as placed there.
    fn place_in_zone(&mut self, zone: &Arc<str>, tasks: u32) -> u32 {
        let Some(max_per_zone) = self.max_per_zone else {
            return tasks;
        };
        let placed = self.tasks_by_zone.entry(zone.clone()).or_default();
        let allowed = tasks.min(max_per_zone.saturating_sub(*placed));
        *placed += allowed;
        allowed
    }
}

impl Shard {
    /// Compares the demand with the capacity, and rents, drains and deletes machines accordingly.
    pub(super) fn plan(&mut self, now: Instant) {
        self.update_overdue_boots(now);
        let capacities = self.autoscaler_view().capacities(now);
        self.record_low_cost_cores(&capacities);
        self.record_teams_with_work(now);
        let view = self.autoscaler_view();
        let demands = view.demands(&capacities, self.wall_ms(now), now);
        let plan = view.make_plan(demands.in_order, capacities, now);
        self.mark_accepting_extra_cost(&demands.jobs_accepting_extra_cost);
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
            self.autoscaler.record_obtainable_cores(priority, cores);
        }
    }

    fn record_teams_with_work(&mut self, now: Instant) {
        for team in teams_with_work(&self.jobs) {
            self.autoscaler.record_team_work(team, now);
        }
    }

    /// Marks exactly these jobs as allowed to use machines that cost extra, because they cannot
    /// wait for other machines.
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

    /// Carries out a plan: starts and ends drains, moves services, and rents and deletes machines.
    fn carry_out(&mut self, plan: Plan, now: Instant) {
        let is_growing_on_demand =
            plan.rents_on_demand() || self.autoscaler.rentals.iter().any(|rental| !rental.spot);
        self.cancel_drains_of_used_machines(&plan.capacities);
        // The plan does not know the tasks on unreconciled machines.
        if self.unreconciled.is_empty() {
            self.consolidate(&plan.capacities, !is_growing_on_demand, now);
        }
        for (kind, count) in plan.rental_counts {
            self.request_machines(kind, count);
        }
        self.delete_unneeded_machines(&plan.capacities, now);
    }
}

impl AutoscalerView<'_> {
    /// Reserves capacity for the demands in order, and plans new machines for what does not fit.
    fn make_plan(&self, demands: Vec<Demand>, capacities: Vec<Capacity>, now: Instant) -> Plan {
        let mut plan = Plan {
            capacities,
            machine_counts: self.machine_counts(),
            rental_counts: BTreeMap::new(),
            zones_by_job: BTreeMap::new(),
        };
        // Later demands of the same class can use what is left on a new machine.
        let mut remaining_by_class: HashMap<String, u32> = HashMap::new();
        for demand in &demands {
            *remaining_by_class
                .entry(demand.spec.class.clone())
                .or_default() += demand.tasks;
        }
        for demand in demands {
            let later_tasks = remaining_by_class
                .entry(demand.spec.class.clone())
                .or_default();
            *later_tasks -= demand.tasks;
            self.plan_demand(&demand, *later_tasks, &mut plan, now);
        }
        plan
    }

    /// Reserves capacity for one demand and plans new machines for what does not fit. `later_tasks`
    /// is how many tasks of the same class are in later demands.
    fn plan_demand(&self, demand: &Demand, later_tasks: u32, plan: &mut Plan, now: Instant) {
        let zone = self.planned_zone(demand, plan, now);
        let zone = zone.as_deref();
        let max_ready_in_s = self.max_ready_in_s(demand, zone, plan, now);
        let mut unplaced = plan.reserve(demand, zone, max_ready_in_s);
        while unplaced > 0 {
            let usable_tasks = unplaced + later_tasks;
            let offer = self.best_offer(demand, usable_tasks, zone, &plan.machine_counts, now);
            let Some(offer) = offer else {
                return;
            };
            let tasks = plan.add_machine(&offer, demand, unplaced);
            if tasks == 0 {
                return;
            }
            unplaced -= tasks;
            tracing::debug!(
                class = demand.spec.class,
                left = unplaced,
                slack_s = demand.slack_s,
                machine_type = offer.machine_type.name,
                zone = offer.zone,
                spot = offer.spot,
                "scale-out planned"
            );
        }
    }

    /// A demand counts only on machines that are ready within this many seconds; infinite if it
    /// does not matter when they are. A gang starts with the last of its machines, so a machine
    /// that boots too late is better left to other jobs if a machine rented now would boot sooner.
    /// The same holds for all tasks while machines boot much later than usual.
    fn max_ready_in_s(
        &self,
        demand: &Demand,
        zone: Option<&str>,
        plan: &Plan,
        now: Instant,
    ) -> f64 {
        let is_start_time_relevant =
            demand.spec.is_gang() || self.autoscaler.boot_times.is_any_pool_slow(now);
        let Some(slack_s) = demand.slack_s.filter(|_| is_start_time_relevant) else {
            return f64::INFINITY;
        };
        let offer = self.best_offer(demand, demand.tasks, zone, &plan.machine_counts, now);
        let earliest_ready_s = offer.map_or(f64::INFINITY, |offer| offer.ready_in_s);
        slack_s.max(earliest_ready_s)
    }

    fn machine_counts(&self) -> MachineCounts {
        let mut machine_counts = MachineCounts::default();
        for machine in self.machines.values() {
            machine_counts.add(&machine.machine_type, &machine.zone);
        }
        machine_counts
    }

    /// The zone in which a demand gets capacity if its job must run in a single zone; None if it
    /// need not, or no zone has an offer. All demands of the job get the same zone.
    fn planned_zone(&self, demand: &Demand, plan: &mut Plan, now: Instant) -> Option<Arc<str>> {
        let id = demand.job.as_ref().filter(|_| demand.spec.one_zone)?;
        if let Some(zone) = plan.zones_by_job.get(id) {
            return Some(zone.clone());
        }
        let zone = self
            .zone_with_tasks(id)
            .or_else(|| zone_with_capacity(demand, &plan.capacities))
            .or_else(|| self.cheapest_zone(demand, plan, now))?;
        plan.zones_by_job.insert(id.clone(), zone.clone());
        Some(zone)
    }

    /// The zone in which tasks of a single-zone job may already exist.
    pub(super) fn zone_with_tasks(&self, id: &JobId) -> Option<Arc<str>> {
        let job = self.jobs.get(id).filter(|job| job.spec.one_zone)?;
        self.scheduler.tasks_by_zone(job).into_keys().next()
    }

    /// The zone of the best offer for a demand, out of all zones.
    fn cheapest_zone(&self, demand: &Demand, plan: &Plan, now: Instant) -> Option<Arc<str>> {
        let offer = self.best_offer(demand, demand.tasks, None, &plan.machine_counts, now)?;
        Some(offer.zone.as_str().into())
    }
}

/// The zone with the most free capacity for a demand; None if less than half of the demand fits
/// there, because then it matters more where machines boot soonest, which the choice of the best
/// offer takes into account.
fn zone_with_capacity(demand: &Demand, capacities: &[Capacity]) -> Option<Arc<str>> {
    let spec = &demand.spec;
    let mut tasks_by_zone: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    for capacity in capacities {
        if capacity.is_allowed_for(spec) {
            *tasks_by_zone.entry(&capacity.zone).or_default() += capacity.free.fitting_tasks(spec);
        }
    }
    let (zone, tasks) = tasks_by_zone.into_iter().max_by_key(|(_, tasks)| *tasks)?;
    (tasks * 2 >= demand.tasks).then(|| zone.clone())
}
