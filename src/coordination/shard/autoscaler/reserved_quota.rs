//! Reserved quota: capacity for the part of each team's guaranteed cores that it does not use.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use super::arrivals::ClassArrivals;
use super::demand::{Demand, OfferFilter};
use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::coordination::shard::scheduler::Usage;
use crate::protocol::JobId;
use crate::protocol::users::{JobKind, JobSpec};

/// Most tasks for which capacity is reserved for one team.
const MAX_RESERVED_TASKS: f64 = 1e5;

/// The teams that have unfinished jobs other than crash-looping ones.
pub(super) fn teams_with_work(jobs: &BTreeMap<JobId, Job>) -> BTreeSet<&str> {
    // A crash-looping job needs no more capacity than its few attempts at a time use.
    let unfinished = jobs
        .values()
        .filter(|job| job.final_stage.is_none() && !job.is_crash_looping());
    unfinished.map(|job| &*job.spec.team).collect()
}

impl AutoscalerView<'_> {
    /// Whether a team has an unfinished job or had one recently. A new leader does not know of jobs
    /// that ended before its term, so it treats the start of its term as the last work of every
    /// team.
    fn had_work_recently(&self, team: &str, now: Instant) -> bool {
        let last_work = self.autoscaler.last_work(team).unwrap_or(self.term_began);
        now.saturating_duration_since(last_work) <= self.policy.quota_hold
    }

    /// Demands for the unused guaranteed cores of the teams that had work recently, so that their
    /// next jobs need not wait for machines to boot.
    pub(super) fn quota_demands(&self, usage: &Usage, now: Instant) -> Vec<Demand> {
        let mut demands = Vec::new();
        let teams = self.policy.teams.iter();
        for (name, team) in teams.filter(|(name, _)| self.had_work_recently(name, now)) {
            let unused_cores = team.cores - usage.team_usage(name).cores;
            if unused_cores <= 0.0 {
                continue;
            }
            let Some(spec) = self.representative_spec(name) else {
                continue;
            };
            let tasks = (unused_cores / spec.cores).floor();
            let tasks = tasks.clamp(0.0, MAX_RESERVED_TASKS) as u32;
            demands.push(Demand::for_future_jobs(
                spec,
                tasks,
                OfferFilter::OnDemandFirst,
            ));
        }
        demands
    }

    /// The job specification for which a team's quota is reserved. Specifications of the team
    /// itself are preferred to those of other teams, then batch jobs to services.
    fn representative_spec(&self, team: &str) -> Option<Arc<JobSpec>> {
        let classes = self.autoscaler.arrivals_by_class.values();
        let specs = classes.map(ClassArrivals::latest_spec);
        let rank = |spec: &&Arc<JobSpec>| {
            let is_batch = spec.kind == JobKind::Batch;
            (spec.team != *team, Reverse(is_batch))
        };
        specs
            .filter(|spec| spec.cores > 0.0)
            .min_by_key(rank)
            .cloned()
    }
}
