//! One controller's index of all jobs: the open jobs, and the final states of the jobs that ended
//! most recently.
//!
//! [`JobIndex::catch_up`] makes reads of the index linearizable: it reads every change of the
//! jobs' records up to the store's current revision, so that the index then reflects a state of the
//! store at some moment after the call. Callers that wait at the same time share one read, which
//! limits the cost of many users' polls to a few requests a second. A final state never changes
//! and needs no catch-up read.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use self::state::IndexState;
use super::keys;
use super::kv_client::{KvClient, KvError};
use super::records::FinalRecord;
use crate::clock::Clock;
use crate::protocol::kv::WatchEvent;
use crate::protocol::peer_messages::CancelledJob;
use crate::protocol::users::JobStage;

mod state;

/// Deadline of a catch-up read.
const CATCH_UP_DEADLINE: Duration = Duration::from_millis(1200);
/// Deadline of the read of each page when all open jobs are listed.
const RELOAD_DEADLINE: Duration = Duration::from_millis(1500);

/// A job's final state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalState {
    /// Done or cancelled.
    pub stage: JobStage,
    /// How many tasks the job had.
    pub tasks: u32,
}

impl From<&FinalRecord> for FinalState {
    fn from(record: &FinalRecord) -> Self {
        Self {
            stage: record.stage,
            tasks: record.tasks,
        }
    }
}

/// The status of a job according to the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// Accepted, and neither done nor cancelled.
    Open,
    /// In its final state.
    Finished(FinalState),
    /// Not open: the job ended too long ago for the index to hold its final state, or it never
    /// existed. Only the store has the answer.
    Unknown,
}

/// The last catch-up read: the time of its request, and the result that all waiting callers share.
#[derive(Debug)]
struct LastCatchUp {
    sent: Instant,
    result: Result<(), KvError>,
}

/// The index of all jobs, shared by all components of one controller.
pub struct JobIndex {
    state: Mutex<IndexState>,
    /// Locked while a catch-up read is under way, so that only one is under way at a time.
    last_catch_up: tokio::sync::Mutex<Option<LastCatchUp>>,
    /// Shortest time between the requests of two catch-up reads.
    catch_up_interval: Duration,
}

impl JobIndex {
    /// An empty index that sends at most one catch-up read in each `catch_up_interval`.
    pub fn new(catch_up_interval: Duration) -> Self {
        Self {
            state: Mutex::default(),
            last_catch_up: tokio::sync::Mutex::new(None),
            catch_up_interval,
        }
    }

    fn state(&self) -> MutexGuard<'_, IndexState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A job's final state, if the index has it. It is valid without a catch-up read.
    pub fn final_state(&self, id: &str) -> Option<FinalState> {
        self.state().final_state(id)
    }

    /// Records a final state that was written or read at this store revision.
    pub fn record_final(&self, id: &str, record: &FinalRecord, revision: u64) {
        self.state().record_final(id, record.into(), revision);
    }

    /// Records cancellations that another controller has confirmed to users.
    pub fn record_cancelled(&self, cancelled: Vec<CancelledJob>) {
        let mut state = self.state();
        for CancelledJob { job, revision } in cancelled {
            state.record_cancelled(&job, revision);
        }
    }

    /// All jobs known to be cancelled at a later revision than this, in the order of their
    /// revisions; None if the list may be incomplete, because the index has dropped some of them.
    pub fn cancelled_after(&self, revision: u64) -> Option<Vec<CancelledJob>> {
        self.state().cancelled_after(revision)
    }

    /// The store revision up to which the index is complete; None before the first load.
    pub fn revision(&self) -> Option<u64> {
        self.state().revision()
    }

    /// A counter that increases whenever some job may have ceased to be open. If it has increased,
    /// [`Self::has_finished`] may return a different result.
    pub fn change_count(&self) -> u64 {
        self.state().change_count()
    }

    /// Whether the job whose record had this revision is known to have finished.
    pub fn has_finished(&self, id: &str, mod_revision: u64) -> bool {
        self.state().has_finished(id, mod_revision)
    }

    /// Whether the job was open at the last catch-up read.
    pub fn is_open(&self, id: &str) -> bool {
        self.state().is_open(id)
    }

    /// The status of a job as of the last catch-up read.
    pub fn status(&self, id: &str) -> JobStatus {
        self.state().status(id)
    }

    /// Waits until a catch-up read that was sent after this call has been answered, and returns the
    /// time at which it was sent. All callers that wait share one read, and its error if it fails.
    pub async fn catch_up(&self, kv: &KvClient, clock: &dyn Clock) -> Result<Instant, KvError> {
        let called = clock.now();
        let mut last = self.last_catch_up.lock().await;
        if let Some(last) = &*last {
            if last.sent >= called {
                return last.result.clone().map(|()| last.sent);
            }
            let next_allowed = last.sent + self.catch_up_interval;
            tokio::time::sleep(next_allowed.saturating_duration_since(clock.now())).await;
        }
        let sent = clock.now();
        let result = self.refresh(kv).await;
        *last = Some(LastCatchUp {
            sent,
            result: result.clone(),
        });
        result.map(|()| sent)
    }

    /// Applies all changes of job records up to a store revision.
    pub(crate) fn apply(&self, events: Vec<WatchEvent>, revision: u64) {
        self.state().apply(events, revision);
    }

    /// Reads the changes since the last read, or lists all open jobs if there was no read yet or if
    /// the store no longer has those changes.
    async fn refresh(&self, kv: &KvClient) -> Result<(), KvError> {
        let revision = self.revision();
        if let Some(revision) = revision {
            match kv
                .catch_up(keys::ALL_JOBS, revision, CATCH_UP_DEADLINE)
                .await
            {
                Ok(page) => {
                    self.apply(page.events, page.revision);
                    return Ok(());
                }
                Err(KvError::Compacted { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        let open = kv.list(keys::JOBS, RELOAD_DEADLINE).await?;
        self.state().load(&open.items, open.revision);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
