//! Starvation: if a job was accepted long ago and none of its tasks is live or completed, one of
//! them is started before the tasks of all jobs that are not starving.

use std::time::{Duration, Instant};

use super::candidates::{Candidate, SchedulingPass};
use super::view::SchedulerView;
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::{Job, Shard};
use crate::protocol::JobId;
use crate::protocol::users::JobSpec;

/// A job counts as starving if it was accepted longer ago than this and none of its tasks is live
/// or completed. Users count a wait of more than four minutes as an outage.
const STARVATION_WAIT: Duration = Duration::from_secs(150);
/// Maximum number of starving jobs that one pass serves, by starting a task or reserving a machine.
const MAX_STARVING_JOBS: usize = 16;

impl Shard {
    /// Starts one task of each starving job, regardless of priority and fair share, or reserves a
    /// machine for the job if the task cannot be placed. Nothing is preempted for the task.
    pub(super) fn serve_starving_jobs(
        &mut self,
        pass: &mut SchedulingPass,
        wall_ms: u64,
        now: Instant,
    ) {
        let mut starving = self.scheduler_view().starving_jobs(wall_ms, now);
        starving.truncate(MAX_STARVING_JOBS);
        for id in starving {
            if self.place_tasks(&id, 1, pass, now) == 0
                && let Some(job) = self.jobs.get(&id)
            {
                self.scheduler_view().reserve_for_starving(job, pass);
            }
        }
    }
}

impl SchedulerView<'_> {
    /// The starving jobs in the order of their queue keys.
    fn starving_jobs(&self, wall_ms: u64, now: Instant) -> Vec<JobId> {
        let mut starving: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| self.is_starving(job, wall_ms, now))
            .map(|job| job.id.clone())
            .collect();
        self.sort_by_queue_key(&mut starving, wall_ms);
        starving
    }

    fn is_starving(&self, job: &Job, wall_ms: u64, now: Instant) -> bool {
        let age = Duration::from_millis(wall_ms.saturating_sub(job.accepted_at_ms));
        let has_no_live_or_done_task = job.live().is_empty() && job.done().is_empty();
        age > STARVATION_WAIT
            && !job.spec.is_gang()
            && !job.is_crash_looping()
            && job.waiting() > 0
            && has_no_live_or_done_task
            && job.not_before.is_none_or(|at| at <= now)
            && self.placements_reconciled(job)
    }

    /// Reserves the machine with the most free cores among those that the job may use and whose
    /// type is large enough for one of its tasks. Without the reservation, smaller batch tasks
    /// would take the machine's resources as soon as they become free.
    fn reserve_for_starving(&self, job: &Job, pass: &mut SchedulingPass) {
        let spec = &job.spec;
        let emptiest = pass
            .candidates()
            .iter()
            .enumerate()
            .filter(|(_, candidate)| {
                !candidate.is_reserved
                    && candidate.allows(spec)
                    && candidate.is_cost_acceptable(job)
                    && self.fits_empty_machine(candidate, spec)
            })
            .max_by(|(_, a), (_, b)| a.free.cores.total_cmp(&b.free.cores).then(b.id.cmp(&a.id)))
            .map(|(index, _)| index);
        if let Some(index) = emptiest {
            pass.reserve_machine(index);
        }
    }

    /// Whether a task of a job fits on a candidate's machine type while nothing else runs there.
    fn fits_empty_machine(&self, candidate: &Candidate, spec: &JobSpec) -> bool {
        let machine_type = self.machine_types.get(&*candidate.machine_type);
        machine_type
            .is_some_and(|machine_type| Resources::of_machine_type(machine_type).fits_task(spec))
    }
}
