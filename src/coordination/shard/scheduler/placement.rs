//! Which machine a task goes to.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::candidates::{Holding, Pass, Slot, allowed};
use crate::coordination::shard::{Job, Machine, Shard};
use crate::protocol::users::{JobKind, JobSpec};

/// Fetches may attempt_number this much longer than the type's rate says.
const FETCH_MARGIN: f64 = 1.35;
/// Jobs with at least this many tasks may bring their image to a machine.
const SEED_FROM: u32 = 8;

impl Shard {
    /// Where to bring an image to: the first task of a job with many goes to a
    /// machine that lacks the image, so that later work finds it there. It costs
    /// a small share of one job its quick start.
    pub(super) fn seed(&self, job: &Job, pass: &Pass) -> Option<usize> {
        let spec = &job.spec;
        let simple = spec.kind == JobKind::Batch && !spec.one_zone && !spec.scatter;
        if !self.policy.holds_capacity()
            || !simple
            || spec.tasks < SEED_FROM
            || !job.live().is_empty()
            || !job.done().is_empty()
        {
            return None;
        }
        pass.slots
            .iter()
            .enumerate()
            .filter(|(at, slot)| {
                allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && slot.fits(spec)
                    && pass.holding(spec, *at) == Holding::Nothing
            })
            .max_by(|(_, a), (_, b)| a.free.cores.total_cmp(&b.free.cores))
            .map(|(at, _)| at)
    }

    /// Our companion: a fitting machine that holds the image, else the
    /// roomiest fitting one.
    pub(super) fn choose(&self, job: &Job, pass: &Pass) -> Option<usize> {
        let spec = &job.spec;
        let zones = self.live_zones(job);
        let one_zone = if spec.one_zone && zones.is_empty() {
            Some(self.best_zone(spec, &pass.slots)?)
        } else if spec.one_zone {
            zones.keys().next().cloned()
        } else {
            None
        };
        let per_zone = spec.tasks.div_ceil(2);
        let avoid = job.failures.machines() < pass.slots.len();
        // Where capacity is held for guarantees anyway, work is spread, so that
        // losing a machine stops little and images are held in many places;
        // elsewhere it is packed, so that machines can be given back.
        let spread = self.policy.holds_capacity();
        let enough = if spread {
            Holding::There
        } else {
            Holding::Coming
        };
        // Services stay where a controller hears them through a cut.
        let near = match spec.kind {
            JobKind::Service => self.main_zone.as_deref(),
            JobKind::Batch | JobKind::Gang => None,
        };
        let within = self.policy.wait_within.get(&spec.class).copied();
        let stays = self.stays_with_services(job, &zones, pass);
        let holdings = pass.holdings(spec);
        let mut best: Option<(Rank, usize)> = None;
        for (at, slot) in pass.slots.iter().enumerate() {
            let fits = slot.fits(spec)
                && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                && self.worth_it(job, slot)
                && !(stays && slot.barren)
                && one_zone.as_ref().is_none_or(|zone| *zone == slot.zone)
                && (!spec.scatter || zones.get(&slot.zone).copied().unwrap_or(0) < per_zone)
                && !(avoid && job.failures.includes(&slot.id));
            if !fits {
                continue;
            }
            let lacks = holdings.get(at).is_none_or(|holding| *holding < enough);
            let rank = Rank {
                flags: [
                    lacks,
                    lacks && within.is_some_and(|within| self.fetch_takes(spec, slot, within)),
                    near.is_some_and(|zone| *zone != *slot.zone),
                    slot.costly,
                    !slot.spot,
                ],
                room: if lacks || spread {
                    -slot.free.cores
                } else {
                    slot.free.cores
                },
            };
            if best.as_ref().is_none_or(|(least, _)| rank.before(least)) {
                best = Some((rank, at));
            }
        }
        best.map(|(_, at)| at)
            .filter(|at| !self.better_to_make_room(job, *at, pass))
    }

    /// Whether a service has room among others, or could have that of lesser
    /// work: it then leaves machines without services alone, which would have to
    /// be kept for it.
    pub(in crate::coordination::shard) fn stays_with_services(
        &self,
        job: &Job,
        zones: &BTreeMap<Arc<str>, u32>,
        pass: &Pass,
    ) -> bool {
        let spec = &job.spec;
        let per_zone = spec.tasks.div_ceil(2);
        let could_hold =
            |slot: &Slot| slot.free.holds(spec) || self.hosts_lower_priority_at(slot, spec);
        spec.kind == JobKind::Service
            && !self.policy.holds_capacity()
            && pass.slots.iter().any(|slot| {
                !slot.barren
                    && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && (!spec.scatter || zones.get(&slot.zone).copied().unwrap_or(0) < per_zone)
                    && (!spec.one_zone || zones.is_empty() || zones.contains_key(&slot.zone))
                    && !job.failures.includes(&slot.id)
                    && could_hold(slot)
            })
    }

    /// Whether a service would fetch its image for too long there, while it
    /// could have the place of lower-priority work beside an image.
    fn better_to_make_room(&self, job: &Job, at: usize, pass: &Pass) -> bool {
        let spec = &job.spec;
        // Jobs whose tasks depend on one another's zones attempt_number what there is.
        let free_of_zones = !spec.one_zone && (!spec.scatter || spec.tasks == 1);
        spec.kind == JobKind::Service
            && free_of_zones
            && self.slot_is_late(spec, pass, at)
            && pass.slots.iter().enumerate().any(|(other, slot)| {
                allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && !self.slot_is_late(spec, pass, other)
                    && self.hosts_lower_priority_at(slot, spec)
            })
    }

    fn hosts_lower_priority_at(&self, slot: &Slot, spec: &JobSpec) -> bool {
        let machine = self.machines.get(&slot.id);
        machine.is_some_and(|machine| hosts_lower_priority(machine, spec))
    }

    /// Whether a job would start too late there for want of its image.
    pub(in crate::coordination::shard) fn slot_is_late(
        &self,
        spec: &JobSpec,
        pass: &Pass,
        at: usize,
    ) -> bool {
        pass.holding(spec, at) < Holding::There && self.fetch_is_late(spec, &pass.slots[at])
    }

    /// Whether fetching a job's image there takes longer than a good wait.
    fn fetch_is_late(&self, spec: &JobSpec, slot: &Slot) -> bool {
        let within = self.policy.wait_within.get(&spec.class);
        within.is_some_and(|within| self.fetch_takes(spec, slot, *within))
    }

    /// Whether fetching a job's image there may attempt_number longer than that.
    fn fetch_takes(&self, spec: &JobSpec, slot: &Slot, longest: Duration) -> bool {
        self.types.get(&*slot.machine_type).is_some_and(|kind| {
            kind.fetch_gb_per_s > 0.0
                && spec.image_gb / kind.fetch_gb_per_s * FETCH_MARGIN > longest.as_secs_f64()
        })
    }

    /// Work that may run on spot machines waits for them while it has time.
    pub(in crate::coordination::shard) fn worth_it(&self, job: &Job, slot: &Slot) -> bool {
        !slot.costly || !job.spec.spot || job.spec.kind == JobKind::Service || job.pressed
    }

    /// How many tasks of a job may exist in each zone.
    pub(in crate::coordination::shard) fn live_zones(&self, job: &Job) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.scatter {
            for machine in job.live().values().filter_map(|id| self.machines.get(id)) {
                *zones.entry(machine.zone.clone()).or_insert(0) += 1;
            }
        }
        let unreconciled_tasks = job.unreconciled_tasks();
        if job.spec.scatter && unreconciled_tasks > 0 && !self.placement_known(job) {
            // They may all be in any zone with machines that are unaccounted for.
            let machines = self
                .unreconciled
                .iter()
                .filter_map(|id| self.machines.get(id));
            let unknown: BTreeSet<Arc<str>> = machines.map(|m| m.zone.clone()).collect();
            for zone in unknown {
                *zones.entry(zone).or_insert(0) += unreconciled_tasks;
            }
        }
        zones
    }

    /// The zone with room for most of a job's tasks.
    fn best_zone(&self, spec: &JobSpec, slots: &[Slot]) -> Option<Arc<str>> {
        let mut room: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
        for slot in slots {
            if allowed(spec, &slot.machine_type, &slot.zone, slot.spot) {
                *room.entry(&slot.zone).or_default() += slot.free.fits(spec);
            }
        }
        room.into_iter()
            .filter(|(_, n)| *n > 0)
            .max_by_key(|(_, n)| *n)
            .map(|(zone, _)| zone.clone())
    }
}

/// How good a slot is; what comes first is better.
struct Rank {
    /// What speaks against it, weightiest first.
    flags: [bool; 5],
    room: f64,
}

impl Rank {
    fn before(&self, other: &Self) -> bool {
        self.flags
            .cmp(&other.flags)
            .then(self.room.total_cmp(&other.room))
            .is_lt()
    }
}

/// Whether a machine has a task of lower priority that takes as much as one of this job.
fn hosts_lower_priority(machine: &Machine, spec: &JobSpec) -> bool {
    machine.load.tasks.iter().any(|(other, _)| {
        other.priority < spec.priority && other.cores >= spec.cores && other.mem_gb >= spec.mem_gb
    })
}
