//! The choice of victims: determines which attempts may be preempted, and which of them lose the
//! least work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::PreemptionPlan;
use super::planner::{PreemptionPlanner, Preemptor};
use crate::coordination::shard::{Attempt, Machine};
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::{AttemptId, MachineId};

/// The cost of stopping a task of a service, as lost work. It is also added to the cost of a gang
/// that can't be stopped on all machines at the same time.
const SERVICE_PREEMPTION_COST: Duration = Duration::from_secs(3600);
/// Stopping a task that entered its phase less than this time ago costs this much in addition,
/// since a start that is soon undone was of no use.
const RECENT_START_COST: Duration = Duration::from_secs(30);

/// The cost of preempting enough tasks on one candidate for one task of the preemptor. Costs are
/// ordered by the lost work, then by the candidate's index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PreemptionCost {
    lost_work: Duration,
    /// The index of the candidate in the pass.
    pub(super) candidate: usize,
}

/// The rank of an attempt among those that may be preempted on one machine; the smallest is
/// preempted first. The fields are in the order of their weight.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct VictimRank<'a> {
    priority: Priority,
    lost_work: Duration,
    attempt: &'a AttemptId,
}

impl PreemptionPlanner<'_> {
    /// The victims on one candidate that free enough for one more task of the preemptor, with the
    /// cost of preempting them. `None` if the attempts that may be preempted there don't free
    /// enough even together, or if nothing need be preempted.
    pub(super) fn victims_on(
        &self,
        index: usize,
        preemptor: &Preemptor,
        plan: &PreemptionPlan,
    ) -> Option<(PreemptionCost, Vec<AttemptId>)> {
        let spec = preemptor.spec;
        let machine = self.view.machines.get(&self.pass.candidates()[index].id)?;
        if !(preemptor.claims_guarantee || machine.load.has_lower_priority(spec.priority)) {
            return None;
        }
        let mut available = plan.available[index];
        let mut lost_work = Duration::ZERO;
        let mut victims = Vec::new();
        for (rank, victim_spec) in self.ranked_victims(machine, preemptor, plan) {
            if available.fits_task(spec) {
                break;
            }
            available.add_task(victim_spec);
            lost_work += rank.lost_work;
            victims.push(rank.attempt.clone());
        }
        let cost = PreemptionCost {
            lost_work,
            candidate: index,
        };
        (available.fits_task(spec) && !victims.is_empty()).then_some((cost, victims))
    }

    /// The attempts that may be preempted on a machine, each with its job's description: those of
    /// the lowest priority first, and among equals those that lose the least work.
    fn ranked_victims<'m>(
        &self,
        machine: &'m Machine,
        preemptor: &Preemptor,
        plan: &PreemptionPlan,
    ) -> Vec<(VictimRank<'m>, &'m Arc<JobSpec>)> {
        let mut ranked = Vec::new();
        for (id, attempt) in &machine.attempts {
            let is_running = !attempt.ended()
                && attempt.stop_grace().is_none()
                && !plan.resource_victims.contains(id);
            let Some(spec) = attempt.spec.as_ref().filter(|_| is_running) else {
                continue;
            };
            if self.may_preempt(preemptor, spec, plan) {
                let rank = VictimRank {
                    priority: spec.priority,
                    lost_work: self.preemption_cost(id, attempt),
                    attempt: id,
                };
                ranked.push((rank, spec));
            }
        }
        ranked.sort_by(|(a, _), (b, _)| a.cmp(b));
        ranked
    }

    /// Whether a task may be preempted (PROTOCOL, "Preemption"): it has a lower priority, or the
    /// preemptor claims its team's guarantee and another team runs the task beyond its own.
    fn may_preempt(&self, preemptor: &Preemptor, victim: &JobSpec, plan: &PreemptionPlan) -> bool {
        victim.priority < preemptor.spec.priority
            || (preemptor.claims_guarantee
                && victim.team != preemptor.spec.team
                && plan
                    .usage
                    .beyond_guarantee_without(self.view.policy, victim))
    }

    /// The lower-priority attempt of a job's own team, on any machine, that is preempted first:
    /// the one of the lowest priority, and among equals the one that loses the least work. `None`
    /// if there is no such attempt, or if one of them is stopping already.
    pub(super) fn cheapest_victim_of_team(&self, spec: &JobSpec) -> Option<(MachineId, AttemptId)> {
        let machines = self.view.machines.values();
        let team_attempts: Vec<TeamAttempt> = machines
            .filter(|machine| machine.load.has_lower_priority(spec.priority))
            .flat_map(|machine| lower_priority_of_team(machine, spec))
            .collect();
        if team_attempts
            .iter()
            .any(|found| found.attempt.stop_grace().is_some())
        {
            return None;
        }
        team_attempts
            .into_iter()
            .min_by_key(|found| {
                (
                    found.priority,
                    self.preemption_cost(found.id, found.attempt),
                )
            })
            .map(|found| (found.machine.clone(), found.id.clone()))
    }

    /// The work that preempting an attempt now would lose. For an attempt of a gang, that is the
    /// work of all the gang's tasks, since the whole gang stops.
    fn preemption_cost(&self, id: &AttemptId, attempt: &Attempt) -> Duration {
        let cost_of_one = preemption_cost_of_one(attempt, self.now);
        let gang = attempt.spec.as_ref().filter(|spec| spec.is_gang());
        gang.map_or(cost_of_one, |spec| {
            let unreachable_cost = if self.view.is_gang_reachable(&id.task.job, self.now) {
                Duration::ZERO
            } else {
                SERVICE_PREEMPTION_COST
            };
            cost_of_one * spec.tasks + unreachable_cost
        })
    }
}

/// An attempt of a job of one team, with its machine.
struct TeamAttempt<'m> {
    priority: Priority,
    machine: &'m MachineId,
    id: &'m AttemptId,
    attempt: &'m Attempt,
}

/// The attempts on a machine that have not ended and belong to lower-priority jobs of the same
/// team.
fn lower_priority_of_team<'m>(machine: &'m Machine, spec: &JobSpec) -> Vec<TeamAttempt<'m>> {
    let mut found = Vec::new();
    for (id, attempt) in machine.attempts.iter().filter(|(_, a)| !a.ended()) {
        if let Some(other) = &attempt.spec
            && other.team == spec.team
            && other.priority < spec.priority
        {
            found.push(TeamAttempt {
                priority: other.priority,
                machine: &machine.id,
                id,
                attempt,
            });
        }
    }
    found
}

/// The work that stopping this one attempt now would lose, without the other tasks of a gang.
fn preemption_cost_of_one(attempt: &Attempt, now: Instant) -> Duration {
    let Some(spec) = &attempt.spec else {
        return Duration::ZERO;
    };
    if spec.kind == JobKind::Service {
        return SERVICE_PREEMPTION_COST;
    }
    let in_phase = now.saturating_duration_since(attempt.phase_since);
    let recent_start_cost = if in_phase < RECENT_START_COST {
        RECENT_START_COST
    } else {
        Duration::ZERO
    };
    attempt.work_at_risk(now) + recent_start_cost
}
