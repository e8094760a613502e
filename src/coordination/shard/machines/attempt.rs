//! Attempts to run a task on a machine.
//!
//! The scheduler creates attempts, the reconciler updates them from heartbeats, and the
//! dispatch component sends the commands that [`Attempt`] reports as needed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::worker_leases::launch_fence::LaunchFence;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{AttemptOutcome, TaskState, TaskStatus};

/// Stage of an attempt's life, as the worker last reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The scheduler decided the launch; no heartbeat has listed the attempt yet.
    Launching,
    /// The worker fetches the task's image.
    Fetching,
    /// The task waits for the other tasks of its gang.
    Waiting,
    /// The task is running.
    Running,
    /// The task saves its progress before it stops.
    Saving,
    /// The attempt has ended with this outcome.
    Ended(AttemptOutcome),
}

impl Phase {
    /// Whether the machine is known to have the task's image when an attempt on it is in this
    /// phase.
    pub fn has_image(self) -> bool {
        matches!(
            self,
            Self::Waiting | Self::Running | Self::Saving | Self::Ended(AttemptOutcome::Done)
        )
    }
}

impl From<&TaskStatus> for Phase {
    fn from(status: &TaskStatus) -> Self {
        match status.state {
            TaskState::Fetching => Self::Fetching,
            TaskState::Waiting => Self::Waiting,
            TaskState::Running => Self::Running,
            TaskState::Saving => Self::Saving,
            TaskState::Ended => Self::Ended(status.outcome.unwrap_or(AttemptOutcome::Other)),
        }
    }
}

/// A request to stop an attempt.
#[derive(Debug, Clone, Copy)]
struct StopRequest {
    /// Time that the task gets to save its progress.
    grace: Duration,
    /// Whether the worker has executed a stop command with at most this grace period.
    is_executed: bool,
}

/// One attempt to run a task on a machine.
#[derive(Debug)]
pub struct Attempt {
    /// The job's description, which says what resources the attempt uses. None for an attempt
    /// that an earlier leader launched for a job that has finished, until the record of the
    /// job is read.
    pub spec: Option<Arc<JobSpec>>,
    /// The phase that the worker last reported, or [`Phase::Launching`].
    pub phase: Phase,
    /// When the scheduler decided the launch, or, for an attempt of an earlier leader, when a
    /// heartbeat first listed it.
    pub created_at: Instant,
    /// When the attempt entered its present phase.
    pub phase_since: Instant,
    /// When a heartbeat first listed the attempt as running.
    pub running_since: Option<Instant>,
    /// Whether an earlier leader launched the attempt: it may have run for longer than this
    /// leader has observed.
    pub is_adopted: bool,
    /// Whether a launch command for the attempt was sent and got no answer. The command may
    /// arrive at any time until the agent epoch ends, so the worker must not be told to forget
    /// the attempt: a worker that has forgotten it would start the task again.
    pub has_unanswered_launch: bool,
    /// Under which tokens launches of the attempt were sent.
    pub launch_fence: LaunchFence,
    /// Whether the outstanding batch of the machine holds a command for the attempt.
    pub has_command_in_flight: bool,
    /// The requested stop with the shortest grace period.
    stop: Option<StopRequest>,
    /// Whether the worker may forget the attempt once it has ended: its outcome is recorded,
    /// or no other leader needs it.
    pub clearable: bool,
    /// Whether the attempt has run far longer than other attempts of its job and was counted
    /// against its machine.
    pub is_overdue: bool,
}

impl Attempt {
    /// Creates an attempt that is in `phase` from `now` on.
    pub fn new(spec: Option<Arc<JobSpec>>, phase: Phase, now: Instant) -> Self {
        Self {
            spec,
            phase,
            created_at: now,
            phase_since: now,
            running_since: None,
            is_adopted: false,
            has_unanswered_launch: false,
            launch_fence: LaunchFence::default(),
            has_command_in_flight: false,
            stop: None,
            clearable: false,
            is_overdue: false,
        }
    }

    /// Creates an attempt that an earlier leader launched and a heartbeat lists at `now`.
    pub fn new_adopted(now: Instant) -> Self {
        Self {
            is_adopted: true,
            ..Self::new(None, Phase::Launching, now)
        }
    }

    /// Whether the worker reported that the attempt has ended.
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Changes the phase to the one that a heartbeat lists.
    pub fn enter_phase(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.phase_since = now;
        if phase == Phase::Running {
            self.running_since.get_or_insert(now);
        }
    }

    /// The grace period of the requested stop; None if no stop was requested.
    pub fn stop_grace(&self) -> Option<Duration> {
        self.stop.map(|stop| stop.grace)
    }

    /// Requests a stop. A request with a shorter grace period replaces an earlier one with a
    /// longer period; an attempt that has ended ignores the request.
    pub fn request_stop(&mut self, grace: Duration) {
        if self.ended() || self.stop.is_some_and(|stop| stop.grace <= grace) {
            return;
        }
        self.stop = Some(StopRequest {
            grace,
            is_executed: false,
        });
    }

    /// Records that the worker executed a stop command with this grace period.
    pub fn note_stop_executed(&mut self, grace: Duration) {
        if let Some(stop) = &mut self.stop {
            stop.is_executed = stop.grace >= grace;
        }
    }

    /// Run time that is lost if the attempt is stopped now: all of it for a task without
    /// checkpoints, and at most the time that saving takes for a task with them.
    pub fn work_at_risk(&self, now: Instant) -> Duration {
        let Some(since) = self.running_since else {
            return Duration::ZERO;
        };
        let run_time = now.saturating_duration_since(since);
        match &self.spec {
            Some(spec) if spec.checkpoint_s > 0.0 => run_time.min(spec.save_time()),
            _ => run_time,
        }
    }

    /// Whether the attempt can be removed because its launch was never sent and a stop was
    /// requested.
    pub fn is_withdrawable(&self) -> bool {
        self.phase == Phase::Launching
            && self.stop.is_some()
            && !self.has_command_in_flight
            && !self.has_unanswered_launch
    }

    /// Whether the attempt's launch may still arrive although a stop was requested.
    pub fn is_launch_revoked(&self) -> bool {
        self.phase == Phase::Launching && self.has_unanswered_launch && self.stop.is_some()
    }

    /// Whether a launch command has to be sent for the attempt.
    pub fn needs_launch(&self) -> bool {
        self.phase == Phase::Launching && !self.has_unanswered_launch && self.stop.is_none()
    }

    /// Whether a launch or stop command for the attempt has to be sent and no command for it
    /// is in flight.
    pub fn needs_command(&self) -> bool {
        !self.has_command_in_flight && (self.needs_launch() || self.stop_to_send().is_some())
    }

    /// The grace period of the stop command that has to be sent; None if no stop was requested,
    /// if the worker has executed it, or if no heartbeat has listed the attempt yet.
    pub fn stop_to_send(&self) -> Option<Duration> {
        if self.ended() || self.phase == Phase::Launching {
            return None;
        }
        let stop = self.stop.filter(|stop| !stop.is_executed)?;
        Some(stop.grace)
    }

    /// Whether the worker is to be told now to forget the attempt, in a message whose token permits
    /// it.
    pub fn is_clear_wanted(&self) -> bool {
        self.ended() && self.clearable && !self.has_unanswered_launch && !self.has_command_in_flight
    }
}
