//! Notices of the cloud that it is about to preempt a spot instance.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Attempt, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::{JobKind, JobSpec};

/// Longest notice in seconds that is taken at its word; it bounds the arithmetic.
const LONGEST_NOTICE_S: f64 = 1e6;

/// A batch task saves its progress at the last moment: within this multiple of the time
/// that saving takes, plus [`SAVE_START_MARGIN_S`], before the machine is preempted.
const SAVE_START_FACTOR: f64 = 2.0;
/// Seconds added for the delivery of the stop command; see [`SAVE_START_FACTOR`].
const SAVE_START_MARGIN_S: f64 = 3.0;

/// A batch task without checkpoints is stopped early if what it still has to run, by its
/// declared duration, exceeds this multiple of the time left.
const HOPELESS_FACTOR: u32 = 2;

impl Shard {
    /// Notes when a machine will be preempted, and stops the attempts on it that have to
    /// stop now: later heartbeats repeat the notice with less time left.
    pub(super) fn apply_preemption_notice(
        &mut self,
        id: &MachineId,
        preemption_notice_s: Option<f64>,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(left) = preemption_notice_s.filter(|s| s.is_finite()) else {
            return;
        };
        let left = Duration::from_secs_f64(left.clamp(0.0, LONGEST_NOTICE_S));
        if machine.preemption_notice.is_none() {
            tracing::info!(machine = %id, left_s = left.as_secs_f64(), "spot preemption notice received");
        }
        machine.preemption_notice = Some(now + left);
        for attempt in machine.attempts.values_mut() {
            if let Some(grace) = grace_on_notice(attempt, left, now) {
                attempt.want_stop(grace);
            }
        }
    }
}

/// The grace period with which an attempt has to stop now that its machine is preempted in
/// `left`; None if it goes on for the moment.
fn grace_on_notice(attempt: &Attempt, left: Duration, now: Instant) -> Option<Duration> {
    let spec = attempt.spec.as_ref()?;
    match spec.kind {
        JobKind::Service => Some(Duration::ZERO),
        // The other tasks of the gang must be stopped in time as well: so at once.
        JobKind::Gang if attempt.stop().is_some() => None,
        JobKind::Gang => {
            let can_save = spec.checkpoint_s > 0.0 && left >= spec.save_time();
            Some(if can_save { left } else { Duration::ZERO })
        }
        JobKind::Batch if spec.checkpoint_s > 0.0 => must_save_now(spec, left).then_some(left),
        JobKind::Batch => is_hopeless(attempt, spec, left, now).then_some(Duration::ZERO),
    }
}

/// Whether a task can still save its progress, and later could not.
fn must_save_now(spec: &JobSpec, left: Duration) -> bool {
    let left_s = left.as_secs_f64();
    left_s >= spec.save_s && left_s < spec.save_s * SAVE_START_FACTOR + SAVE_START_MARGIN_S
}

/// Whether a batch task can't be expected to complete before its machine is preempted.
fn is_hopeless(attempt: &Attempt, spec: &JobSpec, left: Duration, now: Instant) -> bool {
    let ran = attempt
        .running_since
        .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    spec.duration().saturating_sub(ran) > left * HOPELESS_FACTOR
}
