//! The rules that must hold at every moment: those of PROTOCOL's section "Rules" that a shard
//! can break, and the consistency of its own counters.

use std::fmt::Display;
use std::time::{Duration, Instant};

use super::Simulation;
use super::worker::{Worker, WorkerTask};
use crate::coordination::shard::Job;
use crate::coordination::shard::tests::fixtures::CANCELLATION_BOUND;
use crate::protocol::TaskId;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::TaskState;

/// A task that starts sooner after its job's cancellation had a launch under way
/// or an image to fetch.
const LAUNCH_UNDER_WAY: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rule {
    /// A task runs at most once at any time (`ran_twice`).
    SingleExecution,
    /// Only submitted jobs run.
    SubmittedJobsOnly,
    /// A team's running tasks stay within its quota limit (`quota`).
    QuotaLimit,
    /// Tasks run on the machines and in the zones that their job allows (`wrong_place`).
    AllowedPlacement,
    /// No task runs longer than [`CANCELLATION_BOUND`] after its job's cancellation
    /// (`ran_cancelled`).
    CancellationBound,
    /// A job is done only when all its tasks have completed (`not_done`).
    DoneOnlyWhenCompleted,
    /// The shard's counters equal a full recount.
    ConsistentCounters,
}

/// A rule that was broken, and what broke it.
#[derive(Debug)]
#[expect(dead_code, reason = "printed by the tests that fail")]
pub(crate) struct Violation {
    rule: Rule,
    subject: String,
}

/// A task that runs, or waits for the rest of its gang, and its worker.
struct ActiveTask<'a> {
    task: &'a TaskId,
    worker: &'a Worker,
}

impl Simulation {
    pub(super) fn violate(&mut self, rule: Rule, subject: impl Display) {
        let subject = subject.to_string();
        self.violations.push(Violation { rule, subject });
    }

    fn active_tasks(&self) -> Vec<ActiveTask<'_>> {
        let active =
            |state: &WorkerTask| matches!(state.state, TaskState::Running | TaskState::Waiting);
        let workers = self.workers.values().filter(|worker| !worker.dead);
        workers
            .flat_map(|worker| worker.tasks.iter().map(move |task| (worker, task)))
            .filter(|(_, (_, state))| active(state))
            .map(|(worker, ((task, _), _))| ActiveTask { task, worker })
            .collect()
    }

    /// Checks the rules that a task's start on a machine may break.
    pub(super) fn check_start(&mut self, task: &TaskId, machine: &str) {
        self.counts.task_starts += 1;
        let cancelled_at = self.truth.cancelled_at.get(&*task.job);
        if cancelled_at.is_some_and(|at| self.now - *at > LAUNCH_UNDER_WAY) {
            self.counts.starts_after_cancellation += 1;
        }
        let active = self.active_tasks();
        let mut broken = Vec::new();
        if active.iter().filter(|active| active.task == task).count() > 1 {
            broken.push((Rule::SingleExecution, task.to_string()));
        }
        match self.truth.specs.get(&*task.job) {
            None => broken.push((Rule::SubmittedJobsOnly, task.to_string())),
            Some(spec) => {
                if let Some(excess) = self.quota_excess(spec, &active) {
                    broken.push((Rule::QuotaLimit, format!("{task}: {excess}")));
                }
                if !placement_allowed(task, machine, spec, &active) {
                    broken.push((Rule::AllowedPlacement, task.to_string()));
                }
            }
        }
        for (rule, subject) in broken {
            self.violate(rule, subject);
        }
    }

    /// The cores that the team uses beyond its quota limit, as text.
    fn quota_excess(&self, spec: &JobSpec, active: &[ActiveTask<'_>]) -> Option<String> {
        let limit = self.truth.quota_limits.get(&spec.team).copied()?;
        let used: f64 = active
            .iter()
            .filter_map(|active| self.truth.specs.get(&*active.task.job))
            .filter(|other| other.team == spec.team)
            .map(|other| other.cores)
            .sum();
        (limit > 0.0 && used > limit + 1e-6).then(|| format!("{used} of {limit}"))
    }

    pub(super) fn check_cancellations(&mut self) {
        let too_late = |at: &Instant| self.now - *at > CANCELLATION_BOUND;
        let overdue: Vec<TaskId> = self
            .active_tasks()
            .into_iter()
            .map(|active| active.task)
            .filter(|task| {
                let cancelled_at = self.truth.cancelled_at.get(&*task.job);
                cancelled_at.is_some_and(too_late)
            })
            .cloned()
            .collect();
        for task in overdue {
            self.violate(Rule::CancellationBound, task);
        }
    }

    /// What the shard counts as it changes must equal a full recount.
    pub(super) fn check_counters(&mut self) {
        let Some(shard) = self.leader_shard() else {
            return;
        };
        let loads_hold = shard.machines().loads_hold();
        let miscounted = |job: &&Job| job.waiting() != job.recount_waiting();
        let miscounted = shard.jobs().values().find(miscounted);
        let job = miscounted.map(|job| job.id.to_string());
        if !loads_hold || job.is_some() {
            let subject = format!("loads hold: {loads_hold}, job: {job:?}");
            self.violate(Rule::ConsistentCounters, subject);
        }
    }
}

/// Whether a job allows one of its tasks on this machine, beside its other tasks.
fn placement_allowed(
    task: &TaskId,
    machine: &str,
    spec: &JobSpec,
    active: &[ActiveTask<'_>],
) -> bool {
    let of_job = || active.iter().filter(|active| active.task.job == task.job);
    let mut started = of_job().filter(|active| active.task == task);
    let Some(started) = started.find(|active| active.worker.id == machine) else {
        return true;
    };
    let zone = &started.worker.zone;
    let in_zone = of_job()
        .filter(|active| active.worker.zone == *zone)
        .count();
    let spot_allowed = spec.spot || !started.worker.spot;
    let zone_allowed = spec.zone.as_ref().is_none_or(|only| only == zone);
    let one_zone_kept = !spec.one_zone || in_zone == of_job().count();
    let scatter_kept = !spec.scatter || in_zone as u32 <= spec.tasks.div_ceil(2);
    spot_allowed && zone_allowed && one_zone_kept && scatter_kept
}
