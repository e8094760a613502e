//! The scheduler: decides which waiting task runs on which machine, and which tasks are
//! preempted for others.
//!
//! The shard calls [`Shard::schedule`] once in each reconciliation pass, and
//! [`Shard::reconcile_gangs`] before and after it. The autoscaler asks for queue keys, due times
//! and quota usage. A scheduling pass
//!
//! 1. collects the candidate machines ([`candidates`]),
//! 2. serves starving jobs ([`starvation`]),
//! 3. serves the queues by priority and fair share ([`queue`], [`quota`]), and places tasks one at
//!    a time ([`placement`], [`scoring`], [`zones`]) but gangs as a whole ([`gang`]),
//! 4. preempts tasks for jobs that found too few free resources ([`preemption`]).
//!
//! Decisions are functions of a read-only view ([`view`]), the working state of the pass and the
//! time.
//!
//! The scheduler never communicates with machines or the key-value store: it records launches and
//! stops on the attempts, and the dispatcher sends the commands.

mod candidates;
mod gang;
mod placement;
mod preemption;
mod queue;
mod quota;
mod scoring;
mod starvation;
mod view;
mod zones;

use std::time::Instant;

pub(super) use candidates::is_machine_allowed;
pub use gang::GangAttempt;
pub(super) use queue::QueueKey;
pub(super) use quota::Usage;
pub(super) use view::SchedulerView;

use super::{Attempt, Job, Phase, Placement, Shard};
use crate::protocol::users::JobSpec;
use crate::protocol::{AttemptId, JobId, MachineId, TaskId};
use candidates::SchedulingPass;
use queue::TeamQueues;

/// The most tasks of one job that are placed before fair sharing chooses a team again.
const MAX_TASKS_PER_TURN: usize = 4;
/// The most tasks placed in one pass. The next pass continues, and the leader can handle
/// heartbeats in between.
const MAX_TASKS_PER_PASS: usize = 256;
/// The most waiting gangs for which machines are reserved in one pass.
const MAX_GANG_RESERVATIONS: usize = 16;

/// What one scheduling pass has done so far.
#[derive(Default)]
struct PassProgress {
    placed_tasks: usize,
    gang_reservations: usize,
    /// The jobs with placeable tasks that found no machine with enough free resources: preemption
    /// is considered for them.
    unplaced_jobs: Vec<JobId>,
}

impl PassProgress {
    /// Whether the pass has placed [`MAX_TASKS_PER_PASS`] tasks.
    fn is_full(&self) -> bool {
        self.placed_tasks >= MAX_TASKS_PER_PASS
    }
}

impl Shard {
    /// Makes one scheduling pass: places waiting tasks, and preempts running tasks for those that
    /// found no machine. Does nothing while no task may be started.
    pub(super) fn schedule(&mut self, now: Instant) {
        if !self.may_start_tasks(now) {
            return;
        }
        let by_priority = self.scheduler_view().waiting_by_priority(now);
        if by_priority.is_empty() {
            return;
        }
        self.machines.refresh();
        let mut pass = SchedulingPass::new(self.candidates(now), self.scheduler_view().usage());
        let wall_ms = self.wall_ms(now);
        self.serve_starving_jobs(&mut pass, wall_ms, now);
        let mut progress = PassProgress::default();
        for teams in by_priority.into_values() {
            let queues = TeamQueues::new(teams, self.scheduler_view(), wall_ms);
            self.place_priority(queues, &mut pass, &mut progress, now);
            if progress.is_full() {
                self.needs_pass = true;
                return;
            }
        }
        self.preempt(&progress.unplaced_jobs, &pass, now);
    }

    /// Whether tasks may be started: this leader knows enough of the cancellations, and no change
    /// has gone without a durable snapshot for longer than the policy allows.
    pub(super) fn may_start_tasks(&self, now: Instant) -> bool {
        self.run_deadline.permit(now).is_some()
            && !self.writes.is_stale(now, self.policy.max_staleness)
    }

    /// Places tasks of the waiting jobs of one priority, one team's turn at a time, until no job
    /// finds a machine or the pass is full.
    fn place_priority(
        &mut self,
        mut queues: TeamQueues,
        pass: &mut SchedulingPass,
        progress: &mut PassProgress,
        now: Instant,
    ) {
        while let Some((team, id)) = queues.next(pass.usage(), self.scheduler_view()) {
            let placed = self.place_turn(&id, pass, progress, now);
            progress.placed_tasks += placed;
            if progress.is_full() {
                return;
            }
            let view = self.scheduler_view();
            let job = view.jobs.get(&id);
            let left_to_place = job.map_or(0, |job| view.placeable_tasks(job));
            if placed > 0 && left_to_place > 0 {
                continue;
            }
            queues.pop(&team);
            // Nothing is preempted for a crash-looping job, which fails wherever it runs.
            if left_to_place > 0 && !job.is_some_and(Job::is_crash_looping) {
                progress.unplaced_jobs.push(id);
            }
        }
    }

    /// Places up to [`MAX_TASKS_PER_TURN`] tasks of a job, or all waiting tasks of a gang, for
    /// which machines are reserved if they can't be placed. Returns how many tasks it placed.
    fn place_turn(
        &mut self,
        id: &JobId,
        pass: &mut SchedulingPass,
        progress: &mut PassProgress,
        now: Instant,
    ) -> usize {
        if !self.jobs.get(id).is_some_and(|job| job.spec.is_gang()) {
            return self.place_tasks(id, MAX_TASKS_PER_TURN, pass, now);
        }
        let placed = self.place_gang(id, pass, now);
        if placed == 0 && progress.gang_reservations < MAX_GANG_RESERVATIONS {
            progress.gang_reservations += 1;
            self.reserve_for_gang(id, pass, now);
        }
        placed
    }

    /// Places up to `max_tasks` of a job's waiting tasks, one at a time. Returns how many tasks it
    /// placed.
    fn place_tasks(
        &mut self,
        id: &JobId,
        max_tasks: usize,
        pass: &mut SchedulingPass,
        now: Instant,
    ) -> usize {
        let mut placed = 0;
        while placed < max_tasks {
            let view = self.scheduler_view();
            let Some(job) = view.jobs.get(id) else {
                break;
            };
            let spec = job.spec.clone();
            if view.placeable_tasks(job) == 0 || !pass.usage().within_limit(view.policy, &spec) {
                break;
            }
            let all_reconciled = view.placements_reconciled(job);
            pass.load_image_states(&spec.image, view);
            let Some(index) = view.choose_candidate(job, pass) else {
                break;
            };
            let job = self.jobs.get_mut(id);
            let Some(task) = job.and_then(|job| job.next_waiting(all_reconciled)) else {
                break;
            };
            pass.record_placement(index, &spec);
            let machine = pass.candidates()[index].id.clone();
            let attempt_number = self.new_attempt_number();
            self.launch(id, task, &machine, attempt_number, now);
            placed += 1;
        }
        placed
    }

    /// Records the launch of an attempt of a task on a machine. The dispatcher sends the command.
    fn launch(
        &mut self,
        id: &JobId,
        index: u32,
        machine_id: &MachineId,
        attempt_number: u64,
        now: Instant,
    ) {
        let (Some(job), Some(machine)) = (self.jobs.get_mut(id), self.machines.get_mut(machine_id))
        else {
            return;
        };
        let placement = Placement {
            machine: machine_id.clone(),
            attempt_number,
        };
        job.add_placement(index, placement);
        machine.note_busy();
        let task = TaskId {
            job: id.clone(),
            index,
        };
        tracing::debug!(%task, attempt = attempt_number, machine = %machine_id, "task launched");
        machine.attempts.insert(
            AttemptId {
                task,
                number: attempt_number,
            },
            Attempt::new(Some(job.spec.clone()), Phase::Launching, now),
        );
        self.writes.progress_changed(now);
    }
}

/// Queries for the autoscaler, in addition to [`SchedulerView::usage`] and
/// [`SchedulerView::tasks_by_zone`].
impl SchedulerView<'_> {
    /// Whether one more task of a job stays within its team's quota limit.
    pub(super) fn within_quota_limit(&self, usage: &Usage, spec: &JobSpec) -> bool {
        usage.within_limit(self.policy, spec)
    }

    /// A job's position in the queue among the jobs of its priority.
    pub(super) fn queue_key(&self, job: &Job, wall_ms: u64) -> QueueKey {
        QueueKey::for_job(job, self.policy, wall_ms)
    }

    /// The first due time of a job at or after `from_ms`, in milliseconds since the Unix epoch;
    /// see [`queue::next_due`].
    pub(super) fn next_due(&self, job: &Job, from_ms: u64) -> Option<u64> {
        queue::next_due(job, self.policy, from_ms)
    }
}

#[cfg(test)]
mod tests;
