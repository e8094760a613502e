//! Plans preemption for one job: chooses the candidates for its tasks, and the victims that are
//! stopped for them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use super::victims::PreemptionCost;
use super::{PreemptionPlan, Victim};
use crate::coordination::shard::Job;
use crate::coordination::shard::scheduler::candidates::SchedulingPass;
use crate::coordination::shard::scheduler::view::SchedulerView;
use crate::coordination::shard::scheduler::zones::ZoneConstraint;
use crate::protocol::AttemptId;
use crate::protocol::users::{JobKind, JobSpec};

/// Plans preemption within one scheduling pass; [`super`] creates it for each pass.
pub(super) struct PreemptionPlanner<'a> {
    pub(super) view: SchedulerView<'a>,
    pub(super) pass: &'a SchedulingPass,
    pub(super) now: Instant,
}

/// The job for which tasks are preempted.
pub(super) struct Preemptor<'a> {
    pub(super) spec: &'a Arc<JobSpec>,
    /// Whether it may preempt tasks of teams that use more than their quota guarantee, because
    /// its own team uses less than its guarantee.
    pub(super) claims_guarantee: bool,
    /// The indices of the candidates on which it may run.
    eligible: Vec<usize>,
}

/// For each candidate, a set of victims that frees enough resources for one more task, with the
/// cost of preempting them; the cheapest first.
type VictimSets = BTreeMap<PreemptionCost, Vec<AttemptId>>;

/// The resources that a plan assigns to one task.
struct Allocation {
    /// The index of the candidate in the pass.
    candidate: usize,
    source: AllocationSource,
}

/// Where the resources of an [`Allocation`] come from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AllocationSource {
    /// They were free, or being freed, before the task was planned.
    Available,
    /// They are freed by victims that were added to the plan for this task.
    Preempted,
}

impl PreemptionPlanner<'_> {
    /// Plans resources for all waiting tasks of a gang, in the zone that needs the fewest
    /// victims. If there are not enough for all of them, the plan stays unchanged: resources for
    /// only some of the tasks would be of no use.
    pub(super) fn plan_gang(&self, job: &Job, plan: &mut PreemptionPlan) {
        if job.waiting() == 0 || self.view.placeable_tasks(job) < job.waiting() {
            return;
        }
        let mut best: Option<PreemptionPlan> = None;
        for zone_constraint in self.gang_zone_choices(job) {
            let mut trial = plan.clone();
            let is_complete = self.plan_job(job, zone_constraint, &mut trial);
            let has_fewer_victims = best
                .as_ref()
                .is_none_or(|best| trial.victims.len() < best.victims.len());
            if is_complete && has_fewer_victims {
                best = Some(trial);
            }
        }
        if let Some(best) = best {
            *plan = best;
        }
    }

    /// The zone constraints to try for a gang: one for each zone if it has to run in one zone and
    /// none is chosen yet.
    fn gang_zone_choices(&self, job: &Job) -> Vec<ZoneConstraint> {
        let constraint = self.view.zone_constraint(job);
        if !constraint.must_choose_zone() {
            return vec![constraint];
        }
        let candidates = self.pass.candidates().iter();
        let zones: BTreeSet<Arc<str>> = candidates.map(|c| c.zone.clone()).collect();
        zones
            .into_iter()
            .map(|zone| ZoneConstraint::pinned_to(&job.spec, zone))
            .collect()
    }

    /// Plans resources for as many of a job's placeable tasks as possible: first those that are
    /// available already, then those that the cheapest victims free. Returns whether all the tasks
    /// got resources.
    pub(super) fn plan_job(
        &self,
        job: &Job,
        mut zone_constraint: ZoneConstraint,
        plan: &mut PreemptionPlan,
    ) -> bool {
        let spec = &job.spec;
        let preemptor = self.preemptor(job, &zone_constraint, plan);
        let mut victim_sets: Option<VictimSets> = None;
        for _ in 0..self.view.placeable_tasks(job) {
            if !plan.usage.within_limit(self.view.policy, spec) {
                self.preempt_within_team(spec, plan);
                return false;
            }
            let allocation = self.allocate(&preemptor, &zone_constraint, &mut victim_sets, plan);
            let Some(Allocation { candidate, source }) = allocation else {
                return false;
            };
            plan.assign(candidate, spec);
            zone_constraint.add(&self.pass.candidates()[candidate].zone, 1);
            if source == AllocationSource::Preempted {
                // To claim a guarantee, a pass preempts for only one task: each stop loses as
                // much work as it makes possible, and most shortages soon end by themselves.
                if preemptor.claims_guarantee && !spec.is_gang() {
                    return false;
                }
                if let Some(victim_sets) = &mut victim_sets {
                    victim_sets.extend(self.victims_on(candidate, &preemptor, plan));
                }
            }
        }
        true
    }

    /// Determines what a job may preempt, and on which candidates.
    fn preemptor<'a>(
        &self,
        job: &'a Job,
        zone_constraint: &ZoneConstraint,
        plan: &PreemptionPlan,
    ) -> Preemptor<'a> {
        // While any task is stopping already, no further task is preempted for a guarantee.
        let claims_guarantee = plan.usage.within_guarantee(self.view.policy, &job.spec)
            && plan.resource_victims.is_empty()
            && !self.any_candidate_has_stopping_task();
        Preemptor {
            spec: &job.spec,
            claims_guarantee,
            eligible: self.eligible_candidates(job, zone_constraint),
        }
    }

    /// The indices of the candidates on which a job may run if tasks there are preempted.
    fn eligible_candidates(&self, job: &Job, zone_constraint: &ZoneConstraint) -> Vec<usize> {
        let spec = &job.spec;
        let (view, pass) = (self.view, self.pass);
        let keep_with_services = view.must_stay_with_services(job, zone_constraint, pass);
        let service_would_start_late =
            |index| spec.kind == JobKind::Service && view.misses_start_objective(spec, pass, index);
        (0..pass.candidates().len())
            .filter(|index| {
                let candidate = &pass.candidates()[*index];
                candidate.allows(spec)
                    && candidate.is_cost_acceptable(job)
                    && !(keep_with_services && candidate.is_releasable)
                    && !service_would_start_late(*index)
            })
            .collect()
    }

    fn any_candidate_has_stopping_task(&self) -> bool {
        self.pass.candidates().iter().any(|candidate| {
            let machine = self.view.machines.get(&candidate.id);
            machine.is_some_and(|machine| machine.load.has_stopping_attempt)
        })
    }

    /// Finds resources for one task: those that are available, or else those that the cheapest
    /// victims free, which it then adds to the plan. `None` if there are no such victims, or if
    /// the plan is full.
    fn allocate(
        &self,
        preemptor: &Preemptor,
        zone_constraint: &ZoneConstraint,
        victim_sets: &mut Option<VictimSets>,
        plan: &mut PreemptionPlan,
    ) -> Option<Allocation> {
        let admitted = |index: usize| zone_constraint.admits(&self.pass.candidates()[index].zone);
        let mut eligible = preemptor.eligible.iter().copied();
        let available = eligible
            .find(|index| plan.available[*index].fits_task(preemptor.spec) && admitted(*index));
        if let Some(candidate) = available {
            return Some(Allocation {
                candidate,
                source: AllocationSource::Available,
            });
        }
        if plan.is_full() {
            return None;
        }
        let victim_sets = victim_sets.get_or_insert_with(|| self.victim_sets(preemptor, plan));
        let mut cheapest = victim_sets.keys().copied();
        let cost = cheapest.find(|cost| admitted(cost.candidate))?;
        for attempt in victim_sets.remove(&cost).unwrap_or_default() {
            self.add_victim(cost.candidate, attempt, preemptor, plan);
        }
        Some(Allocation {
            candidate: cost.candidate,
            source: AllocationSource::Preempted,
        })
    }

    /// The victims on each eligible candidate that free enough for one more task.
    fn victim_sets(&self, preemptor: &Preemptor, plan: &PreemptionPlan) -> VictimSets {
        let eligible = preemptor.eligible.iter();
        eligible
            .filter_map(|index| self.victims_on(*index, preemptor, plan))
            .collect()
    }

    /// Adds an attempt on a candidate to the plan's victims.
    fn add_victim(
        &self,
        index: usize,
        attempt: AttemptId,
        preemptor: &Preemptor,
        plan: &mut PreemptionPlan,
    ) {
        let machine_id = &self.pass.candidates()[index].id;
        let machine = self.view.machines.get(machine_id);
        let running = machine.and_then(|machine| machine.attempts.get(&attempt));
        let victim = Victim {
            machine: machine_id.clone(),
            attempt,
            preemptor: preemptor.spec.clone(),
        };
        plan.add_victim(index, victim, running.and_then(|a| a.spec.as_ref()));
    }

    /// Preempts a lower-priority task of the same team, for a job whose team has reached its quota
    /// limit.
    fn preempt_within_team(&self, spec: &Arc<JobSpec>, plan: &mut PreemptionPlan) {
        if let Some((machine, attempt)) = self.cheapest_victim_of_team(spec) {
            plan.victims.push(Victim {
                machine,
                attempt,
                preemptor: spec.clone(),
            });
        }
    }
}
