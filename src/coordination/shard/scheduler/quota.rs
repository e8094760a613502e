//! What teams use, and how far they may go.

use std::collections::HashMap;

use crate::coordination::shard::Shard;
use crate::coordination::shard::machines::Amounts;
use crate::protocol::users::JobSpec;

/// What sums of amounts may be off by.
const LIMIT_ROUNDING: f64 = 1e-6;

/// What the teams may be using, counting all that might exist.
#[derive(Debug, Default, Clone)]
pub(in crate::coordination::shard) struct Usage {
    teams: HashMap<String, Amounts>,
    /// What nobody knows the team of: it counts against every limit.
    unknown: Amounts,
}

impl Usage {
    /// What a team may be using.
    pub fn of(&self, team: &str) -> Amounts {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Counts so many tasks of a job in.
    pub fn add(&mut self, spec: &JobSpec, tasks: u32) {
        if !self.teams.contains_key(&spec.team) {
            self.teams.insert(spec.team.clone(), Amounts::default());
        }
        if let Some(used) = self.teams.get_mut(&spec.team) {
            used.give_many(spec, tasks);
        }
    }
}

impl Shard {
    /// What the teams may be using, counted from the machines.
    pub(in crate::coordination::shard) fn usage(&self) -> Usage {
        let mut usage = Usage::default();
        for machine in self.machines.values() {
            let unreconciled = self.unreconciled.contains(&machine.id);
            let unknown = if unreconciled {
                1
            } else {
                machine.load.unknown
            };
            if unknown > 0
                && let Some(kind) = self.types.get(&*machine.machine_type)
            {
                usage.unknown.cores += kind.cores * f64::from(unknown);
                usage.unknown.accelerators += kind.accelerators * f64::from(unknown);
            }
            if !unreconciled {
                for (spec, count) in &machine.load.tasks {
                    usage.add(spec, *count);
                }
            }
        }
        usage
    }

    /// Whether one more task of a job stays within its team's limit.
    pub(in crate::coordination::shard) fn within_quota_limit(
        &self,
        usage: &Usage,
        spec: &JobSpec,
    ) -> bool {
        let Some(team) = self.policy.teams.get(&spec.team) else {
            return false;
        };
        let used = usage.of(&spec.team);
        let fits = |used: f64, unknown: f64, more: f64, most: f64| {
            most <= 0.0 || more <= 0.0 || used + unknown + more <= most + LIMIT_ROUNDING
        };
        fits(used.cores, usage.unknown.cores, spec.cores, team.cores_max)
            && fits(
                used.accelerators,
                usage.unknown.accelerators,
                spec.accelerators,
                team.accelerators_max,
            )
    }

    /// Whether a team would still be within its guarantee with one more task.
    pub(in crate::coordination::shard) fn within_quota(
        &self,
        usage: &Usage,
        spec: &JobSpec,
    ) -> bool {
        self.policy.teams.get(&spec.team).is_some_and(|team| {
            let used = usage.of(&spec.team);
            used.cores + spec.cores <= team.cores + LIMIT_ROUNDING
                && used.accelerators + spec.accelerators <= team.accelerators + LIMIT_ROUNDING
        })
    }

    /// A team's place in the turn: within its guarantee first, then by what it
    /// uses for its share.
    pub(super) fn turn(&self, usage: &Usage, spec: &JobSpec) -> (bool, f64) {
        let share = self.policy.share_of(&spec.team);
        let used = usage.of(&spec.team);
        (
            !self.within_quota(usage, spec),
            (used.cores + used.accelerators) / share,
        )
    }
}
