//! The order in which waiting jobs are served: by priority, then by the fair share of their teams,
//! then by due time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::quota::Usage;
use super::view::SchedulerView;
use crate::coordination::shard::{Job, Policy};
use crate::protocol::JobId;
use crate::protocol::users::Priority;

/// A job is expected to need at least this share of its estimated run time, since users often
/// overestimate by this much. A due time that leaves less time counts as missed.
const MIN_RUN_TIME_SHARE: f64 = 0.5;

/// A job's position in the queue among the jobs of its priority; the smallest key is served
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination::shard) struct QueueKey {
    /// Whether the job can't meet any of its due times any more, and its deadline has passed.
    is_too_late: bool,
    /// The next due time that it can meet, or else its deadline, in milliseconds since the Unix
    /// epoch.
    due_ms: u64,
    /// When it was accepted, in milliseconds since the Unix epoch.
    accepted_at_ms: u64,
}

impl QueueKey {
    /// The key of a job at the wall-clock time `wall_ms`, in milliseconds since the Unix epoch.
    /// Jobs are ordered by the next due time that they can still meet, or by their deadline if they
    /// can meet none; those whose deadline has passed as well come last.
    pub(super) fn for_job(job: &Job, policy: &Policy, wall_ms: u64) -> Self {
        if let Some(start_ms) = gang_start_due(job, policy).filter(|start| *start > wall_ms) {
            return Self::new(false, start_ms, job);
        }
        let min_run_time = Duration::from_secs_f64(job.spec.duration_s * MIN_RUN_TIME_SHARE);
        match next_due(job, policy, wall_ms + min_run_time.as_millis() as u64) {
            Some(due_ms) => Self::new(false, due_ms, job),
            None => Self::new(job.deadline_ms() < wall_ms, job.deadline_ms(), job),
        }
    }

    fn new(is_too_late: bool, due_ms: u64, job: &Job) -> Self {
        Self {
            is_too_late,
            due_ms,
            accepted_at_ms: job.accepted_at_ms,
        }
    }
}

/// The latest time at which a gang meets its start objective, in milliseconds since the Unix
/// epoch; `None` without such an objective, or if the job is no gang. A gang that starts late is
/// late with all its tasks, so until that time has passed, it counts instead of the due times for
/// the gang's end.
fn gang_start_due(job: &Job, policy: &Policy) -> Option<u64> {
    let wait = policy.start_objectives.get(&job.spec.class);
    wait.filter(|_| job.spec.is_gang())
        .map(|wait| job.accepted_at_ms.saturating_add(wait.as_millis() as u64))
}

/// The first due time of a job at or after `from_ms`, in milliseconds since the Unix epoch. Due
/// times are the multiples of its deadline that the service-level objectives of its class name,
/// or the deadline itself if they name none, and the class's objective for the time from
/// acceptance to the end.
pub(super) fn next_due(job: &Job, policy: &Policy, from_ms: u64) -> Option<u64> {
    let class = &job.spec.class;
    let after_acceptance = |s: f64| job.accepted_at_ms.saturating_add((s * 1e3) as u64);
    let class_multiples = policy.deadline_multiples.get(class);
    let multiples = class_multiples.map_or(&[1.0][..], Vec::as_slice);
    let deadlines = job
        .spec
        .deadline_s
        .into_iter()
        .flat_map(|s| multiples.iter().map(move |multiple| s * multiple));
    let finish_objective = policy
        .finish_objectives
        .get(class)
        .map(Duration::as_secs_f64);
    deadlines
        .chain(finish_objective)
        .map(after_acceptance)
        .filter(|due_ms| *due_ms >= from_ms)
        .min()
}

/// The waiting jobs of one priority by team, not sorted.
pub(super) type JobsByTeam = HashMap<String, Vec<JobId>>;

/// The waiting jobs of one priority, as one sorted queue for each team.
pub(super) struct TeamQueues(HashMap<String, VecDeque<JobId>>);

impl TeamQueues {
    /// Creates the queues, with each team's jobs sorted by their queue keys.
    pub(super) fn new(teams: JobsByTeam, view: SchedulerView, wall_ms: u64) -> Self {
        let queue = |(team, mut jobs): (String, Vec<JobId>)| {
            view.sort_by_queue_key(&mut jobs, wall_ms);
            (team, jobs.into())
        };
        Self(teams.into_iter().map(queue).collect())
    }

    /// The team that fair sharing serves next, and the first job of its queue.
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

    /// Removes the first job of a team's queue.
    pub(super) fn pop(&mut self, team: &str) {
        if let Some(queue) = self.0.get_mut(team) {
            queue.pop_front();
        }
    }
}

impl SchedulerView<'_> {
    /// The jobs with tasks that may be placed now, by priority (the highest first) and team.
    pub(super) fn waiting_by_priority(
        &self,
        now: Instant,
    ) -> BTreeMap<Reverse<Priority>, JobsByTeam> {
        let mut by_priority: BTreeMap<Reverse<Priority>, JobsByTeam> = BTreeMap::new();
        for job in self.jobs.values() {
            if self.placeable_tasks(job) > 0 && job.not_before.is_none_or(|at| at <= now) {
                by_priority
                    .entry(Reverse(job.spec.priority))
                    .or_default()
                    .entry(job.spec.team.clone())
                    .or_default()
                    .push(job.id.clone());
            }
        }
        by_priority
    }

    /// Sorts jobs by their queue keys at the wall-clock time `wall_ms`.
    pub(super) fn sort_by_queue_key(&self, jobs: &mut [JobId], wall_ms: u64) {
        jobs.sort_by_cached_key(|id| {
            let job = self.jobs.get(id);
            job.map(|job| QueueKey::for_job(job, self.policy, wall_ms))
        });
    }
}
