//! Quotas: what teams use, how that compares with their guarantees and limits, and fair sharing of
//! the capacity beyond the guarantees.

use std::cmp::Ordering;
use std::collections::HashMap;

use super::view::SchedulerView;
use crate::coordination::shard::Policy;
use crate::coordination::shard::machines::Resources;
use crate::protocol::users::JobSpec;

/// The largest rounding error, in cores or accelerators, of a team's summed usage.
const QUOTA_ROUNDING: f64 = 1e-6;

/// An upper bound of what each team uses: every task that may exist counts.
#[derive(Debug, Default, Clone)]
pub(in crate::coordination::shard) struct Usage {
    teams: HashMap<String, Resources>,
    /// The resources that tasks of unknown teams may use. They count against every team's limit.
    unknown_team: Resources,
}

impl Usage {
    /// What a team's tasks use, without those whose team is not known.
    pub(in crate::coordination::shard) fn team_usage(&self, team: &str) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Adds this number of tasks of a job to its team's usage.
    pub(in crate::coordination::shard) fn add(&mut self, spec: &JobSpec, tasks: u32) {
        if !self.teams.contains_key(&spec.team) {
            self.teams.insert(spec.team.clone(), Resources::default());
        }
        if let Some(used) = self.teams.get_mut(&spec.team) {
            used.add_tasks(spec, tasks);
        }
    }

    /// Whether one more task of a job stays within its team's quota limit. A limit of zero means
    /// that there is none.
    pub(super) fn within_limit(&self, policy: &Policy, spec: &JobSpec) -> bool {
        let Some(team) = policy.teams.get(&spec.team) else {
            return false;
        };
        let used = self.team_usage(&spec.team);
        let fits = |used: f64, unknown_team: f64, requested: f64, limit: f64| {
            limit <= 0.0
                || requested <= 0.0
                || used + unknown_team + requested <= limit + QUOTA_ROUNDING
        };
        fits(
            used.cores,
            self.unknown_team.cores,
            spec.cores,
            team.cores_max,
        ) && fits(
            used.accelerators,
            self.unknown_team.accelerators,
            spec.accelerators,
            team.accelerators_max,
        )
    }

    /// Whether this number of tasks of a job together stay within its team's quota limit.
    pub(super) fn all_within_limit(&self, policy: &Policy, spec: &JobSpec, tasks: u32) -> bool {
        let mut usage = self.clone();
        usage.add(spec, tasks.saturating_sub(1));
        usage.within_limit(policy, spec)
    }

    /// Whether a team's usage with one more task of a job stays within the team's quota guarantee,
    /// in cores and in accelerators.
    pub(super) fn within_guarantee(&self, policy: &Policy, spec: &JobSpec) -> bool {
        policy.teams.get(&spec.team).is_some_and(|team| {
            let used = self.team_usage(&spec.team);
            used.cores + spec.cores <= team.cores + QUOTA_ROUNDING
                && used.accelerators + spec.accelerators <= team.accelerators + QUOTA_ROUNDING
        })
    }

    /// Whether the team of a job would still use its whole core guarantee without one task of the
    /// job.
    pub(super) fn beyond_guarantee_without(&self, policy: &Policy, spec: &JobSpec) -> bool {
        policy.teams.get(&spec.team).is_some_and(|team| {
            let used = self.team_usage(&spec.team);
            used.cores - spec.cores >= team.cores
        })
    }

    /// The rank of a team among the teams with waiting jobs, if this job is its next.
    pub(super) fn fair_share_rank(&self, policy: &Policy, spec: &JobSpec) -> FairShareRank {
        let share = policy.fair_share(&spec.team);
        let used = self.team_usage(&spec.team);
        FairShareRank {
            beyond_guarantee: !self.within_guarantee(policy, spec),
            weighted_usage: (used.cores + used.accelerators) / share,
        }
    }
}

/// A team's rank in weighted fair sharing; the smallest is served first. The fields are in the
/// order of their weight.
#[derive(Debug, Clone, Copy)]
pub(super) struct FairShareRank {
    /// Whether the team's next task would exceed its quota guarantee.
    beyond_guarantee: bool,
    /// The sum of cores and accelerators in use, divided by the team's fair share.
    weighted_usage: f64,
}

impl FairShareRank {
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        self.beyond_guarantee
            .cmp(&other.beyond_guarantee)
            .then(self.weighted_usage.total_cmp(&other.weighted_usage))
    }
}

impl SchedulerView<'_> {
    /// What the teams use, summed over all machines.
    pub(in crate::coordination::shard) fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for machine in self.machines.values() {
            let is_unreconciled = self.is_unreconciled(machine);
            // Any team may be using all of an unreconciled machine.
            let unknown_tasks = if is_unreconciled {
                1
            } else {
                machine.load.unknown_attempts
            };
            if unknown_tasks > 0
                && let Some(machine_type) = self.machine_types.get(&*machine.machine_type)
            {
                usage.unknown_team.cores += machine_type.cores * f64::from(unknown_tasks);
                usage.unknown_team.accelerators +=
                    machine_type.accelerators * f64::from(unknown_tasks);
            }
            if !is_unreconciled {
                for (spec, count) in &machine.load.tasks {
                    usage.add(spec, *count);
                }
            }
        }
        usage
    }
}
