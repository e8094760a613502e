//! The zone rules of a job: all tasks in one zone, or scattered over several.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::view::SchedulerView;
use crate::coordination::shard::Job;
use crate::protocol::users::JobSpec;

/// How many zones a scattered job's tasks must at least use: no zone may run more
/// than this fraction of them, rounded up.
const SCATTER_ZONES: u32 = 2;

/// Which zones may take another task of a job, given where its tasks may run already.
///
/// `one_zone` jobs stay in the zone of their first task; `scatter` jobs have at most
/// half of their tasks in each zone.
#[derive(Debug, Clone)]
pub(super) struct ZoneConstraint {
    one_zone: bool,
    /// Most tasks in one zone; `None` without a bound.
    max_per_zone: Option<u32>,
    /// Tasks of the job that may exist, by zone; counted only for constrained jobs.
    tasks: BTreeMap<Arc<str>, u32>,
}

impl ZoneConstraint {
    pub(super) fn new(spec: &JobSpec, tasks: BTreeMap<Arc<str>, u32>) -> Self {
        Self {
            one_zone: spec.one_zone,
            max_per_zone: spec.scatter.then(|| spec.tasks.div_ceil(SCATTER_ZONES)),
            tasks,
        }
    }

    /// The constraint of a job without tasks if its first task goes to this zone.
    pub(super) fn pinned_to(spec: &JobSpec, zone: Arc<str>) -> Self {
        Self::new(spec, [(zone, 0)].into())
    }

    /// Whether one more task may go to a zone.
    pub(super) fn admits(&self, zone: &str) -> bool {
        let in_pinned_zone =
            !self.one_zone || self.tasks.is_empty() || self.tasks.contains_key(zone);
        in_pinned_zone && self.remaining(zone) > 0
    }

    /// How many more tasks the scatter rule lets into a zone.
    pub(super) fn remaining(&self, zone: &str) -> u32 {
        let present = self.tasks.get(zone).copied().unwrap_or(0);
        self.max_per_zone
            .map_or(u32::MAX, |most| most.saturating_sub(present))
    }

    /// Counts tasks that were placed in a zone.
    pub(super) fn add(&mut self, zone: &Arc<str>, tasks: u32) {
        if self.one_zone || self.max_per_zone.is_some() {
            *self.tasks.entry(zone.clone()).or_insert(0) += tasks;
        }
    }

    /// Whether the job is bound to one zone and none is chosen yet.
    pub(super) fn must_choose_zone(&self) -> bool {
        self.one_zone && self.tasks.is_empty()
    }

    /// The zones in which tasks of the job may exist.
    pub(super) fn zones_in_use(&self) -> impl Iterator<Item = &Arc<str>> {
        self.tasks.keys()
    }
}

impl SchedulerView<'_> {
    /// The zone constraint of a job as its tasks are placed now.
    pub(super) fn zone_constraint(&self, job: &Job) -> ZoneConstraint {
        ZoneConstraint::new(&job.spec, self.tasks_by_zone(job))
    }

    /// How many tasks of a job with a zone rule may exist in each zone.
    pub(in crate::coordination::shard) fn tasks_by_zone(
        &self,
        job: &Job,
    ) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.scatter {
            for machine in job.live().values().filter_map(|id| self.machines.get(id)) {
                *zones.entry(machine.zone.clone()).or_insert(0) += 1;
            }
        }
        let unreconciled_tasks = job.unreconciled_tasks();
        if job.spec.scatter && unreconciled_tasks > 0 && !self.placements_reconciled(job) {
            // Each zone with unreconciled machines may run all of them.
            let unreconciled: BTreeSet<Arc<str>> = self
                .unreconciled_machines()
                .map(|machine| machine.zone.clone())
                .collect();
            for zone in unreconciled {
                *zones.entry(zone).or_insert(0) += unreconciled_tasks;
            }
        }
        zones
    }
}
