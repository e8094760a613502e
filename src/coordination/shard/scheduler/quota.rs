//! Quotas: what teams use, their guarantees and limits, and fair sharing beyond them.

use std::cmp::Ordering;
use std::collections::HashMap;

use super::view::SchedulerView;
use crate::coordination::shard::Policy;
use crate::coordination::shard::machines::Resources;
use crate::protocol::users::JobSpec;

/// Largest rounding error, in cores or accelerators, of a team's summed usage.
const QUOTA_ROUNDING: f64 = 1e-6;

/// Upper bound of what each team uses: every task that may exist counts.
#[derive(Debug, Default, Clone)]
pub(in crate::coordination::shard) struct Usage {
    teams: HashMap<String, Resources>,
    /// Used by tasks whose team is not known: counts against every team's limit.
    unknown: Resources,
}

impl Usage {
    /// The usage of a team.
    pub(in crate::coordination::shard) fn of(&self, team: &str) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Adds so many tasks of a job to its team's usage.
    pub(in crate::coordination::shard) fn add(&mut self, spec: &JobSpec, tasks: u32) {
        if !self.teams.contains_key(&spec.team) {
            self.teams.insert(spec.team.clone(), Resources::default());
        }
        if let Some(used) = self.teams.get_mut(&spec.team) {
            used.add_tasks(spec, tasks);
        }
    }

    /// Whether one more task of a job stays within its team's quota limit; a limit of
    /// zero is none.
    pub(super) fn within_limit(&self, policy: &Policy, spec: &JobSpec) -> bool {
        let Some(team) = policy.teams.get(&spec.team) else {
            return false;
        };
        let used = self.of(&spec.team);
        let fits = |used: f64, unknown: f64, requested: f64, limit: f64| {
            limit <= 0.0 || requested <= 0.0 || used + unknown + requested <= limit + QUOTA_ROUNDING
        };
        fits(used.cores, self.unknown.cores, spec.cores, team.cores_max)
            && fits(
                used.accelerators,
                self.unknown.accelerators,
                spec.accelerators,
                team.accelerators_max,
            )
    }

    /// Whether so many tasks of a job together stay within its team's quota limit.
    pub(super) fn all_within_limit(&self, policy: &Policy, spec: &JobSpec, tasks: u32) -> bool {
        let mut usage = self.clone();
        usage.add(spec, tasks.saturating_sub(1));
        usage.within_limit(policy, spec)
    }

    /// Whether one more task of a job stays within its team's quota guarantee.
    pub(super) fn within_guarantee(&self, policy: &Policy, spec: &JobSpec) -> bool {
        policy.teams.get(&spec.team).is_some_and(|team| {
            let used = self.of(&spec.team);
            used.cores + spec.cores <= team.cores + QUOTA_ROUNDING
                && used.accelerators + spec.accelerators <= team.accelerators + QUOTA_ROUNDING
        })
    }

    /// Whether a team would still use its whole core guarantee without this task.
    pub(super) fn beyond_guarantee_without(&self, policy: &Policy, spec: &JobSpec) -> bool {
        policy.teams.get(&spec.team).is_some_and(|team| {
            let used = self.of(&spec.team);
            used.cores - spec.cores >= team.cores
        })
    }

    /// Where a team stands among those with waiting work, if this job is its next.
    pub(super) fn fair_share_rank(&self, policy: &Policy, spec: &JobSpec) -> FairShareRank {
        let share = policy.fair_share(&spec.team);
        let used = self.of(&spec.team);
        FairShareRank {
            beyond_guarantee: !self.within_guarantee(policy, spec),
            weighted_usage: (used.cores + used.accelerators) / share,
        }
    }
}

/// A team's rank under weighted fair sharing; the least is served first.
#[derive(Debug, Clone, Copy)]
pub(super) struct FairShareRank {
    beyond_guarantee: bool,
    /// Cores and accelerators in use over the team's share.
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
            let unreconciled = self.is_unreconciled(machine);
            // Any team may be using all of an unreconciled machine.
            let unknown = if unreconciled {
                1
            } else {
                machine.load.unknown_attempts
            };
            if unknown > 0
                && let Some(machine_type) = self.machine_types.get(&*machine.machine_type)
            {
                usage.unknown.cores += machine_type.cores * f64::from(unknown);
                usage.unknown.accelerators += machine_type.accelerators * f64::from(unknown);
            }
            if !unreconciled {
                for (spec, count) in &machine.load.tasks {
                    usage.add(spec, *count);
                }
            }
        }
        usage
    }
}
