//! Preemption: stops running tasks for jobs that found no machine with enough free
//! resources, by the rules of PROTOCOL's section "Preemption".
//!
//! A [`PreemptionPlan`] is worked out for the first few jobs that were not placed
//! ([`planner`]), each time with the victims that lose the least work ([`victims`]).
//! Carrying it out only asks the victims to stop: later passes place the jobs, in the order
//! of the queues.

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

/// Most jobs for which one pass plans preemption, and most gangs: gangs have no other way
/// to machines, while other jobs also take what becomes free, so they are counted apart.
const MAX_PREEMPTING_JOBS: usize = 8;
/// Tasks preempted in one pass after which no further victims are chosen.
const MAX_PREEMPTIONS_PER_PASS: usize = 64;

/// An attempt that is to stop for other work.
#[derive(Clone)]
struct Victim {
    machine: MachineId,
    attempt: AttemptId,
    /// The job for which it stops.
    preemptor: Arc<JobSpec>,
}

/// What preemption in one pass has decided so far.
#[derive(Clone)]
struct PreemptionPlan {
    /// The teams' usage with the tasks that the plan frees resources for.
    usage: Usage,
    /// By candidate, what is free or being freed, less what the plan uses.
    available: Vec<Resources>,
    victims: Vec<Victim>,
    /// The victims whose resources are counted as available. Those that only free their
    /// team's quota are not among them.
    freeing: HashSet<AttemptId>,
}

impl PreemptionPlan {
    fn new(view: SchedulerView, pass: &SchedulingPass) -> Self {
        Self {
            usage: pass.usage().clone(),
            available: view.available_after_stops(pass),
            victims: Vec::new(),
            freeing: HashSet::new(),
        }
    }

    fn is_full(&self) -> bool {
        self.freeing.len() >= MAX_PREEMPTIONS_PER_PASS
    }

    /// Adds a victim on a candidate, and what it frees there.
    fn free(&mut self, index: usize, victim: Victim, spec: Option<&Arc<JobSpec>>) {
        if let Some(spec) = spec {
            self.available[index].add_task(spec);
        }
        self.freeing.insert(victim.attempt.clone());
        self.victims.push(victim);
    }

    /// Uses a candidate's available resources for one task.
    fn assign(&mut self, index: usize, spec: &JobSpec) {
        self.available[index].subtract_task(spec);
        self.usage.add(spec, 1);
    }
}

impl Shard {
    /// Preempts tasks for jobs that found no machine, those that lose the least work first.
    pub(super) fn preempt(&mut self, unplaced: &[JobId], pass: &SchedulingPass, now: Instant) {
        let view = self.scheduler_view();
        let planner = PreemptionPlanner { view, pass, now };
        let mut plan = PreemptionPlan::new(view, pass);
        let (mut gangs, mut others) = (0, 0);
        for job in unplaced.iter().filter_map(|id| view.jobs.get(id)) {
            let is_gang = job.spec.is_gang();
            let planned = if is_gang { &mut gangs } else { &mut others };
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

    /// Asks a victim to stop. It gets the time to save a checkpoint unless that would take
    /// too much of the preemptor's start objective: then it falls back to its last one.
    fn stop_victim(&mut self, victim: &Victim) {
        let objective = self.policy.wait_within.get(&victim.preemptor.class);
        let objective = objective.copied();
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
        let saves_in_time = objective.is_none_or(|objective| grace < objective / 2);
        attempt.request_stop(if saves_in_time { grace } else { Duration::ZERO });
    }
}

impl SchedulerView<'_> {
    /// By candidate, what is free or will be once every task that was asked to stop has.
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
