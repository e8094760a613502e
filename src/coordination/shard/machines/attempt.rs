//! Attempts to run a task on a machine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::users::JobSpec;
use crate::protocol::workers::{AttemptOutcome, TaskState, TaskStatus};

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its launch was decided; no heartbeat has listed it yet.
    Launching,
    /// The worker fetches its image.
    Fetching,
    /// A gang's task that waits for the other tasks.
    Waiting,
    /// It is running.
    Running,
    /// It saves its progress before it stops.
    Saving,
    /// It has ended, with this outcome.
    Ended(AttemptOutcome),
}

impl Phase {
    /// Whether a machine on which an attempt is in this phase has the task's image.
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

/// A stop that was decided for an attempt.
#[derive(Debug, Clone, Copy)]
struct StopRequest {
    /// The time that the task gets to save its progress.
    grace: Duration,
    /// Whether the worker has executed a stop with no more than this grace period.
    is_executed: bool,
}

/// One attempt to run a task on a machine.
#[derive(Debug)]
pub struct Attempt {
    /// The job's description, which says what the attempt uses; None for an attempt of an
    /// earlier leader while its finished job's record is being read.
    pub spec: Option<Arc<JobSpec>>,
    /// How far it has come.
    pub phase: Phase,
    /// When it was decided, or first listed by a heartbeat.
    pub began: Instant,
    /// Since when it is in its phase.
    pub since: Instant,
    /// When a heartbeat first listed it as running.
    pub running_since: Option<Instant>,
    /// Whether an earlier leader launched it: it has run for longer than this one has seen.
    pub adopted: bool,
    /// Whether a launch was sent that got no answer. It may arrive at any time until the
    /// agent epoch ends, so the worker must not be told to forget the attempt.
    pub unanswered: bool,
    /// Whether an outstanding batch holds a command for it.
    pub in_flight: bool,
    /// The stop that was decided for it.
    stop: Option<StopRequest>,
    /// Whether its outcome is recorded, so that the worker may forget it.
    pub clearable: bool,
    /// Whether it has run far longer than other attempts of its job and was counted
    /// against its machine.
    pub overdue: bool,
}

impl Attempt {
    /// An attempt that begins in a phase.
    pub fn new(spec: Option<Arc<JobSpec>>, phase: Phase, now: Instant) -> Self {
        Self {
            spec,
            phase,
            began: now,
            since: now,
            running_since: None,
            adopted: false,
            unanswered: false,
            in_flight: false,
            stop: None,
            clearable: false,
            overdue: false,
        }
    }

    /// An attempt that an earlier leader launched.
    pub fn adopted(now: Instant) -> Self {
        Self {
            adopted: true,
            ..Self::new(None, Phase::Launching, now)
        }
    }

    /// Whether it has ended.
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// A heartbeat lists it in another phase than before.
    pub fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.since = now;
        if phase == Phase::Running {
            self.running_since.get_or_insert(now);
        }
    }

    /// The grace period with which it is to stop, if it is.
    pub fn stop(&self) -> Option<Duration> {
        self.stop.map(|stop| stop.grace)
    }

    /// Asks it to stop; a shorter grace period replaces a longer one.
    pub fn want_stop(&mut self, grace: Duration) {
        if self.ended() || self.stop.is_some_and(|stop| stop.grace <= grace) {
            return;
        }
        self.stop = Some(StopRequest {
            grace,
            is_executed: false,
        });
    }

    /// The worker executed a stop with this grace period.
    pub fn note_stop_executed(&mut self, grace: Duration) {
        if let Some(stop) = &mut self.stop {
            stop.is_executed = stop.grace >= grace;
        }
    }

    /// Work that stopping it now would lose.
    pub fn work_at_risk(&self, now: Instant) -> Duration {
        let Some(since) = self.running_since else {
            return Duration::ZERO;
        };
        let ran = now.saturating_duration_since(since);
        match &self.spec {
            Some(spec) if spec.checkpoint_s > 0.0 => ran.min(spec.save_time()),
            _ => ran,
        }
    }

    /// Whether its launch was never sent and is no longer wanted.
    pub fn is_withdrawable(&self) -> bool {
        self.phase == Phase::Launching && self.stop.is_some() && !self.in_flight && !self.unanswered
    }

    /// Whether its launch has to be sent.
    pub fn needs_launch(&self) -> bool {
        self.phase == Phase::Launching && !self.unanswered && self.stop.is_none()
    }

    /// Whether a command for it has to be sent, and none is outstanding.
    pub fn needs_command(&self) -> bool {
        !self.in_flight && (self.needs_launch() || self.stop_to_send().is_some())
    }

    /// The grace period of a stop that the worker has not executed yet.
    pub fn stop_to_send(&self) -> Option<Duration> {
        if self.ended() || self.phase == Phase::Launching {
            return None;
        }
        let stop = self.stop.filter(|stop| !stop.is_executed)?;
        Some(stop.grace)
    }

    /// Whether the worker may forget it now.
    pub fn is_clear_allowed(&self) -> bool {
        self.ended() && self.clearable && !self.unanswered && !self.in_flight
    }
}
