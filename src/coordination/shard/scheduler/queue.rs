//! The order of waiting work: by priority, then teams by fair share, then jobs by due time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::quota::Usage;
use super::view::SchedulerView;
use crate::coordination::shard::{Job, Policy};
use crate::protocol::JobId;
use crate::protocol::users::Priority;

/// The share of its estimated run time that a job may need at the least: users often
/// overestimate by this much.
const SHORTEST_RUN_SHARE: f64 = 0.5;

/// A job's place among those of its priority; the least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination::shard) struct QueueKey {
    /// It can meet none of its due times any more.
    too_late: bool,
    /// The next due time that it can meet, in milliseconds of wall-clock time.
    due_ms: u64,
    accepted_ms: u64,
}

impl QueueKey {
    /// The key of a job at a wall-clock time in milliseconds. Jobs go by the next due
    /// time that they can still meet; those that can meet none come last.
    pub(super) fn of(job: &Job, policy: &Policy, wall_ms: u64) -> Self {
        if let Some(start_ms) = gang_start_due(job, policy).filter(|start| *start > wall_ms) {
            return Self::new(false, start_ms, job);
        }
        let run = Duration::from_secs_f64(job.spec.duration_s * SHORTEST_RUN_SHARE);
        match next_due(job, policy, wall_ms + run.as_millis() as u64) {
            Some(due_ms) => Self::new(false, due_ms, job),
            None => Self::new(job.due_ms() < wall_ms, job.due_ms(), job),
        }
    }

    fn new(too_late: bool, due_ms: u64, job: &Job) -> Self {
        Self {
            too_late,
            due_ms,
            accepted_ms: job.at_ms,
        }
    }
}

/// When a gang should have started. A gang that starts late is late with all its tasks,
/// so its start counts before its end.
fn gang_start_due(job: &Job, policy: &Policy) -> Option<u64> {
    let wait = policy.wait_within.get(&job.spec.class);
    wait.filter(|_| job.spec.is_gang())
        .map(|wait| job.at_ms.saturating_add(wait.as_millis() as u64))
}

/// The first due time of a job at or after `from_ms`: its deadline, the multiples of it
/// and the time since acceptance that the service-level objectives of its class name.
pub(super) fn next_due(job: &Job, policy: &Policy, from_ms: u64) -> Option<u64> {
    let class = &job.spec.class;
    let after = |s: f64| job.at_ms.saturating_add((s * 1e3) as u64);
    let stated = policy.deadline_times.get(class);
    let multiples = stated.map_or(&[1.0][..], Vec::as_slice);
    let deadlines = job
        .spec
        .deadline_s
        .into_iter()
        .flat_map(|s| multiples.iter().map(move |multiple| s * multiple));
    let finish = policy.finish_within.get(class).map(Duration::as_secs_f64);
    deadlines
        .chain(finish)
        .map(after)
        .filter(|due_ms| *due_ms >= from_ms)
        .min()
}

/// The waiting jobs of one priority, by team.
pub(super) type JobsByTeam = HashMap<String, Vec<JobId>>;

/// The waiting jobs of one priority: a queue for each team.
pub(super) struct TeamQueues(HashMap<String, VecDeque<JobId>>);

impl TeamQueues {
    /// Sorts each team's jobs by their queue keys.
    pub(super) fn new(teams: JobsByTeam, view: SchedulerView, wall_ms: u64) -> Self {
        let queue = |(team, mut jobs): (String, Vec<JobId>)| {
            view.sort_by_queue_key(&mut jobs, wall_ms);
            (team, jobs.into())
        };
        Self(teams.into_iter().map(queue).collect())
    }

    /// The team that is served next under fair sharing, and its first job.
    pub(super) fn next(&self, usage: &Usage, view: SchedulerView) -> Option<(String, JobId)> {
        self.0
            .iter()
            .filter_map(|(team, queue)| {
                let id = queue.front()?;
                let spec = &view.jobs.get(id)?.spec;
                Some((usage.fair_share_rank(view.policy, spec), team, id))
            })
            .min_by(|(rank, team, _), (other_rank, other_team, _)| {
                rank.compare(other_rank).then(team.cmp(other_team))
            })
            .map(|(_, team, id)| (team.clone(), id.clone()))
    }

    /// Takes a team's first job out of its queue.
    pub(super) fn pop(&mut self, team: &str) {
        if let Some(queue) = self.0.get_mut(team) {
            queue.pop_front();
        }
    }
}

impl SchedulerView<'_> {
    /// The jobs with tasks that may be placed now, by falling priority and team.
    pub(super) fn waiting_by_priority(
        &self,
        now: Instant,
    ) -> BTreeMap<Reverse<Priority>, JobsByTeam> {
        let mut levels: BTreeMap<Reverse<Priority>, JobsByTeam> = BTreeMap::new();
        for job in self.jobs.values() {
            if self.placeable_tasks(job) > 0 && job.not_before.is_none_or(|at| at <= now) {
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

    pub(super) fn sort_by_queue_key(&self, jobs: &mut [JobId], wall_ms: u64) {
        jobs.sort_by_cached_key(|id| {
            let job = self.jobs.get(id);
            job.map(|job| QueueKey::of(job, self.policy, wall_ms))
        });
    }
}
