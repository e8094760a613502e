//! Renting machines for what waits, and giving back what isn't needed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::machines::Amounts;
use super::placement::allowed;
use super::{Action, Job, Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::cloud::{Listed, ListedState, MachineType, Rental};
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// Most machines in one rental request.
const MOST_PER_RENTAL: u32 = 50;
/// Waiting tasks of one job that a plan looks at.
const MOST_FORESEEN: u32 = 5000;
/// Run times are often underestimated by this much.
const ESTIMATE_MARGIN: f64 = 1.3;
/// Share of a good wait that is used before machines are rented for it.
const PATIENCE: f64 = 0.8;
/// Work with less time than this to its latest start isn't kept waiting.
const PATIENT_ENOUGH_S: f64 = 30.0;
/// Machines are often up later than usual by this much.
const BOOT_MARGIN: f64 = 1.2;
/// A machine that comes this much too late is worth half as much.
const LATE_DOUBLES_S: f64 = 30.0;
/// Over how long the room that a priority finds is averaged.
const ROOM_MEMORY: Duration = Duration::from_secs(60);
/// How long work that can wait may still use costly machines after the last
/// time that some of it couldn't.
const PRESSURE: Duration = Duration::from_secs(20);
/// Pause between two plans.
const PLAN_EVERY: Duration = Duration::from_millis(500);
/// How long arrivals are remembered to foresee the next ones.
const ARRIVALS: Duration = Duration::from_secs(120);
/// A machine is charged for this long at least.
const LEAST_CHARGE: Duration = Duration::from_secs(60);
/// A run time to reckon with where none is given.
const LONG_RUN_S: f64 = 600.0;
/// Probes that must go unanswered before a silent machine is given back.
const PROBES_TO_ABANDON: u32 = 2;
/// Names of machines that are gone are kept at least this long.
const REMEMBER_GONE: Duration = Duration::from_secs(900);
/// Pause before a rental or a deletion is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// What became of a rental request.
#[derive(Debug, Clone, PartialEq)]
pub enum RentalOutcome {
    Rented(Vec<String>),
    NoCapacity,
    /// Malformed in the cloud's eyes: not to be repeated.
    Rejected,
    /// It may have been carried out, or may still be.
    Unknown,
}

/// A rental under way.
#[derive(Debug)]
struct Booking {
    rental: Rental,
    retry: Option<Instant>,
}

/// What is known of a class of jobs.
#[derive(Debug)]
struct ClassHistory {
    spec: Arc<JobSpec>,
    arrivals: VecDeque<(Instant, u32)>,
}

impl ClassHistory {
    /// Tasks per second to reckon with. Arrivals are counted in slots, and the
    /// fullest ones left out: a burst that is over says nothing of what comes.
    fn rate(&self, now: Instant) -> f64 {
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
pub struct Fleet {
    bookings: BTreeMap<String, Booking>,
    refused: HashMap<(String, String, bool), Instant>,
    next_booking: u64,
    last_plan: Option<Instant>,
    classes: BTreeMap<String, ClassHistory>,
    /// Cheap room that each priority has found lately, in cores.
    usual_room: BTreeMap<Priority, f64>,
    /// When some job last would have started too late on cheap room alone.
    pressed: Option<Instant>,
}

impl Fleet {
    /// Whether work lately couldn't wait for cheap room alone.
    pub fn under_pressure(&self, now: Instant) -> bool {
        self.pressed
            .is_some_and(|at| now.saturating_duration_since(at) < PRESSURE)
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

/// Room that is there or will be, for the plan.
pub(super) struct Bin {
    pub machine: Option<MachineId>,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub free: Amounts,
    /// Batch tasks on it, lowest priority first.
    yielding: Vec<Yielding>,
    /// Kept for batch work alone, at the full price.
    costly: bool,
    pub used: bool,
    /// Sort: busy machines, idle ones, those that are yet to come.
    pub rank: u8,
}

impl Bin {
    /// Counts what gives way as free, as far as some tasks of a job need it.
    fn make_room(&mut self, spec: &JobSpec, tasks: u32) {
        while self.free.fits(spec) < tasks {
            match self.yielding.first() {
                Some(lowest) if lowest.priority < spec.priority => {
                    let lowest = self.yielding.remove(0);
                    self.free.give(&lowest.spec);
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

/// What runs on a bin and gives way to higher priorities.
struct Yielding {
    priority: Priority,
    spec: Arc<JobSpec>,
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
    pub(super) fn manage_fleet(&mut self, now: Instant) {
        self.retry_cloud(now);
        self.abandon_lost(now);
        if self
            .fleet
            .last_plan
            .is_some_and(|last| now.saturating_duration_since(last) < PLAN_EVERY)
        {
            return;
        }
        self.fleet.last_plan = Some(now);
        self.gone
            .retain(|_, at| now.saturating_duration_since(*at) < REMEMBER_GONE);
        if self.types.is_empty() {
            return;
        }
        self.plan(now);
    }

    fn retry_cloud(&mut self, now: Instant) {
        for booking in self.fleet.bookings.values_mut() {
            if booking.retry.is_some_and(|at| at <= now) {
                booking.retry = None;
                self.out.push(Action::Rent(booking.rental.clone()));
            }
        }
        for machine in self.machines.values_mut() {
            if machine.deletion_since.is_some_and(|at| at <= now) {
                machine.deletion_since = None;
                self.out.push(Action::Delete(vec![machine.id.clone()]));
            }
        }
    }

    /// Gives back machines that are silent, so that their tasks can move.
    fn abandon_lost(&mut self, now: Instant) {
        let since = |m: &Machine| {
            now.saturating_duration_since(m.heard.unwrap_or(self.acquired).max(self.acquired))
        };
        let expected: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.should_report())
            .collect();
        let silent = expected
            .iter()
            .filter(|m| since(m) >= self.policy.suspect)
            .count();
        // When much is silent at once, the trouble is more likely ours.
        let many = silent > 1 && silent * 3 > expected.len();
        let soon = self.policy.report.mul_f64(1.4);
        let lost: Vec<(MachineId, &str)> = expected
            .iter()
            .filter_map(|m| {
                let silence = since(m);
                let taken = m.vanished || m.notice.is_some_and(|at| at <= now);
                if taken && silence >= soon {
                    Some((m.id.clone(), "the cloud has taken it"))
                } else if silence >= self.policy.abandon
                    && m.unanswered >= PROBES_TO_ABANDON
                    && !many
                {
                    Some((m.id.clone(), "its worker is silent"))
                } else if now > m.lease_over
                    && silence >= self.policy.worker_lease * if many { 4 } else { 1 }
                {
                    Some((m.id.clone(), "its worker's lease is over"))
                } else {
                    None
                }
            })
            .collect();
        for (id, why) in lost {
            self.begin_deletion(&id, now, why);
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
        self.record_return(id);
    }

    /// The cloud answered (or didn't) a deletion.
    pub fn deletion_answered(&mut self, ids: &[MachineId], done: bool, now: Instant) {
        for id in ids {
            if done {
                // The machine and everything on it are gone.
                self.empty_machine(id, now);
                if self.machines.remove(id).is_some() {
                    self.record_gone(id);
                }
                self.gone.insert(id.clone(), now);
            } else if let Some(machine) = self.machines.get_mut(id) {
                machine.deletion_since = Some(now + RETRY);
            }
        }
        self.restless = true;
    }

    /// The cloud answered (or didn't) a rental.
    pub fn rental_answered(&mut self, request: &str, outcome: RentalOutcome, now: Instant) {
        let Some(booking) = self.fleet.bookings.get_mut(request) else {
            return;
        };
        let rental = booking.rental.clone();
        let key = (
            rental.machine_type.clone(),
            rental.zone.clone(),
            rental.spot,
        );
        match outcome {
            RentalOutcome::Unknown => {
                booking.retry = Some(now + RETRY);
                return;
            }
            RentalOutcome::Rented(names) => {
                if (names.len() as u32) < rental.count {
                    self.fleet.refused.insert(key, now + self.policy.refused);
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
                self.fleet.refused.insert(key, now + self.policy.refused);
            }
        }
        self.fleet.bookings.remove(request);
        self.record_answer(request);
        self.restless = true;
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
        if self.gone.contains_key(&id) || self.machines.contains_key(&id) {
            return;
        }
        let mut machine = Machine::new(id.clone(), rented, rented);
        machine.machine_type = machine_type.to_owned();
        machine.zone = zone.to_owned();
        machine.spot = spot;
        self.machines.insert(id, machine);
    }

    /// A rental that an earlier owner recorded and perhaps requested.
    pub(super) fn resume_booking(&mut self, rental: Rental, _now: Instant) {
        self.out.push(Action::Rent(rental.clone()));
        self.fleet.bookings.insert(
            rental.request.clone(),
            Booking {
                rental,
                retry: None,
            },
        );
    }

    /// The whole machine list, as old as it may be.
    pub fn listed(&mut self, list: &[Listed], now: Instant) {
        let mut failed = Vec::new();
        for entry in list {
            if entry.state == ListedState::Failed && !self.gone.contains_key(entry.id.as_str()) {
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
            if let Some(machine) = self.machines.get_mut(entry.id.as_str()) {
                machine.listed = true;
                machine.vanished = false;
                machine.rented = machine.rented.min(rented);
                if machine.addr.is_empty() {
                    machine.addr.clone_from(&entry.addr);
                }
            }
        }
        let present: std::collections::HashSet<&str> =
            list.iter().map(|entry| entry.id.as_str()).collect();
        for machine in self.machines.values_mut() {
            // A list may be older than the one before: this alone proves
            // nothing, but a machine that is silent as well is best deleted.
            machine.vanished = !present.contains(&*machine.id)
                && (machine.listed || machine.heard.is_some() || machine.admitted);
        }
        for id in failed {
            self.begin_deletion(&id, now, "the cloud lists it as failed");
        }
        self.restless = true;
    }

    /// Compares the room that is wanted with the room there is.
    fn plan(&mut self, now: Instant) {
        let mut bins = self.bins(now);
        self.note_room(&bins);
        let demands = self.demands(&bins, now);
        let pressed = self.fleet.under_pressure(now);
        let mut wanted: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
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
            let mut per_zone: HashMap<String, u32> = HashMap::new();
            for bin in &mut bins {
                if left == 0 {
                    break;
                }
                let too_costly = bin.costly && !pressed && demand.offers == Offers::SpotOnly;
                if too_costly || !allowed(&demand.spec, &bin.machine_type, &bin.zone, bin.spot) {
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
                let Some(offer) = self.best_offer(&demand, left + companions, now) else {
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
                    machine_type: offer.kind.name.clone(),
                    zone: offer.zone.clone(),
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
        if !growing {
            self.consolidate(&bins, now);
        } else if self.stop_draining() {
            // There was room after all: plan again with it.
            return;
        }
        for ((machine_type, zone, spot), count) in wanted {
            self.book(machine_type, zone, spot, count.min(MOST_PER_RENTAL));
        }
        self.give_back(&bins, now);
    }

    fn book(&mut self, machine_type: String, zone: String, spot: bool, count: u32) {
        let same = |b: &Booking| {
            b.rental.machine_type == machine_type && b.rental.zone == zone && b.rental.spot == spot
        };
        // One request for a kind at a time: its answer tells of the capacity.
        if self.fleet.bookings.values().any(same) {
            return;
        }
        self.fleet.next_booking += 1;
        let rental = Rental {
            request: format!(
                "{}-{}-{}",
                self.policy.label, self.term, self.fleet.next_booking
            ),
            machine_type,
            zone,
            spot,
            count,
        };
        self.record_booking(&rental);
        self.fleet.bookings.insert(
            rental.request.clone(),
            Booking {
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
        !machine.spot
            && !paid
            && !self.policy.holds_capacity()
            && !super::drain::hosts_services(machine)
    }

    fn bins(&self, now: Instant) -> Vec<Bin> {
        let mut bins = Vec::new();
        for machine in self.machines.values() {
            let Some(kind) = self.types.get(&machine.machine_type) else {
                continue;
            };
            let doomed = machine.deleting
                || machine.condemned
                || machine.notice.is_some()
                || machine.vanished;
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
                rank: match (coming, machine.busy()) {
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
                        machine_type: rental.machine_type.clone(),
                        zone: rental.zone.clone(),
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
        let mut pressed = false;
        let wall = super::placement::wall_ms();
        let mut usage = self.usage();
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
                usage.add(&job.spec);
                count += 1;
            }
            if job.spec.kind == JobKind::Batch {
                queued += f64::from(count) * job.spec.cores * job.spec.duration_s;
            }
            let cheap = self.usual_room(&job.spec, bins.iter().filter(|bin| !bin.costly));
            pressed |= self.urgent(job, count, queued, cheap, wall) > 0;
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
        self.guaranteed(&mut demands);
        if pressed {
            self.fleet.pressed = Some(now);
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
        let Some(slack) = self.slack(job, run, wall) else {
            return waiting;
        };
        if room < spec.cores {
            // Nothing to wait for yet: ask for spot machines, and for others
            // when time runs short.
            let patient = slack > run * 0.5 && slack > PATIENT_ENOUGH_S;
            return if patient { 0 } else { waiting };
        }
        let last_start = ((queued - room * run) / room).max(0.0);
        if last_start <= slack {
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
        let age = wall.saturating_sub(job.at_ms) as f64 / 1e3;
        let class = &job.spec.class;
        let start = self
            .policy
            .wait_within
            .get(class)
            .map(|within| within.as_secs_f64() * PATIENCE - age);
        let finish = self
            .policy
            .finish_within
            .get(class)
            .map(|within| within.as_secs_f64() * PATIENCE - age - run);
        let deadline = job
            .spec
            .deadline_s
            .map(|deadline| deadline - age - run - self.quickest().as_secs_f64());
        [start, finish, deadline]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// The shortest usual time until a new machine is up.
    fn quickest(&self) -> Duration {
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
                .map(|job| job.live.len())
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
    fn guaranteed(&self, demands: &mut Vec<Demand>) {
        let usage = self.usage();
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

    fn best_offer(&self, demand: &Demand, left: u32, now: Instant) -> Option<Offer> {
        let spec = &demand.spec;
        let mut best: Option<(f64, Offer)> = None;
        for kind in self.types.values() {
            let fits = Amounts::of_type(kind).fits(spec);
            if fits == 0 {
                continue;
            }
            for zone in &kind.zones {
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
                    if self
                        .fleet
                        .refused
                        .get(&key)
                        .is_some_and(|until| *until > now)
                    {
                        continue;
                    }
                    let run = if spec.duration_s > 0.0 {
                        (spec.duration_s * 2.0).max(LEAST_CHARGE.as_secs_f64() * 2.0)
                    } else {
                        LONG_RUN_S
                    };
                    let boot = startup(kind).as_secs_f64();
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
                    }
                    // Equal offers are spread over the zones.
                    let crowd = self
                        .machines
                        .values()
                        .filter(|m| m.zone == *zone && m.machine_type == kind.name)
                        .count() as f64;
                    cost *= 1.0 + crowd * 1e-4;
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

    /// Gives back what is empty and in no plan, and what never came up.
    fn give_back(&mut self, bins: &[Bin], now: Instant) {
        let spare: std::collections::HashSet<&MachineId> = bins
            .iter()
            .filter(|bin| !bin.used)
            .filter_map(|bin| bin.machine.as_ref())
            .collect();
        let mut back: Vec<(MachineId, &str)> = Vec::new();
        for machine in self.machines.values().filter(|m| !m.deleting) {
            let age = now.saturating_duration_since(machine.rented);
            if machine.heard.is_none() && !machine.admitted {
                let patience = match self.types.get(&machine.machine_type) {
                    Some(kind) => startup(kind).mul_f64(4.0) + Duration::from_secs(30),
                    None => Duration::from_secs(300),
                };
                if age > patience {
                    back.push((machine.id.clone(), "it never came up"));
                }
                continue;
            }
            if machine
                .attempts
                .values()
                .any(|a| !a.ended() || !a.clearable)
            {
                continue;
            }
            let idle = machine
                .idle_since
                .is_some_and(|since| now.saturating_duration_since(since) >= self.policy.idle);
            if machine.condemned || machine.draining || machine.notice.is_some() {
                back.push((machine.id.clone(), "it is empty and gets no more tasks"));
            } else if idle
                && spare.contains(&machine.id)
                && age + Duration::from_secs(5) > LEAST_CHARGE
            {
                back.push((machine.id.clone(), "it is not needed"));
            }
        }
        for (id, why) in back {
            self.begin_deletion(&id, now, why);
        }
    }
}

/// Cores that a job's tasks can have of these bins, now or when what runs
/// there without a higher priority has ended.
fn room<'a>(spec: &JobSpec, bins: impl Iterator<Item = &'a Bin>) -> f64 {
    bins.filter(|bin| allowed(spec, &bin.machine_type, &bin.zone, bin.spot))
        .map(|bin| {
            let running: f64 = bin
                .yielding
                .iter()
                .filter(|task| task.priority <= spec.priority)
                .map(|task| task.spec.cores)
                .sum();
            bin.free.cores.max(0.0) + running
        })
        .sum()
}

/// The batch tasks on a machine, lowest priority first.
fn yielding(machine: &Machine) -> Vec<Yielding> {
    let mut tasks: Vec<Yielding> = machine
        .attempts
        .values()
        .filter(|attempt| !attempt.ended() && attempt.stop.is_none())
        .filter_map(|attempt| attempt.spec.clone())
        .filter(|spec| spec.kind == JobKind::Batch)
        .map(|spec| Yielding {
            priority: spec.priority,
            spec,
        })
        .collect();
    tasks.sort_by_key(|task| task.priority);
    tasks
}

fn startup(kind: &MachineType) -> Duration {
    Duration::from_secs_f64(kind.startup_s.clamp(0.0, 1e6))
}
