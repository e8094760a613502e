//! The choice of victims: who may be preempted, and what stopping them costs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::PreemptionPlan;
use super::planner::{PreemptionPlanner, Preemptor};
use crate::coordination::shard::{Attempt, Machine};
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::{AttemptId, MachineId};

/// The cost of stopping a service, as lost work; also added for a gang that can't be
/// stopped on all machines at the same time.
const SERVICE_PREEMPTION_COST: Duration = Duration::from_secs(3600);
/// Tasks in their phase for less than this cost this much more: a start that is soon undone
/// was of no use.
const RECENT_START_COST: Duration = Duration::from_secs(30);

/// The cost of preempting enough on one candidate for one task; the cheapest first, then
/// the candidate that comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PreemptionCost {
    lost_work: Duration,
    /// Index of the candidate in the pass.
    pub(super) candidate: usize,
}

/// The order in which attempts on one machine are preempted.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct VictimRank<'a> {
    priority: Priority,
    lost_work: Duration,
    attempt: &'a AttemptId,
}

impl PreemptionPlanner<'_> {
    /// The cheapest victims on one candidate that free enough for one more task, with their
    /// cost; `None` if all that may be preempted there is not enough.
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

    /// What may be preempted on a machine: lowest priority first, then the least lost work.
    fn ranked_victims<'m>(
        &self,
        machine: &'m Machine,
        preemptor: &Preemptor,
        plan: &PreemptionPlan,
    ) -> Vec<(VictimRank<'m>, &'m Arc<JobSpec>)> {
        let mut ranked = Vec::new();
        for (id, attempt) in &machine.attempts {
            let running =
                !attempt.ended() && attempt.stop_grace().is_none() && !plan.freeing.contains(id);
            let Some(spec) = attempt.spec.as_ref().filter(|_| running) else {
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

    /// Whether a task may be preempted (PROTOCOL, "Preemption"): one of lower priority, or
    /// one that its team runs beyond its guarantee while the preemptor claims its own.
    fn may_preempt(&self, preemptor: &Preemptor, victim: &JobSpec, plan: &PreemptionPlan) -> bool {
        victim.priority < preemptor.spec.priority
            || (preemptor.claims_guarantee
                && victim.team != preemptor.spec.team
                && plan
                    .usage
                    .beyond_guarantee_without(self.view.policy, victim))
    }

    /// The cheapest lower-priority attempt of a job's own team, on any machine; `None` also
    /// if one of them is stopping already.
    pub(super) fn cheapest_of_team(&self, spec: &JobSpec) -> Option<(MachineId, AttemptId)> {
        let machines = self.view.machines.values();
        let of_team: Vec<TeamAttempt> = machines
            .filter(|machine| machine.load.has_lower_priority(spec.priority))
            .flat_map(|machine| lower_priority_of_team(machine, spec))
            .collect();
        if of_team.iter().any(|of| of.attempt.stop_grace().is_some()) {
            return None;
        }
        of_team
            .into_iter()
            .min_by_key(|of| (of.priority, self.preemption_cost(of.id, of.attempt)))
            .map(|of| (of.machine.clone(), of.id.clone()))
    }

    /// The work that preempting an attempt now would lose. A gang stops whole.
    fn preemption_cost(&self, id: &AttemptId, attempt: &Attempt) -> Duration {
        let of_one = preemption_cost_of_one(attempt, self.now);
        let gang = attempt.spec.as_ref().filter(|spec| spec.is_gang());
        gang.map_or(of_one, |spec| {
            let unreachable = if self.view.gang_reachable(&id.task.job, self.now) {
                Duration::ZERO
            } else {
                SERVICE_PREEMPTION_COST
            };
            of_one * spec.tasks + unreachable
        })
    }
}

/// An attempt of a team's job.
struct TeamAttempt<'m> {
    priority: Priority,
    machine: &'m MachineId,
    id: &'m AttemptId,
    attempt: &'m Attempt,
}

/// The attempts on a machine that have not ended, of lower-priority jobs of the same team.
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

/// The work that stopping one attempt now would lose.
fn preemption_cost_of_one(attempt: &Attempt, now: Instant) -> Duration {
    let Some(spec) = &attempt.spec else {
        return Duration::ZERO;
    };
    if spec.kind == JobKind::Service {
        return SERVICE_PREEMPTION_COST;
    }
    let in_phase = now.saturating_duration_since(attempt.phase_since);
    let recent_start = if in_phase < RECENT_START_COST {
        RECENT_START_COST
    } else {
        Duration::ZERO
    };
    attempt.work_at_risk(now) + recent_start
}
