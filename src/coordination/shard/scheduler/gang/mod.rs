//! Gang scheduling: all tasks of a job run at the same time, or none does.
//!
//! All tasks of one gang attempt carry the same attempt number, by which they find one another.
//! A gang is launched as a whole, on machines found for all its tasks at once, and only when no
//! task of an earlier attempt can exist ([`placement`]). If one task stops, for whatever reason,
//! the whole gang is stopped ([`reconciliation`]).

mod placement;
mod reconciliation;

use std::time::{Duration, Instant};

use super::view::SchedulerView;
use crate::coordination::shard::Shard;
use crate::protocol::JobId;

/// The backoff after a gang attempt that ended before all its tasks were ready at the same time.
const GANG_RETRY_DELAY: Duration = Duration::from_secs(3);

/// The state of a gang's current attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GangAttempt {
    /// The attempt number that all its tasks carry; 0 if the gang has no current attempt.
    pub attempt_number: u64,
    /// Whether a task of the attempt has run. Once that is so, the loss of a task ends the
    /// attempt; before, a lost task may be replaced.
    pub started: bool,
}

impl Shard {
    /// Marks all tasks of a gang as completed, because one of them has completed.
    pub(in crate::coordination::shard) fn complete_gang(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            for index in 0..job.spec.tasks {
                job.complete(index);
            }
        }
    }

    /// Delays the next attempt of a gang, because its last attempt ended before all its tasks were
    /// ready.
    pub(in crate::coordination::shard) fn delay_gang_retry(&mut self, id: &JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.not_before = Some(now + GANG_RETRY_DELAY);
        }
    }
}

impl SchedulerView<'_> {
    /// Whether all machines of a gang's live tasks are reachable, so that all the tasks can save
    /// a checkpoint and stop at the same time.
    pub(super) fn is_gang_reachable(&self, id: &JobId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        job.live().machines().all(|id| {
            self.machines.get(id).is_some_and(|machine| {
                !machine.commands.is_unreachable()
                    && machine.since_last_contact(now) < self.policy.suspect_after
            })
        })
    }
}
