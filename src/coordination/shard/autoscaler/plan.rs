//! How much room is wanted, and which machines are worth renting for it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use super::capacity::Capacity;
use super::demand::{Demand, OfferFilter};
use super::machine_kind::MachineKind;
use super::offer::{MachineCounts, Offer};
use crate::coordination::shard::Shard;
use crate::coordination::shard::scheduler::allowed;
use crate::protocol::JobId;

/// One plan as it is worked out.
struct Plan {
    /// Room that is there or will be, less what is planned for.
    capacities: Vec<Capacity>,
    machine_counts: MachineCounts,
    /// Machines to be rented.
    wanted: BTreeMap<MachineKind, u32>,
    /// Where the room of jobs bound to one zone is planned.
    zones: BTreeMap<JobId, Arc<str>>,
}

impl Plan {
    /// Takes room for a demand where there is some, on machines that are up within
    /// `latest_s`; returns how many tasks have none.
    fn take_room(&mut self, demand: &Demand, zone: Option<&str>, latest_s: f64) -> u32 {
        let spec = &demand.spec;
        let most_in_zone = spec.tasks.div_ceil(2);
        let mut in_zone: HashMap<Arc<str>, u32> = HashMap::new();
        let mut left = demand.count;
        for capacity in &mut self.capacities {
            if left == 0 {
                break;
            }
            let too_costly = capacity.costly && demand.filter == OfferFilter::SpotOnly;
            if too_costly
                || !allowed(spec, &capacity.machine_type, &capacity.zone, capacity.spot)
                || !capacity.could_hold(spec)
                || ((capacity.late || spec.is_gang()) && capacity.ready_in_s > latest_s)
                || zone.is_some_and(|zone| zone != &*capacity.zone)
            {
                continue;
            }
            capacity.make_room(spec, left);
            let mut tasks = capacity.free.fits(spec).min(left);
            if spec.scatter && demand.job.is_some() {
                let there = in_zone.entry(capacity.zone.clone()).or_default();
                tasks = tasks.min(most_in_zone.saturating_sub(*there));
                *there += tasks;
            }
            capacity.take(spec, tasks);
            // Work that can wait is no reason to keep a machine.
            capacity.used |= tasks > 0 && demand.filter != OfferFilter::SpotOnly;
            left -= tasks;
        }
        left
    }

    /// Plans to rent a machine; returns how many tasks have room on it.
    fn rent(&mut self, offer: &Offer, demand: &Demand, left: u32) -> u32 {
        let mut capacity =
            Capacity::to_come(&offer.kind, &offer.zone, offer.spot, offer.ready_in_s);
        let tasks = capacity.free.fits(&demand.spec).min(left);
        if tasks == 0 {
            return 0;
        }
        capacity.take(&demand.spec, tasks);
        capacity.used = true;
        self.capacities.push(capacity);
        let kind = MachineKind {
            machine_type: offer.kind.name.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        };
        *self.wanted.entry(kind).or_default() += 1;
        tasks
    }
}

impl Shard {
    /// Compares the room that is wanted with the room there is.
    pub(super) fn plan(&mut self, now: Instant) {
        self.update_overdue_boots(now);
        let capacities = self.capacities(now);
        self.note_cores(&capacities);
        let demands = self.demands(&capacities, now);
        let mut plan = Plan {
            capacities,
            machine_counts: self.machine_counts(),
            wanted: BTreeMap::new(),
            zones: BTreeMap::new(),
        };
        // A new machine is shared with the jobs of the class that follow.
        let mut class_left: HashMap<String, u32> = HashMap::new();
        for demand in &demands {
            *class_left.entry(demand.spec.class.clone()).or_default() += demand.count;
        }
        for demand in demands {
            let following_tasks = class_left.entry(demand.spec.class.clone()).or_default();
            *following_tasks -= demand.count;
            self.plan_for(&demand, *following_tasks, &mut plan, now);
        }
        self.act_on(plan, now);
    }

    /// Finds room for a demand, on new machines if need be; so many more tasks of its
    /// class follow.
    fn plan_for(&self, demand: &Demand, following_tasks: u32, plan: &mut Plan, now: Instant) {
        let zone = self.planned_zone(demand, plan, now);
        let zone = zone.as_deref();
        let latest_s = self.latest_s(demand, zone, plan, now);
        let mut left = plan.take_room(demand, zone, latest_s);
        while left > 0 {
            let offer = self.best_offer(
                demand,
                left + following_tasks,
                zone,
                &plan.machine_counts,
                now,
            );
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
                "a machine is wanted"
            );
        }
    }

    /// Within how many seconds a machine has to be up for a demand to count on it. A gang
    /// starts with the last of its machines: one that comes too late is better left to
    /// others if one that is rented now would come sooner. So it is for all work where
    /// machines come much later than usual.
    fn latest_s(&self, demand: &Demand, zone: Option<&str>, plan: &Plan, now: Instant) -> f64 {
        let boots = &self.autoscaler.boot_times;
        let matters = demand.spec.is_gang() || boots.any_slow(now);
        let Some(slack) = demand.slack_s.filter(|_| matters) else {
            return f64::INFINITY;
        };
        let offer = self.best_offer(demand, demand.count, zone, &plan.machine_counts, now);
        let soonest = offer.map_or(f64::INFINITY, |offer| offer.ready_in_s);
        slack.max(soonest)
    }

    /// Rents what is wanted and gives back what isn't.
    fn act_on(&mut self, plan: Plan, now: Instant) {
        let growing = plan.wanted.keys().any(|kind| !kind.spot)
            || self.autoscaler.rentals.iter().any(|rental| !rental.spot);
        self.reopen(&plan.capacities);
        // Work that nobody has reconciled yet is in no plan.
        let accounted = self.unreconciled.is_empty();
        if accounted {
            self.consolidate(&plan.capacities, !growing, now);
        }
        for (kind, count) in plan.wanted {
            self.request_machines(kind, count);
        }
        self.delete_unneeded_machines(&plan.capacities, now);
    }

    fn machine_counts(&self) -> MachineCounts {
        let mut machine_counts = MachineCounts::default();
        for machine in self.machines.values() {
            machine_counts.add(&machine.machine_type, &machine.zone);
        }
        machine_counts
    }

    /// Where a job's room is wanted, if it has to be in one zone; all of its demands go
    /// to the same.
    fn planned_zone(&self, demand: &Demand, plan: &mut Plan, now: Instant) -> Option<Arc<str>> {
        let id = demand.job.as_ref().filter(|_| demand.spec.one_zone)?;
        if let Some(zone) = plan.zones.get(id) {
            return Some(zone.clone());
        }
        let zone = self
            .begun_zone(id)
            .or_else(|| roomiest_zone(demand, &plan.capacities))
            .or_else(|| self.offered_zone(demand, plan, now))?;
        plan.zones.insert(id.clone(), zone.clone());
        Some(zone)
    }

    /// The zone in which tasks of a job bound to one zone may exist.
    pub(super) fn begun_zone(&self, id: &JobId) -> Option<Arc<str>> {
        let job = self.jobs.get(id).filter(|job| job.spec.one_zone)?;
        self.live_zones(job).into_keys().next()
    }

    fn offered_zone(&self, demand: &Demand, plan: &Plan, now: Instant) -> Option<Arc<str>> {
        let offer = self.best_offer(demand, demand.count, None, &plan.machine_counts, now)?;
        Some(offer.zone.as_str().into())
    }
}

/// The zone with most room for a demand. With little of it there, where machines come
/// soonest counts more: none then.
fn roomiest_zone(demand: &Demand, capacities: &[Capacity]) -> Option<Arc<str>> {
    let spec = &demand.spec;
    let mut room: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    for at in capacities {
        if allowed(spec, &at.machine_type, &at.zone, at.spot) {
            *room.entry(&at.zone).or_default() += at.free.fits(spec);
        }
    }
    let (zone, tasks) = room.into_iter().max_by_key(|(_, tasks)| *tasks)?;
    (tasks * 2 >= demand.count).then(|| zone.clone())
}
