//! Plans preemption for one job: which candidates its tasks get, and who stops for them.

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

/// Plans preemption at one time, within one scheduling pass.
pub(super) struct PreemptionPlanner<'a> {
    pub(super) view: SchedulerView<'a>,
    pub(super) pass: &'a SchedulingPass,
    pub(super) now: Instant,
}

/// For whom tasks are preempted.
pub(super) struct Preemptor<'a> {
    pub(super) spec: &'a Arc<JobSpec>,
    /// Whether it may claim its team's quota guarantee from teams beyond theirs.
    pub(super) claims_guarantee: bool,
    /// Indices of the candidates on which it may run.
    eligible: Vec<usize>,
}

/// The sets of victims that each free enough for one more task, the cheapest first.
type VictimSets = BTreeMap<PreemptionCost, Vec<AttemptId>>;

/// Resources for one task.
struct Allocation {
    /// Index of the candidate in the pass.
    candidate: usize,
    source: AllocationSource,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum AllocationSource {
    /// Free already, or being freed.
    Available,
    /// Freed by victims that were just added to the plan.
    Preempted,
}

impl PreemptionPlanner<'_> {
    /// Plans resources for all waiting tasks of a gang, or changes nothing: resources for
    /// some of them would be of no use.
    pub(super) fn plan_gang(&self, job: &Job, plan: &mut PreemptionPlan) {
        if job.waiting() == 0 || self.view.placeable_tasks(job) < job.waiting() {
            return;
        }
        let mut best: Option<PreemptionPlan> = None;
        for zones in self.gang_zone_choices(job) {
            let mut trial = plan.clone();
            let complete = self.plan_job(job, zones, &mut trial);
            let fewer_victims = best
                .as_ref()
                .is_none_or(|best| trial.victims.len() < best.victims.len());
            if complete && fewer_victims {
                best = Some(trial);
            }
        }
        if let Some(best) = best {
            *plan = best;
        }
    }

    /// The zone constraints to try for a gang: one for each zone if its zone is still open.
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

    /// Plans resources for as many of a job's waiting tasks as possible: what is available
    /// already, then what the cheapest victims free. Returns whether that is all tasks.
    pub(super) fn plan_job(
        &self,
        job: &Job,
        mut zones: ZoneConstraint,
        plan: &mut PreemptionPlan,
    ) -> bool {
        let spec = &job.spec;
        let preemptor = self.preemptor(job, &zones, plan);
        let mut victim_sets: Option<VictimSets> = None;
        for _ in 0..self.view.placeable_tasks(job) {
            if !plan.usage.within_limit(self.view.policy, spec) {
                self.preempt_within_team(spec, plan);
                return false;
            }
            let allocation = self.allocate(&preemptor, &zones, &mut victim_sets, plan);
            let Some(Allocation { candidate, source }) = allocation else {
                return false;
            };
            plan.assign(candidate, spec);
            zones.add(&self.pass.candidates()[candidate].zone, 1);
            if source == AllocationSource::Preempted {
                // For a guarantee, tasks are preempted one at a time: each stop loses as
                // much as it helps, and most shortages end soon by themselves.
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

    fn preemptor<'a>(
        &self,
        job: &'a Job,
        zones: &ZoneConstraint,
        plan: &PreemptionPlan,
    ) -> Preemptor<'a> {
        // While any task is stopping already, none is preempted for a guarantee.
        let claims_guarantee = plan.usage.within_guarantee(self.view.policy, &job.spec)
            && plan.freeing.is_empty()
            && !self.any_candidate_stopping();
        Preemptor {
            spec: &job.spec,
            claims_guarantee,
            eligible: self.eligible_candidates(job, zones),
        }
    }

    /// The candidates on which a job may run if tasks there are preempted.
    fn eligible_candidates(&self, job: &Job, zones: &ZoneConstraint) -> Vec<usize> {
        let spec = &job.spec;
        let (view, pass) = (self.view, self.pass);
        let keep_with_services = view.must_stay_with_services(job, zones, pass);
        let late_service =
            |index| spec.kind == JobKind::Service && view.misses_start_objective(spec, pass, index);
        (0..pass.candidates().len())
            .filter(|index| {
                let candidate = &pass.candidates()[*index];
                candidate.allows(spec)
                    && candidate.cost_acceptable(job)
                    && !(keep_with_services && candidate.releasable)
                    && !late_service(*index)
            })
            .collect()
    }

    fn any_candidate_stopping(&self) -> bool {
        self.pass.candidates().iter().any(|candidate| {
            let machine = self.view.machines.get(&candidate.id);
            machine.is_some_and(|machine| machine.load.has_stopping_attempt)
        })
    }

    /// Finds resources for one task: what is available, or else what the cheapest victims
    /// free, which are then added to the plan. `None` if there are none or the plan is full.
    fn allocate(
        &self,
        preemptor: &Preemptor,
        zones: &ZoneConstraint,
        victim_sets: &mut Option<VictimSets>,
        plan: &mut PreemptionPlan,
    ) -> Option<Allocation> {
        let admitted = |index: usize| zones.admits(&self.pass.candidates()[index].zone);
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

    fn victim_sets(&self, preemptor: &Preemptor, plan: &PreemptionPlan) -> VictimSets {
        let eligible = preemptor.eligible.iter();
        eligible
            .filter_map(|index| self.victims_on(*index, preemptor, plan))
            .collect()
    }

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
        plan.free(index, victim, running.and_then(|a| a.spec.as_ref()));
    }

    /// A team at its quota limit preempts its own lower-priority work.
    fn preempt_within_team(&self, spec: &Arc<JobSpec>, plan: &mut PreemptionPlan) {
        if let Some((machine, attempt)) = self.cheapest_of_team(spec) {
            plan.victims.push(Victim {
                machine,
                attempt,
                preemptor: spec.clone(),
            });
        }
    }
}
