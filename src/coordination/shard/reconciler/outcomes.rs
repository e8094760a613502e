//! What the end of an attempt means for its job and its machine.

use std::time::{Duration, Instant};

use crate::coordination::shard::health::FailedAttempt;
use crate::coordination::shard::{Attempt, Shard};
use crate::protocol::workers::AttemptOutcome;
use crate::protocol::{AttemptId, MachineId, TaskId};

/// Pause before a job's tasks are started again after a worker refused one.
const REFUSED_START_PAUSE: Duration = Duration::from_millis(500);

impl Shard {
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
        if !machine.busy() {
            machine.idle_since.get_or_insert(now);
        }
        let Some(attempt) = machine.attempts.get_mut(key) else {
            return;
        };
        let ended = AttemptSummary::of(attempt, now);
        tracing::debug!(machine = %id, %task, ?outcome, asked = ended.asked, "attempt ended");
        let Some(job) = self.jobs.get(&task.job) else {
            attempt.clearable = true;
            return;
        };
        // A finish stays listed until it is on record; anything else is only
        // of interest to this leader.
        attempt.clearable = outcome != AttemptOutcome::Done || job.final_stage.is_some();
        self.apply_outcome(id, task, outcome, &ended, now);
        self.release(id, task);
        self.finish_if_done(&task.job.clone());
    }

    /// What an attempt's end means for its job.
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
            AttemptOutcome::Error if !ended.asked && job.final_stage.is_none() => {
                let failure = FailedAttempt {
                    job: &task.job,
                    machine: id,
                    began: ended.began,
                    ran: ended.ran.unwrap_or_default(),
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

    fn task_done(&mut self, task: &TaskId, ended: &AttemptSummary, now: Instant) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        self.writes.progress_changed(now);
        if job.spec.is_gang() {
            // All tasks of a gang complete together, also those of which nobody
            // will hear again, since their machine was lost at that moment.
            self.gang_task_done(&task.job);
        } else {
            job.complete(task.index);
            if let Some(ran) = ended.ran.filter(|_| ended.typical) {
                job.ran.note(ran);
            }
        }
        self.task_succeeded(&task.job);
    }
}

/// What is known of an attempt that has ended.
struct AttemptSummary {
    /// It was told to stop.
    asked: bool,
    /// Its run time may be compared with others.
    typical: bool,
    /// When it was decided, or first seen.
    began: Instant,
    /// How long it was seen running.
    ran: Option<Duration>,
}

impl AttemptSummary {
    fn of(attempt: &Attempt, now: Instant) -> Self {
        let since = attempt.running_since;
        Self {
            asked: attempt.stop().is_some(),
            typical: !attempt.overdue && !attempt.adopted,
            began: attempt.began,
            ran: since.map(|since| now.saturating_duration_since(since)),
        }
    }
}
