//! Outcomes of attempts, and what they mean for the job and the machine.

use std::time::{Duration, Instant};

use crate::coordination::shard::health::FailedAttempt;
use crate::coordination::shard::{Attempt, Shard};
use crate::protocol::workers::AttemptOutcome;
use crate::protocol::{AttemptId, MachineId, TaskId};

/// Pause before tasks of a job are started again after a worker refused to start one.
const REFUSED_START_PAUSE: Duration = Duration::from_millis(500);

impl Shard {
    /// A heartbeat lists an attempt as ended for the first time.
    pub(super) fn attempt_ended(
        &mut self,
        id: &MachineId,
        key: &AttemptId,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let task = &key.task;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.note_idle_if_unused(now);
        let Some(attempt) = machine.attempts.get_mut(key) else {
            return;
        };
        let ended = AttemptSummary::of(attempt, now);
        tracing::debug!(machine = %id, %task, ?outcome, was_stopped = ended.was_stopped, "attempt ended");
        let Some(job) = self.jobs.get(&task.job) else {
            attempt.clearable = true;
            return;
        };
        // A worker must remember a completion until a snapshot records it, for the next
        // leader. Any other outcome matters to this leader only.
        attempt.clearable = outcome != AttemptOutcome::Done || job.final_stage.is_some();
        self.apply_outcome(id, task, outcome, &ended, now);
        self.release(id, task);
        self.finish_if_done(&task.job.clone());
    }

    /// Applies an outcome to the attempt's job.
    fn apply_outcome(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        outcome: AttemptOutcome,
        ended: &AttemptSummary,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match outcome {
            AttemptOutcome::Done => self.task_done(task, ended, now),
            AttemptOutcome::Error if !ended.was_stopped && job.final_stage.is_none() => {
                let failure = FailedAttempt {
                    job: &task.job,
                    machine: id,
                    began: ended.began,
                    run_time: ended.ran.unwrap_or_default(),
                };
                self.attempt_failed(&failure, now);
            }
            AttemptOutcome::NoRoom
            | AttemptOutcome::Busy
            | AttemptOutcome::Unknown
            | AttemptOutcome::Other => {
                job.not_before = Some(now + REFUSED_START_PAUSE);
            }
            AttemptOutcome::GangIncomplete => self.gang_came_apart(&task.job, now),
            AttemptOutcome::Error | AttemptOutcome::Stopped | AttemptOutcome::GangPeerLost => {}
        }
    }

    /// A task has completed.
    fn task_done(&mut self, task: &TaskId, ended: &AttemptSummary, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        self.writes.progress_changed(now);
        if job.spec.is_gang() {
            // The tasks of a gang complete together, also those on machines that are lost
            // before they report it.
            self.gang_task_done(&task.job);
        } else {
            job.complete(task.index);
            if let Some(ran) = ended.ran.filter(|_| ended.is_comparable) {
                job.run_times.add(ran);
            }
        }
        self.task_succeeded(&task.job);
    }
}

/// What an ended attempt leaves to be evaluated.
struct AttemptSummary {
    /// Whether a stop was decided for it: an error is then no failure.
    was_stopped: bool,
    /// Whether its run time may be compared with others of its job.
    is_comparable: bool,
    /// When it was decided, or first listed by a heartbeat.
    began: Instant,
    /// How long heartbeats listed it as running.
    ran: Option<Duration>,
}

impl AttemptSummary {
    fn of(attempt: &Attempt, now: Instant) -> Self {
        let since = attempt.running_since;
        Self {
            was_stopped: attempt.stop().is_some(),
            is_comparable: !attempt.overdue && !attempt.adopted,
            began: attempt.began,
            ran: since.map(|since| now.saturating_duration_since(since)),
        }
    }
}
