//! Preemption: stops running tasks for jobs that found no machine with enough free resources, by
//! the rules of PROTOCOL's section "Preemption".
//!
//! For the first few jobs that were not placed, the [`planner`] works out a [`PreemptionPlan`],
//! with the victims that lose the least work ([`victims`]). Carrying out the plan only asks the
//! victims to stop. Later passes place the waiting jobs on the freed resources, in the order of
//! the queues.

mod planner;
mod victims;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::candidates::SchedulingPass;
use super::quota::Usage;
use super::view::SchedulerView;
use crate::coordination::shard::Shard;
use crate::coordination::shard::machines::Resources;
use crate::protocol::users::JobSpec;
use crate::protocol::{AttemptId, JobId, MachineId};
use planner::PreemptionPlanner;

/// The most gangs, and the most other jobs, for which one pass plans preemption. The two are
/// counted separately, because other jobs also get resources as they become free, while a gang
/// has no other way to get machines.
const MAX_PREEMPTING_JOBS: usize = 8;
/// The number of preempted tasks in one pass after which no further victims are chosen.
const MAX_PREEMPTIONS_PER_PASS: usize = 64;

/// An attempt that is to stop for other work.
#[derive(Clone)]
struct Victim {
    machine: MachineId,
    attempt: AttemptId,
    /// The job for which it is stopped.
    preemptor: Arc<JobSpec>,
}

/// What preemption has decided so far in one pass.
#[derive(Clone)]
struct PreemptionPlan {
    /// The teams' usage, including the tasks to which the plan assigns resources.
    usage: Usage,
    /// For each candidate, the resources that are free or being freed, less those that the plan
    /// assigns to tasks.
    available: Vec<Resources>,
    victims: Vec<Victim>,
    /// The victims whose resources the plan counts as available. It does not hold the victims that
    /// are stopped only to free their team's quota.
    resource_victims: HashSet<AttemptId>,
}

impl PreemptionPlan {
    fn new(view: SchedulerView, pass: &SchedulingPass) -> Self {
        Self {
            usage: pass.usage().clone(),
            available: view.available_after_stops(pass),
            victims: Vec::new(),
            resource_victims: HashSet::new(),
        }
    }

    /// Whether no further victims are chosen in this pass.
    fn is_full(&self) -> bool {
        self.resource_victims.len() >= MAX_PREEMPTIONS_PER_PASS
    }

    /// Adds a victim on a candidate to the plan, and its resources to the available ones.
    fn add_victim(&mut self, index: usize, victim: Victim, spec: Option<&Arc<JobSpec>>) {
        if let Some(spec) = spec {
            self.available[index].add_task(spec);
        }
        self.resource_victims.insert(victim.attempt.clone());
        self.victims.push(victim);
    }

    /// Assigns available resources of a candidate to one task of a job.
    fn assign(&mut self, index: usize, spec: &JobSpec) {
        self.available[index].subtract_task(spec);
        self.usage.add(spec, 1);
    }
}

impl Shard {
    /// Preempts tasks for jobs that found no machine, choosing the victims that lose the least
    /// work.
    pub(super) fn preempt(&mut self, unplaced: &[JobId], pass: &SchedulingPass, now: Instant) {
        let view = self.scheduler_view();
        let planner = PreemptionPlanner { view, pass, now };
        let mut plan = PreemptionPlan::new(view, pass);
        let (mut planned_gangs, mut planned_others) = (0, 0);
        for job in unplaced.iter().filter_map(|id| view.jobs.get(id)) {
            let is_gang = job.spec.is_gang();
            let planned = if is_gang {
                &mut planned_gangs
            } else {
                &mut planned_others
            };
            if *planned >= MAX_PREEMPTING_JOBS {
                continue;
            }
            *planned += 1;
            if is_gang {
                planner.plan_gang(job, &mut plan);
            } else {
                planner.plan_job(job, view.zone_constraint(job), &mut plan);
            }
            if plan.is_full() {
                break;
            }
        }
        for victim in plan.victims {
            self.stop_victim(&victim);
        }
    }

    /// Asks a victim to stop. It gets the time to save a checkpoint, unless that would take half
    /// of the preemptor's start objective or more; it then loses its work since its last
    /// checkpoint.
    fn stop_victim(&mut self, victim: &Victim) {
        let start_objective = self.policy.start_objectives.get(&victim.preemptor.class);
        let start_objective = start_objective.copied();
        let machine = self.machines.get_mut(&victim.machine);
        let Some(attempt) = machine.and_then(|m| m.attempts.get_mut(&victim.attempt)) else {
            return;
        };
        tracing::debug!(
            machine = %victim.machine,
            task = %victim.attempt.task,
            attempt = victim.attempt.number,
            "task preempted"
        );
        let spec = attempt.spec.as_ref();
        let grace = spec.map_or(Duration::ZERO, |spec| spec.save_time());
        let saves_in_time = start_objective.is_none_or(|objective| grace < objective / 2);
        attempt.request_stop(if saves_in_time { grace } else { Duration::ZERO });
    }
}

impl SchedulerView<'_> {
    /// For each candidate, the resources that are free now or will be once all its tasks that were
    /// asked to stop have stopped.
    fn available_after_stops(&self, pass: &SchedulingPass) -> Vec<Resources> {
        let mut available: Vec<Resources> = pass.candidates().iter().map(|c| c.free).collect();
        for (candidate, available) in pass.candidates().iter().zip(&mut available) {
            let machine = self.machines.get(&candidate.id);
            let Some(machine) = machine.filter(|machine| machine.load.has_stopping_attempt) else {
                continue;
            };
            let attempts = machine.attempts.values();
            let stopping =
                attempts.filter(|attempt| !attempt.ended() && attempt.stop_grace().is_some());
            for spec in stopping.filter_map(|attempt| attempt.spec.as_ref()) {
                available.add_task(spec);
            }
        }
        available
    }
}
