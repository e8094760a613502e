//! Gang scheduling: all tasks of a job run at the same time, or none does.
//!
//! All tasks of one gang attempt carry one attempt number, by which they find one another.
//! A gang is launched whole, on machines found for all its tasks at once, and only when no
//! task of an earlier attempt can exist ([`placement`]). What happens to one task decides
//! for all ([`reconciliation`]), so that a stop of one task, for whatever reason,
//! stops the gang.

mod placement;
mod reconciliation;

use std::time::{Duration, Instant};

use super::view::SchedulerView;
use crate::coordination::shard::Shard;
use crate::protocol::JobId;

/// Pause after a gang attempt whose tasks never all waited at the same time.
const GANG_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The state of a gang's current attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GangAttempt {
    /// The number that all its tasks carry; 0 if there is no attempt.
    pub attempt_number: u64,
    /// Its tasks have run: from then on, the loss of a task ends the attempt.
    pub started: bool,
}

impl Shard {
    /// A task of a gang completed: all its tasks have.
    pub(in crate::coordination::shard) fn gang_task_done(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            for index in 0..job.spec.tasks {
                job.complete(index);
            }
        }
    }

    /// A gang attempt ended before all its tasks were ready: the next one is delayed.
    pub(in crate::coordination::shard) fn gang_came_apart(&mut self, id: &JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.not_before = Some(now + GANG_RETRY_DELAY);
        }
    }
}

impl SchedulerView<'_> {
    /// Whether every machine of a gang is reachable, so that all its tasks can save a
    /// checkpoint and stop at the same time.
    pub(super) fn gang_reachable(&self, id: &JobId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        job.live().values().all(|id| {
            self.machines.get(id).is_some_and(|machine| {
                !machine.commands.is_unreachable()
                    && machine.since_last_contact(now) < self.policy.suspect_after
            })
        })
    }
}
