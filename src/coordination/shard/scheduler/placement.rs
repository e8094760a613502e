//! Placement of one task: determines which candidates are eligible and chooses one of them.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::candidates::{Candidate, ImageState, SchedulingPass};
use super::view::SchedulerView;
use super::zones::ZoneConstraint;
use crate::coordination::shard::{Job, Machine};
use crate::protocol::users::{JobKind, JobSpec};

/// Only jobs with at least this many tasks seed their image on a machine without it.
const MIN_TASKS_TO_SEED_IMAGE: u32 = 8;

impl SchedulerView<'_> {
    /// The index of the candidate on which a job's next task is placed. `None` if no candidate is
    /// eligible, or if a service gets a better one by preemption.
    pub(super) fn choose_candidate(&self, job: &Job, pass: &SchedulingPass) -> Option<usize> {
        self.image_seed_candidate(job, pass)
            .or_else(|| self.best_fitting_candidate(job, pass))
    }

    /// The index of the candidate on which a job's image is seeded. The first task of a job with
    /// many tasks goes to the emptiest machine that lacks the image, so that later tasks find the
    /// image cached there. The image pull delays the start of a small share of the job only.
    fn image_seed_candidate(&self, job: &Job, pass: &SchedulingPass) -> Option<usize> {
        let spec = &job.spec;
        let unconstrained = spec.kind == JobKind::Batch && !spec.one_zone && !spec.scatter;
        let has_started = !job.live().is_empty() || !job.done().is_empty();
        if !self.policy.holds_capacity_for_quota()
            || !unconstrained
            || spec.tasks < MIN_TASKS_TO_SEED_IMAGE
            || has_started
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

    /// The index of the eligible candidate with the best score; `None` if none is eligible, or if
    /// a service gets a better one by preemption.
    fn best_fitting_candidate(&self, job: &Job, pass: &SchedulingPass) -> Option<usize> {
        let spec = &job.spec;
        let zone_constraint = self.zone_constraint(job);
        let pinned_zone = if zone_constraint.must_choose_zone() {
            Some(zone_with_most_capacity(spec, pass.candidates())?)
        } else {
            zone_constraint
                .zones_in_use()
                .next()
                .filter(|_| spec.one_zone)
        };
        // If the job's tasks have failed on as many machines as there are, none is avoided.
        let avoid_failed = job.failures.machine_count() < pass.candidates().len();
        let keep_with_services = self.must_stay_with_services(job, &zone_constraint, pass);
        let eligible = |candidate: &Candidate| {
            candidate.fits(spec)
                && candidate.allows(spec)
                && candidate.is_cost_acceptable(job)
                && !(keep_with_services && candidate.is_releasable)
                && pinned_zone.is_none_or(|zone| *zone == candidate.zone)
                && zone_constraint.admits(&candidate.zone)
                && !(avoid_failed && job.failures.has_failed_on(&candidate.id))
        };
        self.best_candidate(spec, pass, eligible)
            .filter(|index| !self.prefers_preemption(job, *index, pass))
    }

    /// Whether a service must not use releasable machines, because a machine that is not
    /// releasable has enough resources for it, or would after the preemption of one task. Scale-in
    /// could otherwise no longer release the machine that the service uses.
    pub(super) fn must_stay_with_services(
        &self,
        job: &Job,
        zone_constraint: &ZoneConstraint,
        pass: &SchedulingPass,
    ) -> bool {
        let spec = &job.spec;
        spec.kind == JobKind::Service
            && !self.policy.holds_capacity_for_quota()
            && pass.candidates().iter().any(|candidate| {
                !candidate.is_releasable
                    && candidate.allows(spec)
                    && zone_constraint.admits(&candidate.zone)
                    && !job.failures.has_failed_on(&candidate.id)
                    && (candidate.free.fits_task(spec) || self.can_preempt_one_for(candidate, spec))
            })
    }

    /// Whether a service would miss its start objective on a candidate because of the image pull,
    /// while preempting a lower-priority task would give it a machine on which it does not.
    fn prefers_preemption(&self, job: &Job, index: usize, pass: &SchedulingPass) -> bool {
        let spec = &job.spec;
        // Tasks with a zone rule use whatever free resources there are, since the rule already
        // limits the choice.
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

    /// Whether stopping one lower-priority task on a candidate frees enough cores and memory for a
    /// task of a job.
    fn can_preempt_one_for(&self, candidate: &Candidate, spec: &JobSpec) -> bool {
        let machine = self.machines.get(&candidate.id);
        machine.is_some_and(|machine| runs_preemptible_task(machine, spec))
    }
}

/// Whether a machine runs a task of lower priority that uses at least as many cores and as much
/// memory as a task of this job.
fn runs_preemptible_task(machine: &Machine, spec: &JobSpec) -> bool {
    machine.load.tasks.iter().any(|(other, _)| {
        other.priority < spec.priority && other.cores >= spec.cores && other.mem_gb >= spec.mem_gb
    })
}

/// The zone in which the most tasks of a job fit; `None` if no task fits in any zone.
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
