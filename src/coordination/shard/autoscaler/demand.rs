//! What room is wanted: for what waits, what is likely to come, and what is guaranteed.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::arrivals::ClassHistory;
use super::capacity::{Capacity, cores_for};
use crate::coordination::shard::scheduler::Usage;
use crate::coordination::shard::{Job, Shard};
use crate::protocol::JobId;
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

/// The same for best-effort work, which fills what is there and pays for nothing dearer.
const LONGEST_BEST_EFFORT: Duration = Duration::from_secs(3600);

/// Work with less time than this to its latest start isn't kept waiting.
const PATIENT_ENOUGH_S: f64 = 30.0;

/// A job with less of its run time left than this share can't wait for spot machines.
const PATIENT_RUN_SHARE: f64 = 0.5;

/// Jobs are foreseen for so many times the quickest boot, and some seconds more.
const FORESEEN_BOOTS: f64 = 1.5;
const FORESEEN_MARGIN_S: f64 = 10.0;

/// Most tasks of a class that are foreseen, and most for a guarantee.
const MOST_FORESEEN_OF_CLASS: f64 = 1000.0;
const MOST_GUARANTEED: f64 = 1e5;

/// A wish for room.
pub(super) struct Demand {
    pub spec: Arc<JobSpec>,
    pub count: u32,
    /// One job's tasks, which may have to be apart; else room for many jobs.
    pub job: Option<JobId>,
    pub filter: OfferFilter,
    /// Seconds until it should start; an offer that takes longer loses worth.
    pub slack_s: Option<f64>,
}

/// Which offers a demand is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OfferFilter {
    /// The cheapest.
    Any,
    /// Ordinary machines if there are any: they are not taken back.
    OrdinaryFirst,
    /// Only spot machines: the work can wait for room.
    SpotOnly,
}

/// Work that is queued, most urgent first, as it is counted.
struct Queue {
    usage: Usage,
    /// Core-seconds of batch work so far.
    core_seconds: f64,
}

impl Shard {
    /// What waits, what is likely to come, and what is guaranteed.
    pub(super) fn demands(&mut self, capacities: &[Capacity], now: Instant) -> Vec<Demand> {
        let mut demands = Vec::new();
        let mut pressed = Vec::new();
        let wall = self.wall_ms(now);
        let used = self.usage();
        let mut queue = Queue {
            usage: used.clone(),
            core_seconds: 0.0,
        };
        for job in self.waiting_jobs(wall) {
            let Some(count) = self.enqueue(job, &mut queue) else {
                continue;
            };
            let cheap = self.cheap_cores(job, capacities);
            let costly = self.cores_in_reach(job, capacities, true);
            if self.urgent(job, count, queue.core_seconds, cheap, wall) > 0 {
                pressed.push(job.id.clone());
            }
            let urgent = self.urgent(job, count, queue.core_seconds, cheap + costly, wall);
            let patient = count - urgent;
            for (count, filter) in [(urgent, OfferFilter::Any), (patient, OfferFilter::SpotOnly)] {
                if count > 0 {
                    demands.push(Demand {
                        spec: job.spec.clone(),
                        count,
                        job: Some(job.id.clone()),
                        filter,
                        slack_s: self.start_slack(job, wall),
                    });
                }
            }
        }
        demands.extend(self.foreseen(now));
        self.note_work(now);
        demands.extend(self.guaranteed(&used, now));
        self.note_pressed(&pressed);
        demands
    }

    /// The jobs that tasks wait of, in the order in which they get room.
    fn waiting_jobs(&self, wall: u64) -> Vec<&Job> {
        let waits = |job: &&Job| {
            let gives_up = job.spec.is_gang() && job.is_crash_looping();
            job.waiting().min(job.retry_budget()) > 0 && !gives_up
        };
        let mut jobs: Vec<&Job> = self.jobs.values().filter(waits).collect();
        jobs.sort_by_cached_key(|job| (Reverse(job.spec.priority), self.queue_key(job, wall)));
        jobs
    }

    /// Counts a job's waiting tasks as far as its team's limit lets them run; None for
    /// a gang that would run in part.
    fn enqueue(&self, job: &Job, queue: &mut Queue) -> Option<u32> {
        let waiting = job.waiting().min(job.retry_budget()).min(MOST_FORESEEN);
        let mut count = 0;
        while count < waiting && self.within_quota_limit(&queue.usage, &job.spec) {
            queue.usage.add(&job.spec, 1);
            count += 1;
        }
        if job.spec.is_gang() && count < waiting {
            return None;
        }
        if job.spec.kind == JobKind::Batch {
            queue.core_seconds += f64::from(count) * job.spec.cores * job.spec.duration_s;
        }
        Some(count)
    }

    /// The cheap cores that a job finds: as it is now, or as it was lately on average
    /// for its priority if that is more. Bursts of work that goes first come and go.
    fn cheap_cores(&self, job: &Job, capacities: &[Capacity]) -> f64 {
        let now = self.cores_in_reach(job, capacities, false);
        if job.spec.one_zone {
            // The average is that of all zones.
            return now;
        }
        now.max(self.autoscaler.average_reachable_cores(job.spec.priority))
    }

    /// The cores, costly ones or others, that a job's tasks can have: if it is bound to
    /// one zone, in the one where it has begun, or in the one with most.
    fn cores_in_reach(&self, job: &Job, capacities: &[Capacity], costly: bool) -> f64 {
        let wanted = capacities.iter().filter(|at| at.costly == costly);
        if !job.spec.one_zone {
            return cores_for(&job.spec, wanted);
        }
        let in_zone = |zone: &Arc<str>| {
            let there = wanted.clone().filter(|at| at.zone == *zone);
            cores_for(&job.spec, there)
        };
        match self.begun_zone(&job.id) {
            Some(zone) => in_zone(&zone),
            None => {
                let zones: BTreeSet<&Arc<str>> = wanted.clone().map(|at| &at.zone).collect();
                zones.into_iter().map(in_zone).fold(0.0, f64::max)
            }
        }
    }

    /// Notes which jobs can't wait for cheap room alone.
    fn note_pressed(&mut self, pressed: &[JobId]) {
        for job in self.jobs.values_mut() {
            job.pressed = false;
        }
        for id in pressed {
            if let Some(job) = self.jobs.get_mut(id) {
                job.pressed = true;
            }
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
            let patient = slack > run * PATIENT_RUN_SHARE && slack > PATIENT_ENOUGH_S;
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
            Some(_) => self.fastest_boot().as_secs_f64(),
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
            Some(left - run - self.fastest_boot().as_secs_f64())
        });
        [start, finish, deadline]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// Room for jobs that can't wait until a machine is up.
    fn foreseen(&self, now: Instant) -> Vec<Demand> {
        let quickest = self.fastest_boot();
        let mut demands = Vec::new();
        for (class, history) in &self.autoscaler.classes {
            let within = self.policy.wait_within.get(class).copied();
            if within.is_none_or(|within| within > quickest) {
                continue;
            }
            let time = quickest.as_secs_f64() * FORESEEN_BOOTS + FORESEEN_MARGIN_S;
            let expected = history.rate(now) * time;
            let running = self
                .jobs
                .values()
                .filter(|job| job.spec.class == *class)
                .map(|job| job.live().len())
                .sum::<usize>() as f64;
            if running == 0.0 && !history.is_recent(now) {
                continue;
            }
            let count = (expected + expected.sqrt()).max(running * self.policy.headroom);
            demands.push(Demand {
                spec: history.spec().clone(),
                count: count.ceil().clamp(1.0, MOST_FORESEEN_OF_CLASS) as u32,
                job: None,
                filter: OfferFilter::Any,
                slack_s: None,
            });
        }
        demands
    }

    /// Notes which teams have unfinished jobs.
    fn note_work(&mut self, now: Instant) {
        let unfinished = self.jobs.values();
        // A job that fails everywhere has no use for more room than a try takes.
        let unfinished =
            unfinished.filter(|job| job.final_stage.is_none() && !job.is_crash_looping());
        let teams: BTreeSet<&str> = unfinished.map(|job| &*job.spec.team).collect();
        for team in teams {
            self.autoscaler.record_work(team, now);
        }
    }

    /// Whether a team has work, or had some lately. A new leader doesn't know of jobs
    /// that ended before it began, and takes that for the time of the last.
    fn has_had_work(&self, team: &str, now: Instant) -> bool {
        let last = self.autoscaler.last_work(team).unwrap_or(self.acquired);
        now.saturating_duration_since(last) <= self.policy.guarantee_hold
    }

    /// Room for what the teams are guaranteed and don't use yet: they needn't
    /// wait for machines either, while they have work or had some lately.
    fn guaranteed(&self, usage: &Usage, now: Instant) -> Vec<Demand> {
        let mut demands = Vec::new();
        let teams = self.policy.teams.iter();
        for (name, team) in teams.filter(|(name, _)| self.has_had_work(name, now)) {
            let unused = team.cores - usage.of(name).cores;
            if unused <= 0.0 {
                continue;
            }
            let Some(spec) = self.typical_of(name) else {
                continue;
            };
            let count = (unused / spec.cores).floor();
            demands.push(Demand {
                count: count.clamp(0.0, MOST_GUARANTEED) as u32,
                spec,
                job: None,
                filter: OfferFilter::OrdinaryFirst,
                slack_s: None,
            });
        }
        demands
    }

    /// The kind of job to keep a team's room for: its own rather than another's, and
    /// an array rather than a service.
    fn typical_of(&self, team: &str) -> Option<Arc<JobSpec>> {
        let classes = self.autoscaler.classes.values();
        let specs = classes.map(ClassHistory::spec);
        let rank = |spec: &&Arc<JobSpec>| {
            let batch = spec.kind == JobKind::Batch;
            (spec.team != *team, Reverse(batch))
        };
        specs
            .filter(|spec| spec.cores > 0.0)
            .min_by_key(rank)
            .cloned()
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
    let longest = match job.spec.priority {
        _ if !begun(job) => LONGEST_WAIT,
        Priority::BestEffort => LONGEST_BEST_EFFORT,
        _ => LONGEST_UNTIMED,
    };
    longest.as_secs_f64() * PATIENCE - age
}
