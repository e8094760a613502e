//! How much room is wanted, and which machines are worth renting for it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::fleet::{LEAST_CHARGE, MOST_PER_RENTAL, PLAN_EVERY};
use super::machines::Amounts;
use super::placement::{Usage, allowed};
use super::{Job, Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// Waiting tasks of one job that a plan looks at.
const MOST_FORESEEN: u32 = 5000;

/// Run times are often underestimated by this much.
const ESTIMATE_MARGIN: f64 = 1.3;

/// Share of a good wait that is used before machines are rented for it.
const PATIENCE: f64 = 0.8;

/// When work starts at the latest of which nobody says when it should: the
/// users call more than four minutes not served.
const LONGEST_WAIT: Duration = Duration::from_secs(240);

/// The same for the rest of such work once some of it has begun.
const LONGEST_UNTIMED: Duration = Duration::from_secs(600);

/// Work with less time than this to its latest start isn't kept waiting.
const PATIENT_ENOUGH_S: f64 = 30.0;

/// Machines are often up later than usual by this much.
const BOOT_MARGIN: f64 = 1.2;

/// One that comes too late for a gang is worth so much less: all its tasks wait.
const LATE_GANG: f64 = 3.0;

/// A machine that comes this much too late is worth half as much.
const LATE_DOUBLES_S: f64 = 30.0;

/// Over how long the room that a priority finds is averaged.
const ROOM_MEMORY: Duration = Duration::from_secs(60);

/// A run time to reckon with where none is given.
const LONG_RUN_S: f64 = 600.0;

/// Room that is there or will be, for the plan.
pub(super) struct Bin {
    pub machine: Option<MachineId>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub free: Amounts,
    /// Batch tasks on it, lowest priority first.
    yielding: Vec<Yielding>,
    /// Kept for batch work alone, at the full price.
    costly: bool,
    pub used: bool,
    /// Sort: busy machines, idle ones, those that are yet to come, those that
    /// are being emptied.
    pub rank: u8,
}

impl Bin {
    /// Whether a task fits as it is or if something gives way.
    fn could_hold(&self, spec: &JobSpec) -> bool {
        let gives_way = |tasks: &Yielding| tasks.spec.priority < spec.priority;
        self.free.holds(spec) || self.yielding.first().is_some_and(gives_way)
    }

    /// Counts what gives way as free, as far as some tasks of a job need it.
    fn make_room(&mut self, spec: &JobSpec, tasks: u32) {
        while self.free.fits(spec) < tasks {
            match self.yielding.first_mut() {
                Some(lowest) if lowest.spec.priority < spec.priority => {
                    self.free.give(&lowest.spec);
                    lowest.count -= 1;
                    if lowest.count == 0 {
                        self.yielding.remove(0);
                    }
                }
                _ => break,
            }
        }
    }
}

/// A wish for room.
struct Demand {
    spec: Arc<JobSpec>,
    count: u32,
    /// One job's tasks, which may have to be apart; else room for many jobs.
    one_job: bool,
    offers: Offers,
    /// Seconds until it should start; an offer that takes longer loses worth.
    slack_s: Option<f64>,
}

/// Which offers a demand is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Offers {
    /// The cheapest.
    Any,
    /// Ordinary machines if there are any: they are not taken back.
    SteadyFirst,
    /// Only spot machines: the work can wait for room.
    SpotOnly,
}

/// Tasks of one job that run on a bin and give way to higher priorities.
struct Yielding {
    spec: Arc<JobSpec>,
    count: u32,
}

/// Something that can be rented.
#[derive(Clone)]
struct Offer {
    kind: Arc<MachineType>,
    zone: String,
    spot: bool,
    price: f64,
}

impl Shard {
    /// Compares the room that is wanted with the room there is.
    pub(super) fn plan(&mut self, now: Instant) {
        let mut bins = self.bins(now);
        self.note_room(&bins);
        let demands = self.demands(&bins, now);
        let mut wanted: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
        // How many machines of a type are in a zone already.
        let mut crowds: HashMap<(&str, &str), f64> = HashMap::new();
        for machine in self.machines.values() {
            let there = crowds.entry((&*machine.machine_type, &*machine.zone));
            *there.or_default() += 1.0;
        }
        // A new machine is shared with the jobs of the class that follow.
        let mut class_left: HashMap<String, u32> = HashMap::new();
        for demand in &demands {
            *class_left.entry(demand.spec.class.clone()).or_default() += demand.count;
        }
        for demand in demands {
            let companions = class_left.entry(demand.spec.class.clone()).or_default();
            *companions -= demand.count;
            let companions = *companions;
            let mut left = demand.count;
            let spread = demand.spec.tasks.div_ceil(2);
            let zone = self.gang_zone(&demand, &bins, &crowds, now);
            let elsewhere = |at: &str| zone.as_deref().is_some_and(|zone| zone != at);
            let mut per_zone: HashMap<Arc<str>, u32> = HashMap::new();
            for bin in &mut bins {
                if left == 0 {
                    break;
                }
                let too_costly = bin.costly && demand.offers == Offers::SpotOnly;
                if too_costly || !allowed(&demand.spec, &bin.machine_type, &bin.zone, bin.spot) {
                    continue;
                }
                if !bin.could_hold(&demand.spec) || elsewhere(&bin.zone) {
                    continue;
                }
                bin.make_room(&demand.spec, left);
                let mut n = bin.free.fits(&demand.spec).min(left);
                if demand.spec.scatter && demand.one_job {
                    let there = per_zone.entry(bin.zone.clone()).or_default();
                    n = n.min(spread.saturating_sub(*there));
                    *there += n;
                }
                for _ in 0..n {
                    bin.free.take(&demand.spec);
                }
                // Work that can wait is no reason to keep a machine.
                bin.used |= n > 0 && demand.offers != Offers::SpotOnly;
                left -= n;
            }
            while left > 0 {
                let Some(offer) =
                    self.best_offer(&demand, left + companions, zone.as_deref(), &crowds, now)
                else {
                    break;
                };
                let mut free = Amounts::of_type(&offer.kind);
                let n = free.fits(&demand.spec).min(left);
                if n == 0 {
                    break;
                }
                for _ in 0..n {
                    free.take(&demand.spec);
                }
                left -= n;
                tracing::debug!(
                    class = demand.spec.class,
                    left,
                    slack_s = demand.slack_s,
                    machine_type = offer.kind.name,
                    zone = offer.zone,
                    spot = offer.spot,
                    "a machine is wanted"
                );
                let key = (offer.kind.name.clone(), offer.zone.clone(), offer.spot);
                *wanted.entry(key).or_default() += 1;
                bins.push(Bin {
                    machine: None,
                    machine_type: offer.kind.name.as_str().into(),
                    zone: offer.zone.as_str().into(),
                    spot: offer.spot,
                    free,
                    yielding: Vec::new(),
                    costly: !offer.spot,
                    used: true,
                    rank: 2,
                });
            }
        }
        let growing = wanted.keys().any(|(_, _, spot)| !spot)
            || self.fleet.bookings.values().any(|b| !b.rental.spot);
        self.reopen(&bins);
        // Work that nobody has accounted for yet is in no plan.
        let accounted = self.unresolved.is_empty();
        if accounted {
            self.consolidate(&bins, !growing, now);
        }
        for ((machine_type, zone, spot), count) in wanted {
            self.book(machine_type, zone, spot, count.min(MOST_PER_RENTAL));
        }
        self.give_back(&bins, now);
    }

    /// Where a gang's room is wanted, if it has to be in one zone: where it has
    /// begun, or where there is most of it already.
    fn gang_zone(
        &self,
        demand: &Demand,
        bins: &[Bin],
        crowds: &HashMap<(&str, &str), f64>,
        now: Instant,
    ) -> Option<Arc<str>> {
        let spec = &demand.spec;
        if !(spec.is_gang() && spec.one_zone && demand.one_job) {
            return None;
        }
        let mut room: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for bin in bins {
            if allowed(spec, &bin.machine_type, &bin.zone, bin.spot) {
                *room.entry(bin.zone.clone()).or_default() += bin.free.fits(spec);
            }
        }
        let most = room.into_iter().max_by_key(|(_, n)| *n);
        // With little of it there, where machines come soonest counts more.
        let most = most.filter(|(_, n)| *n * 2 >= demand.count);
        let offered = || {
            let offer = self.best_offer(demand, demand.count, None, crowds, now)?;
            Some(offer.zone.as_str().into())
        };
        most.map(|(zone, _)| zone).or_else(offered)
    }

    fn bins(&self, now: Instant) -> Vec<Bin> {
        let mut bins = Vec::new();
        for machine in self.machines.values() {
            let Some(kind) = self.types.get(&*machine.machine_type) else {
                continue;
            };
            let doomed = machine.deleting
                || machine.condemned
                || machine.notice.is_some()
                || machine.vanished
                || (machine.heard.is_none() && self.cut_off.contains(&*machine.zone));
            if doomed {
                continue;
            }
            let coming = machine.heard.is_none() && !machine.admitted;
            if coming {
                // A machine that takes far too long is better not counted on.
                let age = now.saturating_duration_since(machine.rented);
                if age > startup(kind).mul_f64(2.0) + Duration::from_secs(3) {
                    continue;
                }
            } else if machine.heard.is_some() && machine.silence(now) > self.policy.suspect {
                continue;
            }
            bins.push(Bin {
                machine: Some(machine.id.clone()),
                machine_type: machine.machine_type.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                free: machine.free(kind),
                yielding: yielding(machine),
                costly: self.costly(machine, now),
                used: false,
                rank: match (coming, !machine.tally.idle()) {
                    _ if machine.draining => 3,
                    (false, true) => 0,
                    (false, false) => 1,
                    (true, _) => 2,
                },
            });
        }
        for booking in self.fleet.bookings.values() {
            let rental = &booking.rental;
            if let Some(kind) = self.types.get(&rental.machine_type) {
                for _ in 0..rental.count {
                    bins.push(Bin {
                        machine: None,
                        machine_type: rental.machine_type.as_str().into(),
                        zone: rental.zone.as_str().into(),
                        spot: rental.spot,
                        free: Amounts::of_type(kind),
                        yielding: Vec::new(),
                        costly: !rental.spot,
                        used: false,
                        rank: 2,
                    });
                }
            }
        }
        bins.sort_by(|a, b| {
            a.rank
                .cmp(&b.rank)
                .then(a.free.cores.total_cmp(&b.free.cores))
                .then(a.machine.cmp(&b.machine))
        });
        bins
    }

    /// What waits, what is likely to come, and what is guaranteed.
    fn demands(&mut self, bins: &[Bin], now: Instant) -> Vec<Demand> {
        let mut demands = Vec::new();
        let mut pressed = Vec::new();
        let wall = self.wall_ms(now);
        let used = self.usage();
        let mut usage = used.clone();
        let mut jobs: Vec<_> = self
            .jobs
            .values()
            .filter(|job| job.waiting() > 0 && job.failures <= 3)
            .collect();
        jobs.sort_by_key(|job| {
            (
                std::cmp::Reverse(job.spec.priority),
                job.due_ms(),
                job.at_ms,
            )
        });
        let mut queued = 0.0;
        for job in jobs {
            let waiting = job.waiting().min(MOST_FORESEEN);
            let mut count = 0;
            while count < waiting && self.within_limit(&usage, &job.spec) {
                usage.add(&job.spec, 1);
                count += 1;
            }
            if job.spec.is_gang() && count < waiting {
                // A part of it is of no use.
                continue;
            }
            if job.spec.kind == JobKind::Batch {
                queued += f64::from(count) * job.spec.cores * job.spec.duration_s;
            }
            let cheap = self.usual_room(&job.spec, bins.iter().filter(|bin| !bin.costly));
            if self.urgent(job, count, queued, cheap, wall) > 0 {
                pressed.push(job.id.clone());
            }
            let costly = room(&job.spec, bins.iter().filter(|bin| bin.costly));
            let urgent = self.urgent(job, count, queued, cheap + costly, wall);
            for (count, offers) in [(urgent, Offers::Any), (count - urgent, Offers::SpotOnly)] {
                if count > 0 {
                    demands.push(Demand {
                        spec: job.spec.clone(),
                        count,
                        one_job: true,
                        offers,
                        slack_s: self.start_slack(job, wall),
                    });
                }
            }
        }
        self.foreseen(&mut demands, now);
        self.guaranteed(&mut demands, &used);
        for job in self.jobs.values_mut() {
            job.pressed = false;
        }
        for id in pressed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.pressed = true;
            }
        }
        demands
    }

    /// The cheap room that a priority finds: as it is now, or as it was lately
    /// on average if that is more. Bursts of work that goes first come and go.
    fn usual_room<'a>(&self, spec: &JobSpec, bins: impl Iterator<Item = &'a Bin>) -> f64 {
        let usual = self.fleet.usual_room.get(&spec.priority).copied();
        room(spec, bins).max(usual.unwrap_or(0.0))
    }

    /// Takes the room of the moment into the averages.
    fn note_room(&mut self, bins: &[Bin]) {
        let specs: BTreeMap<Priority, Arc<JobSpec>> = self
            .jobs
            .values()
            .filter(|job| job.spec.kind == JobKind::Batch && job.spec.spot)
            .map(|job| (job.spec.priority, job.spec.clone()))
            .collect();
        let weight = PLAN_EVERY.as_secs_f64() / ROOM_MEMORY.as_secs_f64();
        for (priority, spec) in specs {
            let now = room(&spec, bins.iter().filter(|bin| !bin.costly));
            let usual = self.fleet.usual_room.entry(priority).or_insert(now);
            *usual += (now - *usual) * weight;
        }
    }

    /// How many of a job's waiting tasks would start too late if they had to
    /// wait for this room, in cores. `queued` is the work up to and with theirs, in
    /// core-seconds.
    fn urgent(&self, job: &Job, waiting: u32, queued: f64, room: f64, wall: u64) -> u32 {
        let spec = &job.spec;
        if spec.kind != JobKind::Batch || spec.duration_s <= 0.0 || !spec.spot {
            return waiting;
        }
        let run = spec.duration_s * ESTIMATE_MARGIN;
        let Some(slack) = self.stated_slack(job, run, wall) else {
            // What fills the room for a while is no reason to pay more for work
            // that nobody waits for; its time does come, a job's first start
            // long before the rest.
            return match untimed_slack(job, wall) {
                slack if slack > 0.0 => 0,
                _ if begun(job) => waiting,
                _ => waiting.min(1),
            };
        };
        if room < spec.cores {
            // Nothing to wait for yet: ask for spot machines, and for others
            // when time runs short.
            let patient = slack > run * 0.5 && slack > PATIENT_ENOUGH_S;
            return if patient { 0 } else { waiting };
        }
        let last_start = ((queued - room * run) / room).max(0.0);
        if slack <= 0.0 {
            waiting
        } else if last_start <= slack {
            0
        } else {
            let late = 1.0 - slack.max(0.0) / last_start;
            (f64::from(waiting) * late).ceil() as u32
        }
    }

    /// Seconds until a job's waiting tasks should start on a machine rented now.
    fn start_slack(&self, job: &Job, wall: u64) -> Option<f64> {
        let run = job.spec.duration_s * ESTIMATE_MARGIN;
        let slack = self.slack(job, run, wall)?;
        let boot = match job.spec.deadline_s {
            Some(_) => self.quickest().as_secs_f64(),
            None => 0.0,
        };
        Some(slack + boot)
    }

    /// Seconds until a job's last task should start; None if nothing says so.
    fn slack(&self, job: &Job, run: f64, wall: u64) -> Option<f64> {
        let batch = job.spec.kind == JobKind::Batch;
        let untimed = || batch.then(|| untimed_slack(job, wall));
        self.stated_slack(job, run, wall).or_else(untimed)
    }

    /// The same by what the users state of the job or its class.
    fn stated_slack(&self, job: &Job, run: f64, wall: u64) -> Option<f64> {
        let age = wall.saturating_sub(job.at_ms) as f64 / 1e3;
        let class = &job.spec.class;
        // A time that is past, or can't be made any more, hurries nobody.
        let wait = self.policy.wait_within.get(class);
        let start = wait
            .map(|within| within.as_secs_f64())
            .filter(|within| *within > age)
            .map(|within| within * PATIENCE - age);
        let finish = self.policy.finish_within.get(class);
        let finish = finish
            .map(|within| within.as_secs_f64())
            .filter(|within| *within > age + job.spec.duration_s)
            .map(|within| within * PATIENCE - age - run);
        let soonest = Duration::from_secs_f64(job.spec.duration_s);
        let deadline = job.spec.deadline_s.and_then(|_| {
            let due = self.next_due(job, wall + soonest.as_millis() as u64)?;
            let left = due.saturating_sub(job.at_ms) as f64 / 1e3 - age;
            Some(left - run - self.quickest().as_secs_f64())
        });
        [start, finish, deadline]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// The shortest usual time until a new machine is up.
    pub(super) fn quickest(&self) -> Duration {
        self.types
            .values()
            .map(|kind| startup(kind))
            .min()
            .unwrap_or_default()
    }

    /// Room for jobs that can't wait until a machine is up.
    fn foreseen(&self, demands: &mut Vec<Demand>, now: Instant) {
        let quickest = self.quickest();
        for (class, history) in &self.fleet.classes {
            let within = self.policy.wait_within.get(class).copied();
            if within.is_none_or(|within| within > quickest) {
                continue;
            }
            let rate = history.rate(now);
            let expected = rate * (quickest.as_secs_f64() * 1.5 + 10.0);
            let running = self
                .jobs
                .values()
                .filter(|job| job.spec.class == *class)
                .map(|job| job.live().len())
                .sum::<usize>() as f64;
            let count = (expected + expected.sqrt()).max(running * self.policy.headroom);
            demands.push(Demand {
                spec: history.spec.clone(),
                count: count.ceil().clamp(1.0, 1000.0) as u32,
                one_job: false,
                offers: Offers::Any,
                slack_s: None,
            });
        }
    }

    /// Room for what the teams are guaranteed and don't use yet: they needn't
    /// wait for machines either.
    fn guaranteed(&self, demands: &mut Vec<Demand>, usage: &Usage) {
        for (name, team) in &self.policy.teams {
            let unused = team.cores - usage.of(name).cores;
            if unused <= 0.0 {
                continue;
            }
            let Some(spec) = self
                .fleet
                .classes
                .values()
                .map(|history| &history.spec)
                .filter(|spec| spec.cores > 0.0)
                .min_by_key(|spec| {
                    (
                        spec.team != *name,
                        std::cmp::Reverse(spec.kind == JobKind::Batch),
                    )
                })
            else {
                continue;
            };
            demands.push(Demand {
                count: (unused / spec.cores).floor().clamp(0.0, 1e5) as u32,
                spec: spec.clone(),
                one_job: false,
                offers: Offers::SteadyFirst,
                slack_s: None,
            });
        }
    }

    fn best_offer(
        &self,
        demand: &Demand,
        left: u32,
        only: Option<&str>,
        crowds: &HashMap<(&str, &str), f64>,
        now: Instant,
    ) -> Option<Offer> {
        let spec = &demand.spec;
        let mut best: Option<(f64, Offer)> = None;
        for kind in self.types.values() {
            let fits = Amounts::of_type(kind).fits(spec);
            if fits == 0 {
                continue;
            }
            for zone in kind
                .zones
                .iter()
                .filter(|zone| !self.cut_off.contains(*zone))
                .filter(|zone| only.is_none_or(|only| *only == **zone))
            {
                for spot in [false, true] {
                    let price = if spot {
                        kind.spot_price
                    } else {
                        Some(kind.price)
                    };
                    let Some(price) = price.filter(|p| *p > 0.0) else {
                        continue;
                    };
                    if !allowed(spec, &kind.name, zone, spot) {
                        continue;
                    }
                    let key = (kind.name.clone(), zone.clone(), spot);
                    if self.fleet.refuses(&key, now) {
                        continue;
                    }
                    let run = if spec.duration_s > 0.0 {
                        (spec.duration_s * 2.0).max(LEAST_CHARGE.as_secs_f64() * 2.0)
                    } else {
                        LONG_RUN_S
                    };
                    // A machine is paid for while it boots and fetches.
                    let fetch = if kind.fetch_gb_per_s > 0.0 {
                        spec.image_gb / kind.fetch_gb_per_s
                    } else {
                        0.0
                    };
                    let boot = startup(kind).as_secs_f64() + fetch;
                    let mut cost = price * (boot + run) / run / f64::from(fits.min(left));
                    match demand.offers {
                        Offers::Any => {}
                        Offers::SteadyFirst if spot => cost *= 1e3,
                        Offers::SteadyFirst => {}
                        Offers::SpotOnly if spot => {}
                        Offers::SpotOnly => continue,
                    }
                    if let Some(slack) = demand.slack_s {
                        let late = (boot * BOOT_MARGIN - slack).max(0.0);
                        cost *= 1.0 + late / LATE_DOUBLES_S;
                        if late > 0.0 && spec.is_gang() {
                            cost *= LATE_GANG;
                        }
                    }
                    // Equal offers are spread over the zones.
                    let there = crowds.get(&(kind.name.as_str(), zone.as_str()));
                    cost *= 1.0 + there.copied().unwrap_or(0.0) * 1e-4;
                    if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                        let offer = Offer {
                            kind: kind.clone(),
                            zone: zone.clone(),
                            spot,
                            price,
                        };
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
            .filter(|offer| offer.price > 0.0)
    }
}

/// Whether some task of a job has been started.
fn begun(job: &Job) -> bool {
    !job.live().is_empty() || !job.done().is_empty()
}

/// Seconds until work should start of which nobody says when it should start or
/// end.
fn untimed_slack(job: &Job, wall: u64) -> f64 {
    let age = wall.saturating_sub(job.at_ms) as f64 / 1e3;
    let longest = if begun(job) {
        LONGEST_UNTIMED
    } else {
        LONGEST_WAIT
    };
    longest.as_secs_f64() * PATIENCE - age
}

/// Cores that a job's tasks can have of these bins, now or when what runs
/// there without a higher priority has ended.
fn room<'a>(spec: &JobSpec, bins: impl Iterator<Item = &'a Bin>) -> f64 {
    bins.filter(|bin| allowed(spec, &bin.machine_type, &bin.zone, bin.spot))
        .map(|bin| {
            let running: f64 = bin
                .yielding
                .iter()
                .filter(|tasks| tasks.spec.priority <= spec.priority)
                .map(|tasks| tasks.spec.cores * f64::from(tasks.count))
                .sum();
            bin.free.cores.max(0.0) + running
        })
        .sum()
}

/// The batch tasks on a machine, lowest priority first.
fn yielding(machine: &Machine) -> Vec<Yielding> {
    let mut tasks: Vec<Yielding> = machine
        .tally
        .tasks
        .iter()
        .filter(|(spec, _)| spec.kind == JobKind::Batch)
        .map(|(spec, count)| Yielding {
            spec: spec.clone(),
            count: *count,
        })
        .collect();
    tasks.sort_by_key(|tasks| tasks.spec.priority);
    tasks
}

pub(super) fn startup(kind: &MachineType) -> Duration {
    Duration::from_secs_f64(kind.startup_s.clamp(0.0, 1e6))
}
