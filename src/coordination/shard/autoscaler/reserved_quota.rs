//! Reserved quota: capacity for what teams have a guaranteed quota of and do not use.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use super::arrivals::ClassHistory;
use super::demand::{Demand, OfferFilter};
use super::view::AutoscalerView;
use crate::coordination::shard::Job;
use crate::coordination::shard::scheduler::Usage;
use crate::protocol::JobId;
use crate::protocol::users::{JobKind, JobSpec};

/// Most tasks for which one team's quota is reserved.
const MAX_RESERVED_TASKS: f64 = 1e5;

/// The teams that have unfinished jobs.
pub(super) fn teams_with_work(jobs: &BTreeMap<JobId, Job>) -> BTreeSet<&str> {
    // A crash-looping job has no use for more capacity than one attempt takes.
    let unfinished = jobs
        .values()
        .filter(|job| job.final_stage.is_none() && !job.is_crash_looping());
    unfinished.map(|job| &*job.spec.team).collect()
}

impl AutoscalerView<'_> {
    /// Whether a team has work, or had some recently. A new leader does not know of jobs that
    /// ended before its term, so the start of the term counts as work.
    fn had_work_recently(&self, team: &str, now: Instant) -> bool {
        let last = self.autoscaler.last_work(team).unwrap_or(self.term_began);
        now.saturating_duration_since(last) <= self.policy.quota_hold
    }

    /// The demands for the unused quota of the teams that had work recently: they need not
    /// wait for machines to boot either.
    pub(super) fn quota_demands(&self, usage: &Usage, now: Instant) -> Vec<Demand> {
        let mut demands = Vec::new();
        let teams = self.policy.teams.iter();
        for (name, team) in teams.filter(|(name, _)| self.had_work_recently(name, now)) {
            let unused = team.cores - usage.of(name).cores;
            if unused <= 0.0 {
                continue;
            }
            let Some(spec) = self.typical_spec(name) else {
                continue;
            };
            let count = (unused / spec.cores).floor();
            let count = count.clamp(0.0, MAX_RESERVED_TASKS) as u32;
            demands.push(Demand::in_advance(spec, count, OfferFilter::OnDemandFirst));
        }
        demands
    }

    /// The job to reserve a team's quota for: one of its own rather than another team's, and a
    /// job array rather than a service.
    fn typical_spec(&self, team: &str) -> Option<Arc<JobSpec>> {
        let classes = self.autoscaler.classes.values();
        let specs = classes.map(ClassHistory::spec);
        let rank = |spec: &&Arc<JobSpec>| {
            let batch = spec.kind == JobKind::Batch;
            (spec.team != *team, Reverse(batch))
        };
        specs
            .filter(|spec| spec.cores > 0.0)
            .min_by_key(rank)
            .cloned()
    }
}
