//! Attempts to run a task on a machine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::users::JobSpec;
use crate::protocol::workers::AttemptOutcome;

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Decided; no heartbeat has shown it yet.
    Launching,
    /// Waiting for its image.
    Fetching,
    /// A gang's task that waits for the others.
    Waiting,
    /// Running.
    Running,
    /// Saving its progress before it stops.
    Saving,
    /// Over, for this reason.
    Ended(AttemptOutcome),
}

/// One try to run a task on a machine.
#[derive(Debug)]
pub struct Attempt {
    /// What it uses; unknown for an orphan whose job is being looked up.
    pub spec: Option<Arc<JobSpec>>,
    /// How far it is.
    pub phase: Phase,
    /// When it was decided, or first seen.
    pub began: Instant,
    /// Since when it is in this phase.
    pub since: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Started by an earlier leader: it has run for longer than was seen.
    pub adopted: bool,
    /// A launch was sent to which no answer came: it may land at any time
    /// until the agent epoch ends, so the attempt must never be cleared.
    pub unanswered: bool,
    /// In a batch of commands that is under way.
    pub in_flight: bool,
    /// Wanted to stop, with this time to save.
    pub stop: Option<Duration>,
    /// The stop with that time has been executed.
    pub stop_sent: bool,
    /// Its end is on record: the worker may forget it.
    pub clearable: bool,
    /// It has run far longer than others of its job, and its machine was noted for it.
    pub overdue: bool,
}

impl Attempt {
    /// An attempt that begins in this phase.
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
            stop_sent: false,
            clearable: false,
            overdue: false,
        }
    }

    /// Whether it has ended.
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// Asks it to stop; a shorter grace replaces a longer one.
    pub fn want_stop(&mut self, grace: Duration) {
        if self.ended() || self.stop.is_some_and(|wanted| wanted <= grace) {
            return;
        }
        self.stop = Some(grace);
        self.stop_sent = false;
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

    /// Whether it is a launch that was never sent and is not wanted any more.
    pub fn is_withdrawable(&self) -> bool {
        self.phase == Phase::Launching && self.stop.is_some() && !self.in_flight && !self.unanswered
    }

    /// Whether a batch of commands for it should be sent now.
    pub fn needs_command(&self) -> bool {
        if self.in_flight {
            return false;
        }
        match self.phase {
            Phase::Launching => !self.unanswered && self.stop.is_none(),
            Phase::Ended(_) => false,
            _ => self.stop_to_send().is_some(),
        }
    }

    /// The time to save of the stop that has not been executed yet.
    pub fn stop_to_send(&self) -> Option<Duration> {
        if self.ended() || self.phase == Phase::Launching || self.stop_sent {
            return None;
        }
        self.stop
    }

    /// Whether the worker may forget it now.
    pub fn is_clear_allowed(&self) -> bool {
        self.ended() && self.clearable && !self.unanswered && !self.in_flight
    }
}
