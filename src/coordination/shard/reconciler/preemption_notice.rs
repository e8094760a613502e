//! Handling of the cloud's notices that it will preempt a spot instance.
//!
//! Heartbeats carry the notice. Services and gangs are stopped at once. A batch task with
//! checkpoints is stopped just in time to save its progress; one without is stopped at once if it
//! is not expected to complete in time.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Attempt, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::{JobKind, JobSpec};

/// Upper bound on the time in seconds that a notice gives, so that the arithmetic can't overflow.
const MAX_NOTICE_S: f64 = 1e6;

/// A batch task is stopped as late as possible: once the time until the preemption is less than
/// the time that saving its progress takes, times this factor, plus [`SAVE_START_MARGIN_S`].
const SAVE_START_FACTOR: f64 = 2.0;
/// Seconds allowed for the delivery of the stop command; see [`SAVE_START_FACTOR`].
const SAVE_START_MARGIN_S: f64 = 3.0;

/// A batch task without checkpoints is stopped at once if its remaining run time, according to
/// its declared duration, exceeds the time until the preemption times this factor.
const UNFINISHABLE_FACTOR: u32 = 2;

impl Shard {
    /// Records when a machine will be preempted, and requests a stop of the attempts on it that
    /// have to stop now. Later heartbeats repeat the notice with less time left, so that the
    /// other attempts are stopped in time.
    pub(super) fn apply_preemption_notice(
        &mut self,
        machine_id: &MachineId,
        preemption_notice_s: Option<f64>,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(left) = preemption_notice_s.filter(|s| s.is_finite()) else {
            return;
        };
        let left = Duration::from_secs_f64(left.clamp(0.0, MAX_NOTICE_S));
        if machine.preemption_notice.is_none() {
            tracing::info!(machine = %machine_id, left_s = left.as_secs_f64(), "spot preemption notice received");
        }
        machine.preemption_notice = Some(now + left);
        for attempt in machine.attempts.values_mut() {
            if let Some(grace) = grace_on_notice(attempt, left, now) {
                attempt.request_stop(grace);
            }
        }
    }
}

/// The grace period with which an attempt has to stop now if its machine is preempted after
/// `left`; None if the attempt continues for now.
fn grace_on_notice(attempt: &Attempt, left: Duration, now: Instant) -> Option<Duration> {
    let spec = attempt.spec.as_ref()?;
    match spec.kind {
        JobKind::Service => Some(Duration::ZERO),
        // A gang is stopped at once, so that its tasks on other machines stop in time too.
        JobKind::Gang if attempt.stop_grace().is_some() => None,
        JobKind::Gang => {
            let can_save = spec.checkpoint_s > 0.0 && left >= spec.save_time();
            Some(if can_save { left } else { Duration::ZERO })
        }
        JobKind::Batch if spec.checkpoint_s > 0.0 => must_save_now(spec, left).then_some(left),
        JobKind::Batch => is_unfinishable(attempt, spec, left, now).then_some(Duration::ZERO),
    }
}

/// Whether a task has enough time to save its progress, and may not have it if the stop waits for
/// a later heartbeat.
fn must_save_now(spec: &JobSpec, left: Duration) -> bool {
    let left_s = left.as_secs_f64();
    left_s >= spec.save_s && left_s < spec.save_s * SAVE_START_FACTOR + SAVE_START_MARGIN_S
}

/// Whether a batch task is not expected to complete before its machine is preempted.
fn is_unfinishable(attempt: &Attempt, spec: &JobSpec, left: Duration, now: Instant) -> bool {
    let run_time = attempt
        .running_since
        .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    spec.duration().saturating_sub(run_time) > left * UNFINISHABLE_FACTOR
}
