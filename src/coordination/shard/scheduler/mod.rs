//! Which waiting task goes where.

mod candidates;
mod gang;
mod placement;
mod preemption;
mod queue;
mod quota;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

pub(super) use candidates::allowed;
pub use gang::GangAttempt;
pub(super) use quota::Usage;

use candidates::Pass;

use super::machines::Amounts;
use super::{Attempt, Job, Phase, Shard};
use crate::protocol::users::Priority;
use crate::protocol::{AttemptId, JobId, MachineId, TaskId};

/// Tasks of one job placed before its team's turn ends.
const BLOCK: usize = 4;
/// How long a job waits without a start until it gets one before others: the
/// users call more than four minutes not served.
const STARVING: Duration = Duration::from_secs(150);
/// Waiting gangs for which room is gathered in one pass.
const MOST_GATHERING: usize = 16;
/// Machines held at once for jobs that have waited for that long.
const MOST_HELD: usize = 16;
/// Tasks placed in one pass.
const MOST_PLACED: usize = 256;

/// The waiting jobs of each team.
type JobsByTeam = HashMap<String, Vec<JobId>>;

/// What a pass has done so far.
#[derive(Default)]
struct PassTally {
    placed: usize,
    /// Gangs for which room has been gathered.
    gathering: usize,
    /// Jobs that found too little room.
    stuck: Vec<JobId>,
}

impl Shard {
    /// Whether a job's waiting tasks are surely nowhere.
    pub(super) fn placement_known(&self, job: &Job) -> bool {
        // Jobs accepted after our fencing token began were never an earlier leader's.
        self.unreconciled.is_empty() || job.mod_revision > self.fencing_token.revision()
    }

    /// How many of a job's waiting tasks may be started. While machines are
    /// unaccounted for, those that were on machines we knew of: no earlier leader
    /// can have started them elsewhere.
    pub(super) fn placeable(&self, job: &Job) -> u32 {
        self.startable(job).min(job.tries_left())
    }

    fn startable(&self, job: &Job) -> u32 {
        if self.placement_known(job) {
            job.waiting()
        } else if job.spec.one_zone && job.unreconciled_tasks() > 0 {
            // Nobody knows which zone the others are in.
            0
        } else {
            job.known_unplaced()
        }
    }

    /// Places what waits, by priority, then team by team in turn.
    pub(super) fn place(&mut self, now: Instant) {
        if self.writes.stale(now, self.policy.staleness) {
            return;
        }
        let levels = self.waiting_by_priority(now);
        if levels.is_empty() {
            return;
        }
        self.machines.refresh();
        let mut pass = Pass {
            slots: self.open_slots(now),
            usage: self.usage(),
            images: HashMap::new(),
        };
        let wall = self.wall_ms(now);
        self.begin_starving(&mut pass, wall, now);
        let mut tally = PassTally::default();
        for teams in levels.into_values() {
            let queues = self.queues(teams, wall);
            self.place_level(queues, &mut pass, &mut tally, now);
            if tally.placed >= MOST_PLACED {
                // Heartbeats and renewals come first; the next pass goes on.
                self.needs_pass = true;
                return;
            }
        }
        self.preempt(&tally.stuck, &pass, now);
    }

    /// The jobs that may be placed now, by priority and team.
    fn waiting_by_priority(&self, now: Instant) -> BTreeMap<Reverse<Priority>, JobsByTeam> {
        let mut levels: BTreeMap<Reverse<Priority>, JobsByTeam> = BTreeMap::new();
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
        levels
    }

    /// A queue for each team, in the order in which its jobs go.
    fn queues(&self, teams: JobsByTeam, wall: u64) -> HashMap<String, VecDeque<JobId>> {
        let queue = |(team, mut ids): (String, Vec<JobId>)| {
            ids.sort_by_cached_key(|id| self.jobs.get(id).map(|job| self.queue_key(job, wall)));
            (team, ids.into())
        };
        teams.into_iter().map(queue).collect()
    }

    /// Places the jobs of one priority, a block at a time, until none finds room or the
    /// pass has placed enough.
    fn place_level(
        &mut self,
        mut queues: HashMap<String, VecDeque<JobId>>,
        pass: &mut Pass,
        tally: &mut PassTally,
        now: Instant,
    ) {
        while let Some(team) = self.next_team(&queues, &pass.usage)
            && let Some(queue) = queues.get_mut(&team)
        {
            let Some(id) = queue.front().cloned() else {
                queues.remove(&team);
                continue;
            };
            let placed = self.place_block(&id, pass, tally, now);
            tally.placed += placed;
            if tally.placed >= MOST_PLACED {
                return;
            }
            let left = self.jobs.get(&id).map_or(0, |job| self.placeable(job));
            if placed == 0 || left == 0 {
                queue.pop_front();
                // Nothing gives way to a job that fails everywhere.
                let is_suspect = self.jobs.get(&id).is_some_and(Job::is_suspect);
                if left > 0 && !is_suspect {
                    tally.stuck.push(id);
                }
            }
        }
    }

    /// Places some tasks of a job, or all of a gang; returns how many.
    fn place_block(
        &mut self,
        id: &JobId,
        pass: &mut Pass,
        tally: &mut PassTally,
        now: Instant,
    ) -> usize {
        if !self.jobs.get(id).is_some_and(|job| job.spec.is_gang()) {
            return self.place_some(id, BLOCK, pass, now);
        }
        let placed = self.place_gang(id, pass, now);
        if placed == 0 && tally.gathering < MOST_GATHERING {
            tally.gathering += 1;
            self.gather_for_gang(id, pass, now);
        }
        placed
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
                    && !job.is_suspect()
                    && job.waiting() > 0
                    && job.live().is_empty()
                    && job.done().is_empty()
                    && job.not_before.is_none_or(|at| at <= now)
                    && self.placement_known(job)
            })
            .map(|job| job.id.clone())
            .collect();
        starving.sort_by_cached_key(|id| self.jobs.get(id).map(|job| self.queue_key(job, wall)));
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

    /// Places some of a job's tasks; returns how many.
    fn place_some(&mut self, id: &JobId, most: usize, pass: &mut Pass, now: Instant) -> usize {
        let mut placed = 0;
        while placed < most {
            let Some(job) = self.jobs.get(id) else {
                break;
            };
            let spec = job.spec.clone();
            if self.placeable(job) == 0 || !self.within_quota_limit(&pass.usage, &spec) {
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

    fn launch(&mut self, id: &JobId, index: u32, machine_id: &MachineId, now: Instant) {
        let attempt_number = self.new_attempt_number();
        self.launch_as(id, index, machine_id, attempt_number, now);
    }

    pub(super) fn launch_as(
        &mut self,
        id: &JobId,
        index: u32,
        machine_id: &MachineId,
        attempt_number: u64,
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
        tracing::debug!(%task, attempt_number, machine = %machine_id, "launch");
        machine.attempts.insert(
            AttemptId {
                task,
                number: attempt_number,
            },
            Attempt::new(Some(job.spec.clone()), Phase::Launching, now),
        );
        self.writes.progress_changed(now);
    }
}
