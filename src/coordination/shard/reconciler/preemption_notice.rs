//! Notices of the cloud that it will preempt a spot machine.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Attempt, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::JobKind;

impl Shard {
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
        let left = Duration::from_secs_f64(left.clamp(0.0, 1e6));
        if machine.preemption_notice.is_none() {
            tracing::info!(machine = %id, ?left, "the cloud takes the machine away");
        }
        machine.preemption_notice = Some(now + left);
        for attempt in machine.attempts.values_mut() {
            let Some(spec) = attempt.spec.clone() else {
                continue;
            };
            if spec.kind == JobKind::Service {
                attempt.want_stop(Duration::ZERO);
            } else if spec.is_gang() {
                // The others of the gang have to be told in time as well.
                if attempt.stop.is_some() {
                    continue;
                }
                let enough = spec.checkpoint_s > 0.0 && left >= spec.save_time();
                attempt.want_stop(if enough { left } else { Duration::ZERO });
            } else if spec.checkpoint_s > 0.0 {
                if left.as_secs_f64() >= spec.save_s {
                    // Saving takes its time: later would be too late.
                    if left.as_secs_f64() < spec.save_s * 2.0 + 3.0 {
                        attempt.want_stop(left);
                    }
                }
            } else if Self::hopeless(attempt, left, now) {
                attempt.want_stop(Duration::ZERO);
            }
        }
    }

    /// Whether a batch task can't be expected to end before a notice does.
    fn hopeless(attempt: &Attempt, left: Duration, now: Instant) -> bool {
        let Some(spec) = &attempt.spec else {
            return false;
        };
        if spec.kind == JobKind::Service {
            return true;
        }
        let ran = attempt
            .running_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        spec.duration().saturating_sub(ran) > left * 2
    }
}
