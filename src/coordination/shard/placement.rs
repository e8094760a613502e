//! Which waiting task goes where.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::gang::MOST_GATHERING;
use super::machines::Amounts;
use super::{Attempt, Job, Machine, Phase, Shard};
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::{JobId, MachineId, TaskId};

/// Fetches may take this much longer than the type's rate says.
const FETCH_MARGIN: f64 = 1.35;
/// Jobs with at least this many tasks may bring their image to a machine.
const SEED_FROM: u32 = 8;
/// Tasks of one job placed before its team's turn ends.
const BLOCK: usize = 4;
/// How long a job waits without a start until it gets one before others: the
/// users call more than four minutes not served.
const STARVING: Duration = Duration::from_secs(150);
/// Machines held at once for jobs that have waited for that long.
const MOST_HELD: usize = 16;
/// Tasks placed in one pass.
const MOST_PLACED: usize = 256;
/// Run times are often overestimated by this much.
const SHORTEST_RUN: f64 = 0.5;
const SLACK: f64 = 1e-6;

/// A machine that may get tasks, as a placement pass sees it.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// Kept for batch work alone, at the full price.
    pub costly: bool,
    /// A service would keep it from being given back.
    pub barren: bool,
    pub free: Amounts,
    /// Of that, what batch work must leave.
    pub reserved: Amounts,
    /// Kept from batch work for a job that has waited for long.
    pub held: bool,
}

impl Slot {
    /// Whether one more task of a job fits.
    fn fits(&self, spec: &JobSpec) -> bool {
        let mut free = self.free;
        if spec.kind != JobKind::Service {
            if self.held {
                return false;
            }
            free = free.less(&self.reserved);
        }
        free.holds(spec)
    }

    /// How many more tasks of a job fit.
    pub(super) fn room_for(&self, spec: &JobSpec) -> u32 {
        if self.fits(spec) {
            self.free.less(&self.reserved).fits(spec)
        } else {
            0
        }
    }
}

/// What the teams may be using, counting all that might exist.
#[derive(Debug, Default, Clone)]
pub(super) struct Usage {
    teams: HashMap<String, Amounts>,
    /// What nobody knows the team of: it counts against every limit.
    unknown: Amounts,
}

impl Usage {
    pub fn of(&self, team: &str) -> Amounts {
        self.teams.get(team).copied().unwrap_or_default()
    }

    pub fn add(&mut self, spec: &JobSpec, tasks: u32) {
        if !self.teams.contains_key(&spec.team) {
            self.teams.insert(spec.team.clone(), Amounts::default());
        }
        if let Some(used) = self.teams.get_mut(&spec.team) {
            used.give_many(spec, tasks);
        }
    }
}

/// What a machine has of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Holding {
    Nothing,
    /// It fetches it, or is about to.
    Coming,
    There,
}

/// One placement pass: the open machines, and what is known of them so far.
pub(super) struct Pass {
    pub slots: Vec<Slot>,
    pub usage: Usage,
    /// By image, what each slot's machine has of it.
    images: HashMap<String, Vec<Holding>>,
}

impl Pass {
    /// What each slot's machine has of a job's image, once looked for.
    fn holdings(&self, spec: &JobSpec) -> &[Holding] {
        self.images.get(&spec.image).map_or(&[], Vec::as_slice)
    }

    fn holding(&self, spec: &JobSpec, at: usize) -> Holding {
        let holding = self.holdings(spec).get(at).copied();
        holding.unwrap_or(Holding::Nothing)
    }

    /// Whether a machine would have to fetch a job's image.
    pub(super) fn lacks_image(&self, spec: &JobSpec, at: usize) -> bool {
        self.holding(spec, at) == Holding::Nothing
    }

    /// A task was placed on a slot.
    pub(super) fn take(&mut self, spec: &JobSpec, at: usize) {
        self.slots[at].free.take(spec);
        self.usage.add(spec, 1);
        if let Some(holdings) = self.images.get_mut(&spec.image) {
            holdings[at] = holdings[at].max(Holding::Coming);
        }
    }
}

/// Whether a job may run on a machine of this type, zone and kind.
pub(super) fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|types| types.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

impl Shard {
    pub(super) fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for machine in self.machines.values() {
            let unresolved = self.unresolved.contains(&machine.id);
            let unknown = if unresolved { 1 } else { machine.load.unknown };
            if unknown > 0
                && let Some(kind) = self.types.get(&*machine.machine_type)
            {
                usage.unknown.cores += kind.cores * f64::from(unknown);
                usage.unknown.accelerators += kind.accelerators * f64::from(unknown);
            }
            if !unresolved {
                for (spec, count) in &machine.load.tasks {
                    usage.add(spec, *count);
                }
            }
        }
        usage
    }

    /// Whether one more task of a job stays within its team's limit.
    pub(super) fn within_limit(&self, usage: &Usage, spec: &JobSpec) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else {
            return false;
        };
        let used = usage.of(&spec.team);
        let fits = |used: f64, unknown: f64, more: f64, most: f64| {
            most <= 0.0 || more <= 0.0 || used + unknown + more <= most + SLACK
        };
        fits(used.cores, usage.unknown.cores, spec.cores, team.cores_max)
            && fits(
                used.accelerators,
                usage.unknown.accelerators,
                spec.accelerators,
                team.accelerators_max,
            )
    }

    /// Whether a team would still be within its guarantee with one more task.
    pub(super) fn within_guarantee(&self, usage: &Usage, spec: &JobSpec) -> bool {
        self.policy.teams.get(&spec.team).is_some_and(|team| {
            let used = usage.of(&spec.team);
            used.cores + spec.cores <= team.cores + SLACK
                && used.accelerators + spec.accelerators <= team.accelerators + SLACK
        })
    }

    /// A team's place in the turn: within its guarantee first, then by what it
    /// uses for its share.
    fn turn(&self, usage: &Usage, spec: &JobSpec) -> (bool, f64) {
        let share = self
            .policy
            .teams
            .get(&spec.team)
            .map_or(1.0, |team| team.cores.max(team.accelerators).max(1.0));
        let used = usage.of(&spec.team);
        (
            !self.within_guarantee(usage, spec),
            (used.cores + used.accelerators) / share,
        )
    }

    /// Whether a job's waiting tasks are surely nowhere.
    pub(super) fn placement_known(&self, job: &Job) -> bool {
        // Jobs accepted after our term began were never an earlier owner's.
        self.unresolved.is_empty() || job.mark > self.term
    }

    /// How many of a job's waiting tasks may be started. While machines are
    /// unaccounted for, those that were on machines we knew of: no earlier owner
    /// can have started them elsewhere.
    pub(super) fn placeable(&self, job: &Job) -> u32 {
        if self.placement_known(job) {
            job.waiting()
        } else if job.spec.one_zone && job.unaccounted() > 0 {
            // Nobody knows which zone the others are in.
            0
        } else {
            job.surely_nowhere()
        }
    }

    fn open_slots(&self, now: Instant) -> Vec<Slot> {
        let reserved = self.reserved_for_moves();
        self.machines
            .values()
            .filter(|m| m.open(now, &self.policy))
            .filter_map(|m| {
                let kind = self.types.get(&*m.machine_type)?;
                Some(Slot {
                    id: m.id.clone(),
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    costly: self.costly(m, now),
                    barren: self.barren(m),
                    free: m.free(kind),
                    reserved: reserved.get(&m.id).copied().unwrap_or_default(),
                    held: false,
                })
            })
            .collect()
    }

    /// Places what waits, by priority, then team by team in turn.
    pub(super) fn place(&mut self, now: Instant) {
        if self.writes.stale(now, self.policy.staleness) {
            return;
        }
        let mut levels: BTreeMap<Reverse<Priority>, HashMap<String, Vec<JobId>>> = BTreeMap::new();
        for job in self.jobs.values() {
            if self.placeable(job) > 0 && job.not_before.is_none_or(|at| at <= now) {
                levels
                    .entry(Reverse(job.spec.priority))
                    .or_default()
                    .entry(job.spec.team.clone())
                    .or_default()
                    .push(job.id.clone());
            }
        }
        if levels.is_empty() {
            return;
        }
        self.machines.refresh();
        let mut pass = Pass {
            slots: self.open_slots(now),
            usage: self.usage(),
            images: HashMap::new(),
        };
        let mut stuck = Vec::new();
        let mut placed_in_all = 0;
        let mut gathering = 0;
        let wall = self.wall_ms(now);
        self.begin_starving(&mut pass, wall, now);
        for (_, teams) in levels {
            let mut queues: HashMap<String, VecDeque<JobId>> = teams
                .into_iter()
                .map(|(team, mut ids)| {
                    ids.sort_by_key(|id| self.queue_key(id, wall));
                    (team, ids.into())
                })
                .collect();
            while let Some(team) = self.next_team(&queues, &pass.usage) {
                let Some(queue) = queues.get_mut(&team) else {
                    break;
                };
                let Some(id) = queue.front().cloned() else {
                    queues.remove(&team);
                    continue;
                };
                let gang = self.jobs.get(&id).is_some_and(|job| job.spec.is_gang());
                let placed = if gang {
                    self.place_gang(&id, &mut pass, now)
                } else {
                    self.place_some(&id, BLOCK, &mut pass, now)
                };
                if gang && placed == 0 && gathering < MOST_GATHERING {
                    gathering += 1;
                    self.gather_for_gang(&id, &mut pass, now);
                }
                placed_in_all += placed;
                if placed_in_all >= MOST_PLACED {
                    // Reports and renewals come first; the next pass goes on.
                    self.needs_pass = true;
                    return;
                }
                let left = self.jobs.get(&id).map_or(0, |job| self.placeable(job));
                if placed == 0 || left == 0 {
                    queue.pop_front();
                    if left > 0 {
                        stuck.push(id);
                    }
                }
            }
        }
        self.preempt(&stuck, &pass, now);
    }

    /// Work that has waited for long without a single start gets one, whatever
    /// comes before it: room is found, none is made.
    fn begin_starving(&mut self, pass: &mut Pass, wall: u64, now: Instant) {
        let mut starving: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| {
                let age = Duration::from_millis(wall.saturating_sub(job.at_ms));
                age > STARVING
                    && !job.spec.is_gang()
                    && job.waiting() > 0
                    && job.live().is_empty()
                    && job.done().is_empty()
                    && job.not_before.is_none_or(|at| at <= now)
                    && self.placement_known(job)
            })
            .map(|job| job.id.clone())
            .collect();
        starving.sort_by_key(|id| self.queue_key(id, wall));
        for id in starving.into_iter().take(MOST_HELD) {
            if self.place_some(&id, 1, pass, now) == 0 {
                self.hold_for(&id, pass);
            }
        }
    }

    /// Keeps the emptiest machine that could hold a task of a job from other
    /// batch work: small tasks would fill every hole there for ever.
    fn hold_for(&self, id: &JobId, pass: &mut Pass) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let spec = &job.spec;
        let emptiest = pass
            .slots
            .iter_mut()
            .filter(|slot| {
                !slot.held
                    && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && self.worth_it(job, slot)
                    && self
                        .types
                        .get(&*slot.machine_type)
                        .is_some_and(|kind| Amounts::of_type(kind).holds(spec))
            })
            .max_by(|a, b| a.free.cores.total_cmp(&b.free.cores).then(b.id.cmp(&a.id)));
        if let Some(slot) = emptiest {
            slot.held = true;
        }
    }

    /// Jobs go by the next time that they can still make; those that can make
    /// none come last.
    fn queue_key(&self, id: &JobId, wall: u64) -> (bool, u64, u64) {
        let Some(job) = self.jobs.get(id) else {
            return (true, u64::MAX, u64::MAX);
        };
        // A gang that starts late is late as a whole: it goes by its start.
        let wait = self.policy.wait_within.get(&job.spec.class);
        let start = wait.filter(|_| job.spec.is_gang());
        let start = start.map(|within| job.at_ms.saturating_add(within.as_millis() as u64));
        if let Some(start) = start.filter(|start| *start > wall) {
            return (false, start, job.at_ms);
        }
        let run = Duration::from_secs_f64(job.spec.duration_s * SHORTEST_RUN);
        match self.next_due(job, wall + run.as_millis() as u64) {
            Some(due) => (false, due, job.at_ms),
            None => (job.due_ms() < wall, job.due_ms(), job.at_ms),
        }
    }

    /// The first time from `from` on by which a job had better be done: its
    /// deadline, the multiples of it and the time since it came that the users
    /// state for its class.
    pub(super) fn next_due(&self, job: &Job, from: u64) -> Option<u64> {
        let class = &job.spec.class;
        let after = |s: f64| job.at_ms.saturating_add((s * 1e3) as u64);
        let stated = self.policy.deadline_times.get(class);
        let multiples = stated.map_or(&[1.0][..], Vec::as_slice);
        let deadlines = job
            .spec
            .deadline_s
            .into_iter()
            .flat_map(|s| multiples.iter().map(move |multiple| s * multiple));
        let within = self.policy.finish_within.get(class);
        let finish = within.map(|within| within.as_secs_f64());
        deadlines
            .chain(finish)
            .map(after)
            .filter(|due| *due >= from)
            .min()
    }

    fn next_team(
        &self,
        queues: &HashMap<String, VecDeque<JobId>>,
        usage: &Usage,
    ) -> Option<String> {
        queues
            .iter()
            .filter_map(|(team, queue)| {
                let job = self.jobs.get(queue.front()?)?;
                Some((self.turn(usage, &job.spec), team))
            })
            .min_by(|a, b| {
                a.0.0
                    .cmp(&b.0.0)
                    .then(a.0.1.total_cmp(&b.0.1))
                    .then(a.1.cmp(b.1))
            })
            .map(|(_, team)| team.clone())
    }

    /// Places some of a job's tasks; returns how many.
    fn place_some(&mut self, id: &JobId, most: usize, pass: &mut Pass, now: Instant) -> usize {
        let mut placed = 0;
        while placed < most {
            let Some(job) = self.jobs.get(id) else {
                break;
            };
            let spec = job.spec.clone();
            if self.placeable(job) == 0 || !self.within_limit(&pass.usage, &spec) {
                break;
            }
            let all = self.placement_known(job);
            self.look_for_image(&spec.image, pass);
            let seed = self.seed(job, pass);
            let Some(at) = seed.or_else(|| self.choose(job, pass)) else {
                break;
            };
            let Some(index) = self.jobs.get_mut(id).and_then(|job| job.next_waiting(all)) else {
                break;
            };
            pass.take(&spec, at);
            let machine = pass.slots[at].id.clone();
            self.launch(id, index, &machine, now);
            placed += 1;
        }
        placed
    }

    /// Looks once a pass which machines hold or fetch an image.
    pub(super) fn look_for_image(&self, image: &str, pass: &mut Pass) {
        if pass.images.contains_key(image) {
            return;
        }
        let holdings = pass
            .slots
            .iter()
            .map(|slot| match self.machines.get(&slot.id) {
                Some(machine) if machine.has_image(image) => Holding::There,
                Some(machine) if fetches_image(machine, image) => Holding::Coming,
                _ => Holding::Nothing,
            })
            .collect();
        pass.images.insert(image.to_owned(), holdings);
    }

    /// Where to bring an image to: the first task of a job with many goes to a
    /// machine that lacks the image, so that later work finds it there. It costs
    /// a small share of one job its quick start.
    fn seed(&self, job: &Job, pass: &Pass) -> Option<usize> {
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
    fn choose(&self, job: &Job, pass: &Pass) -> Option<usize> {
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
        let avoid = !job.failed_on.is_empty() && job.failed_on.len() < pass.slots.len();
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
                && !(avoid && job.failed_on.contains(&slot.id));
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
    pub(super) fn stays_with_services(
        &self,
        job: &Job,
        zones: &BTreeMap<Arc<str>, u32>,
        pass: &Pass,
    ) -> bool {
        let spec = &job.spec;
        let per_zone = spec.tasks.div_ceil(2);
        let could_hold = |slot: &Slot| {
            let lesser = |machine: &Machine| {
                machine.load.tasks.iter().any(|(other, _)| {
                    other.priority < spec.priority
                        && other.cores >= spec.cores
                        && other.mem_gb >= spec.mem_gb
                })
            };
            slot.free.holds(spec) || self.machines.get(&slot.id).is_some_and(lesser)
        };
        spec.kind == JobKind::Service
            && !self.policy.holds_capacity()
            && pass.slots.iter().any(|slot| {
                !slot.barren
                    && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && (!spec.scatter || zones.get(&slot.zone).copied().unwrap_or(0) < per_zone)
                    && (!spec.one_zone || zones.is_empty() || zones.contains_key(&slot.zone))
                    && !job.failed_on.contains(&slot.id)
                    && could_hold(slot)
            })
    }

    /// Whether a service would fetch its image for too long there, while it
    /// could have the place of lesser work beside an image.
    fn better_to_make_room(&self, job: &Job, at: usize, pass: &Pass) -> bool {
        let spec = &job.spec;
        let lesser = |machine: &Machine| {
            machine.load.tasks.iter().any(|(lesser, _)| {
                lesser.priority < spec.priority
                    && lesser.cores >= spec.cores
                    && lesser.mem_gb >= spec.mem_gb
            })
        };
        // Jobs whose tasks depend on one another's zones take what there is.
        let free_of_zones = !spec.one_zone && (!spec.scatter || spec.tasks == 1);
        spec.kind == JobKind::Service
            && free_of_zones
            && self.slot_is_late(spec, pass, at)
            && pass.slots.iter().enumerate().any(|(other, slot)| {
                allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && !self.slot_is_late(spec, pass, other)
                    && self.machines.get(&slot.id).is_some_and(lesser)
            })
    }

    /// Whether a job would start too late there for want of its image.
    pub(super) fn slot_is_late(&self, spec: &JobSpec, pass: &Pass, at: usize) -> bool {
        pass.holding(spec, at) < Holding::There && self.fetch_is_late(spec, &pass.slots[at])
    }

    /// Whether fetching a job's image there takes longer than a good wait.
    fn fetch_is_late(&self, spec: &JobSpec, slot: &Slot) -> bool {
        let within = self.policy.wait_within.get(&spec.class);
        within.is_some_and(|within| self.fetch_takes(spec, slot, *within))
    }

    /// Whether fetching a job's image there may take longer than that.
    fn fetch_takes(&self, spec: &JobSpec, slot: &Slot, longest: Duration) -> bool {
        self.types.get(&*slot.machine_type).is_some_and(|kind| {
            kind.fetch_gb_per_s > 0.0
                && spec.image_gb / kind.fetch_gb_per_s * FETCH_MARGIN > longest.as_secs_f64()
        })
    }

    /// Work that may run on spot machines waits for them while it has time.
    pub(super) fn worth_it(&self, job: &Job, slot: &Slot) -> bool {
        !slot.costly || !job.spec.spot || job.spec.kind == JobKind::Service || job.pressed
    }

    /// How many tasks of a job may exist in each zone.
    pub(super) fn live_zones(&self, job: &Job) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.scatter {
            for machine in job.live().values().filter_map(|id| self.machines.get(id)) {
                *zones.entry(machine.zone.clone()).or_insert(0) += 1;
            }
        }
        let unaccounted = job.unaccounted();
        if job.spec.scatter && unaccounted > 0 && !self.placement_known(job) {
            // They may all be in any zone with machines that are unaccounted for.
            let machines = self
                .unresolved
                .iter()
                .filter_map(|id| self.machines.get(id));
            let unknown: BTreeSet<Arc<str>> = machines.map(|m| m.zone.clone()).collect();
            for zone in unknown {
                *zones.entry(zone).or_insert(0) += unaccounted;
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

    fn launch(&mut self, id: &JobId, index: u32, machine_id: &MachineId, now: Instant) {
        let take = self.new_take();
        self.launch_as(id, index, machine_id, take, now);
    }

    pub(super) fn launch_as(
        &mut self,
        id: &JobId,
        index: u32,
        machine_id: &MachineId,
        take: u64,
        now: Instant,
    ) {
        let (Some(job), Some(machine)) = (self.jobs.get_mut(id), self.machines.get_mut(machine_id))
        else {
            return;
        };
        job.put(index, machine_id);
        machine.idle_since = None;
        let task = TaskId {
            job: id.clone(),
            index,
        };
        tracing::debug!(%task, take, machine = %machine_id, "launch");
        machine.attempts.insert(
            (task, take),
            Attempt::new(Some(job.spec.clone()), Phase::Launching, now),
        );
        self.writes.progress_changed(now);
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

/// Whether a machine fetches an image, or is about to.
fn fetches_image(machine: &Machine, image: &str) -> bool {
    machine
        .load
        .tasks
        .iter()
        .any(|(spec, _)| spec.image == image)
}
