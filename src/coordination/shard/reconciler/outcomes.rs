//! Effects of an attempt's outcome on its job and machine.
//!
//! The reconciliation of a heartbeat's task list calls this module once for each attempt that
//! has ended.

use std::time::{Duration, Instant};

use crate::coordination::shard::health::FailedAttempt;
use crate::coordination::shard::{Attempt, Shard};
use crate::protocol::workers::AttemptOutcome;
use crate::protocol::{AttemptId, MachineId, TaskId};

/// Time after a worker refused to start a task during which no task of its job is started.
const REFUSED_START_PAUSE: Duration = Duration::from_millis(500);

impl Shard {
    /// Handles the end of an attempt, when a heartbeat lists it as ended for the first time.
    pub(super) fn attempt_ended(
        &mut self,
        machine_id: &MachineId,
        attempt_id: &AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let task = &attempt_id.task;
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        machine.note_idle_if_unused(now);
        let Some(attempt) = machine.attempts.get_mut(attempt_id) else {
            return;
        };
        let summary = AttemptSummary::of(attempt, now);
        tracing::debug!(machine = %machine_id, %task, ?outcome, was_stopped = summary.was_stopped, "attempt ended");
        let Some(job) = self.jobs.get(&task.job) else {
            attempt.clearable = true;
            return;
        };
        // The worker must keep a completion until a snapshot records it, because the next
        // leader may need it. Any other outcome matters only to this leader.
        attempt.clearable = outcome != AttemptOutcome::Done || job.final_stage.is_some();
        self.apply_outcome(machine_id, task, outcome, &summary, now);
        self.remove_placement(machine_id, attempt_id);
        self.finish_if_done(&task.job.clone());
    }

    /// Applies an outcome to the attempt's job.
    fn apply_outcome(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        outcome: AttemptOutcome,
        summary: &AttemptSummary,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match outcome {
            AttemptOutcome::Done => self.task_done(task, summary, now),
            AttemptOutcome::Error if !summary.was_stopped && job.final_stage.is_none() => {
                let failure = FailedAttempt {
                    job: &task.job,
                    machine: machine_id,
                    created_at: summary.created_at,
                    run_time: summary.run_time.unwrap_or_default(),
                };
                self.attempt_failed(&failure, now);
            }
            AttemptOutcome::NoRoom
            | AttemptOutcome::Busy
            | AttemptOutcome::Unknown
            | AttemptOutcome::Other => {
                job.not_before = Some(now + REFUSED_START_PAUSE);
            }
            AttemptOutcome::GangIncomplete => self.delay_gang_retry(&task.job, now),
            AttemptOutcome::Error | AttemptOutcome::Stopped | AttemptOutcome::GangPeerLost => {}
        }
    }

    /// Records that a task has completed.
    fn task_done(&mut self, task: &TaskId, summary: &AttemptSummary, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        self.writes.progress_changed(now);
        if job.spec.is_gang() {
            // The tasks of a gang complete together, including tasks whose machines are lost
            // before they report the completion.
            self.complete_gang(&task.job);
        } else {
            job.complete(task.index);
            if let Some(run_time) = summary.run_time.filter(|_| summary.is_comparable) {
                job.run_times.add(run_time);
            }
        }
        self.task_succeeded(&task.job);
    }
}

/// Properties of an ended attempt that its outcome is evaluated with.
struct AttemptSummary {
    /// Whether a stop was requested for the attempt: an error then does not count as a failure.
    was_stopped: bool,
    /// Whether its run time may be compared with those of other attempts of its job.
    is_comparable: bool,
    /// See [`Attempt::created_at`].
    created_at: Instant,
    /// Time since a heartbeat first listed the attempt as running; None if none did.
    run_time: Option<Duration>,
}

impl AttemptSummary {
    fn of(attempt: &Attempt, now: Instant) -> Self {
        let running_since = attempt.running_since;
        Self {
            was_stopped: attempt.stop_grace().is_some(),
            is_comparable: !attempt.is_overdue && !attempt.is_adopted,
            created_at: attempt.created_at,
            run_time: running_since.map(|since| now.saturating_duration_since(since)),
        }
    }
}
