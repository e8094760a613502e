//! The zone rules of a job: all its tasks in one zone, or scattered over several zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::view::SchedulerView;
use crate::coordination::shard::Job;
use crate::protocol::users::JobSpec;

/// The least number of zones that a scattered job uses: each zone may run at most the number of
/// its tasks divided by this, rounded up.
const SCATTER_MIN_ZONES: u32 = 2;

/// The zones in which another task of a job may be placed, given where its tasks may run already.
///
/// All tasks of a `one_zone` job go to the zone of its first task. A `scatter` job has at most
/// half of its tasks, rounded up, in each zone.
#[derive(Debug, Clone)]
pub(super) struct ZoneConstraint {
    one_zone: bool,
    /// The most tasks of the job in one zone; `None` if there is no limit.
    max_per_zone: Option<u32>,
    /// How many tasks of the job may exist in each zone. Counted only for jobs with a zone rule.
    tasks_by_zone: BTreeMap<Arc<str>, u32>,
}

impl ZoneConstraint {
    /// Creates the constraint of a job, given how many of its tasks may exist in each zone.
    pub(super) fn new(spec: &JobSpec, tasks_by_zone: BTreeMap<Arc<str>, u32>) -> Self {
        Self {
            one_zone: spec.one_zone,
            max_per_zone: spec.scatter.then(|| spec.tasks.div_ceil(SCATTER_MIN_ZONES)),
            tasks_by_zone,
        }
    }

    /// The constraint of a job without live tasks, if its first task is placed in this zone.
    pub(super) fn pinned_to(spec: &JobSpec, zone: Arc<str>) -> Self {
        Self::new(spec, [(zone, 0)].into())
    }

    /// Whether one more task of the job may be placed in a zone.
    pub(super) fn admits(&self, zone: &str) -> bool {
        let in_pinned_zone = !self.one_zone
            || self.tasks_by_zone.is_empty()
            || self.tasks_by_zone.contains_key(zone);
        in_pinned_zone && self.remaining(zone) > 0
    }

    /// How many more tasks of the job the scatter rule allows in a zone; `u32::MAX` without that
    /// rule.
    pub(super) fn remaining(&self, zone: &str) -> u32 {
        let present = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        self.max_per_zone
            .map_or(u32::MAX, |max| max.saturating_sub(present))
    }

    /// Adds tasks of the job that are placed in a zone.
    pub(super) fn add(&mut self, zone: &Arc<str>, tasks: u32) {
        if self.one_zone || self.max_per_zone.is_some() {
            *self.tasks_by_zone.entry(zone.clone()).or_insert(0) += tasks;
        }
    }

    /// Whether all tasks of the job have to be in one zone, and none is chosen yet.
    pub(super) fn must_choose_zone(&self) -> bool {
        self.one_zone && self.tasks_by_zone.is_empty()
    }

    /// The zones in which tasks of the job may exist.
    pub(super) fn zones_in_use(&self) -> impl Iterator<Item = &Arc<str>> {
        self.tasks_by_zone.keys()
    }
}

impl SchedulerView<'_> {
    /// The zone constraint of a job, given where its tasks are placed now.
    pub(super) fn zone_constraint(&self, job: &Job) -> ZoneConstraint {
        ZoneConstraint::new(&job.spec, self.tasks_by_zone(job))
    }

    /// How many tasks of a job may exist in each zone; empty for a job without a zone rule.
    pub(in crate::coordination::shard) fn tasks_by_zone(
        &self,
        job: &Job,
    ) -> BTreeMap<Arc<str>, u32> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.scatter {
            for machine in job.live().machines().filter_map(|id| self.machines.get(id)) {
                *zones.entry(machine.zone.clone()).or_insert(0) += 1;
            }
        }
        let unreconciled_tasks = job.unreconciled_tasks();
        if job.spec.scatter && unreconciled_tasks > 0 && !self.placements_reconciled(job) {
            // Any zone with unreconciled machines may run all the unreconciled tasks.
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
