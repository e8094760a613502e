//! Placement of one task: which candidates are eligible, and which of them it gets.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::candidates::{Candidate, ImageState, SchedulingPass};
use super::view::SchedulerView;
use super::zones::ZoneConstraint;
use crate::coordination::shard::{Job, Machine};
use crate::protocol::users::{JobKind, JobSpec};

/// Jobs with at least this many tasks may seed their image on a machine without it.
const MIN_TASKS_TO_SEED_IMAGE: u32 = 8;

impl SchedulerView<'_> {
    /// The candidate for a job's next task, by index; `None` if none is eligible, or if
    /// preemption gives a service a better one.
    pub(super) fn choose_candidate(&self, job: &Job, pass: &SchedulingPass) -> Option<usize> {
        self.image_seed_candidate(job, pass)
            .or_else(|| self.best_fitting_candidate(job, pass))
    }

    /// Where to seed an image: the first task of a job with many goes to the emptiest
    /// machine that lacks the image, so that later tasks find it cached there. It delays
    /// the start of a small share of the job.
    fn image_seed_candidate(&self, job: &Job, pass: &SchedulingPass) -> Option<usize> {
        let spec = &job.spec;
        let unconstrained = spec.kind == JobKind::Batch && !spec.one_zone && !spec.scatter;
        let begun = !job.live().is_empty() || !job.done().is_empty();
        if !self.policy.holds_capacity()
            || !unconstrained
            || spec.tasks < MIN_TASKS_TO_SEED_IMAGE
            || begun
        {
            return None;
        }
        pass.candidates()
            .iter()
            .enumerate()
            .filter(|(index, candidate)| {
                candidate.allows(spec)
                    && candidate.fits(spec)
                    && pass.image_state(spec, *index) == ImageState::Absent
            })
            .max_by(|(_, a), (_, b)| a.free.cores.total_cmp(&b.free.cores))
            .map(|(index, _)| index)
    }

    fn best_fitting_candidate(&self, job: &Job, pass: &SchedulingPass) -> Option<usize> {
        let spec = &job.spec;
        let zones = self.zone_constraint(job);
        let pinned_zone = if zones.must_choose_zone() {
            Some(zone_with_most_capacity(spec, pass.candidates())?)
        } else {
            zones.zones_in_use().next().filter(|_| spec.one_zone)
        };
        let avoid_failed = job.failures.machine_count() < pass.candidates().len();
        let keep_with_services = self.must_stay_with_services(job, &zones, pass);
        let eligible = |candidate: &Candidate| {
            candidate.fits(spec)
                && candidate.allows(spec)
                && candidate.cost_acceptable(job)
                && !(keep_with_services && candidate.releasable)
                && pinned_zone.is_none_or(|zone| *zone == candidate.zone)
                && zones.admits(&candidate.zone)
                && !(avoid_failed && job.failures.has_failed_on(&candidate.id))
        };
        self.best_candidate(spec, pass, eligible)
            .filter(|index| !self.prefers_preemption(job, *index, pass))
    }

    /// Whether a service must leave releasable machines alone: one that runs services
    /// already has the resources for it, or would by preemption. Scale-in could otherwise no longer
    /// release the machine.
    pub(super) fn must_stay_with_services(
        &self,
        job: &Job,
        zones: &ZoneConstraint,
        pass: &SchedulingPass,
    ) -> bool {
        let spec = &job.spec;
        spec.kind == JobKind::Service
            && !self.policy.holds_capacity()
            && pass.candidates().iter().any(|candidate| {
                !candidate.releasable
                    && candidate.allows(spec)
                    && zones.admits(&candidate.zone)
                    && !job.failures.has_failed_on(&candidate.id)
                    && (candidate.free.fits_task(spec) || self.can_preempt_one_for(candidate, spec))
            })
    }

    /// Whether a service would miss its start objective on a candidate, pulling its image,
    /// while preempting lower-priority work would give it a machine that has the image.
    fn prefers_preemption(&self, job: &Job, index: usize, pass: &SchedulingPass) -> bool {
        let spec = &job.spec;
        // Tasks with a zone rule use the free resources that there are: the rule already
        // limits their choice.
        let unconstrained = !spec.one_zone && (!spec.scatter || spec.tasks == 1);
        spec.kind == JobKind::Service
            && unconstrained
            && self.misses_start_objective(spec, pass, index)
            && pass
                .candidates()
                .iter()
                .enumerate()
                .any(|(other, candidate)| {
                    candidate.allows(spec)
                        && !self.misses_start_objective(spec, pass, other)
                        && self.can_preempt_one_for(candidate, spec)
                })
    }

    /// Whether stopping one lower-priority task on a candidate frees enough for a task.
    fn can_preempt_one_for(&self, candidate: &Candidate, spec: &JobSpec) -> bool {
        let machine = self.machines.get(&candidate.id);
        machine.is_some_and(|machine| runs_replaceable_task(machine, spec))
    }
}

/// Whether a machine runs a task of lower priority that uses at least the cores and the
/// memory of a task of this job.
fn runs_replaceable_task(machine: &Machine, spec: &JobSpec) -> bool {
    machine.load.tasks.iter().any(|(other, _)| {
        other.priority < spec.priority && other.cores >= spec.cores && other.mem_gb >= spec.mem_gb
    })
}

/// The zone in which most tasks of a job fit; `None` if none fits anywhere.
fn zone_with_most_capacity<'a>(
    spec: &JobSpec,
    candidates: &'a [Candidate],
) -> Option<&'a Arc<str>> {
    let mut fitting_tasks: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    for candidate in candidates.iter().filter(|c| c.allows(spec)) {
        *fitting_tasks.entry(&candidate.zone).or_default() += candidate.free.fitting_tasks(spec);
    }
    fitting_tasks
        .into_iter()
        .filter(|(_, tasks)| *tasks > 0)
        .max_by_key(|(_, tasks)| *tasks)
        .map(|(zone, _)| zone)
}
