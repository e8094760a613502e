//! What one controller knows of all jobs, brought up to date by single looks
//! at the key-value store that answer many users at once.
//!
//! A look is a `follow` that doesn't wait: its answer holds every change up to
//! its revision, so whatever the job index says then was true at some moment
//! after the look was sent. Final states never change and need no look.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::keys;
use super::kv_client::{KvClient, KvError};
use super::records::FinalRecord;
use crate::clock::Clock;
use crate::protocol::kv::{KeyValue, WatchEvent};
use crate::protocol::users::Stage;

/// Final states that are remembered; older ones are read singly.
const MOST_FINAL: usize = 20_000;
/// Cancelled jobs of which other controllers can be told.
const MOST_CANCELLED: usize = 2_000;
/// Deadline of a look.
const CATCH_UP_DEADLINE: Duration = Duration::from_millis(1200);
/// Deadline of reading all open jobs.
const RELOAD_DEADLINE: Duration = Duration::from_millis(1500);

/// What the job index says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// Accepted, and neither done nor cancelled.
    Open,
    /// Over, and how many tasks it had.
    Finished(Stage, u32),
    /// Not open; whether it is over or never was, only its record tells.
    Unknown,
}

#[derive(Debug, Default)]
struct IndexState {
    /// The revision up to which it is complete; None before the first load.
    revision: Option<u64>,
    open: HashSet<String>,
    finished: HashMap<String, (Stage, u32)>,
    /// Final jobs in the order in which they came.
    order: VecDeque<String>,
    /// Cancelled jobs by the revision at which they were, the latest ones.
    cancelled: BTreeMap<u64, String>,
    /// What was cancelled up to this revision isn't all in there any more.
    dropped: u64,
    /// How often something was found to be open no more.
    endings: u64,
}

impl IndexState {
    fn remember(&mut self, id: &str, stage: Stage, tasks: u32, revision: u64) {
        self.open.remove(id);
        self.endings += 1;
        if self
            .finished
            .insert(id.to_owned(), (stage, tasks))
            .is_none()
        {
            self.order.push_back(id.to_owned());
        }
        if stage == Stage::Cancelled {
            self.cancelled.insert(revision, id.to_owned());
        }
        while self.cancelled.len() > MOST_CANCELLED {
            if let Some((revision, _)) = self.cancelled.pop_first() {
                self.dropped = self.dropped.max(revision);
            }
        }
        while self.order.len() > MOST_FINAL {
            if let Some(oldest) = self.order.pop_front() {
                self.finished.remove(&oldest);
            }
        }
    }

    fn load(&mut self, items: &[KeyValue], revision: u64) {
        let ids = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(keys::JOBS));
        self.open = ids.map(str::to_owned).collect();
        self.revision = Some(revision);
        self.endings += 1;
    }

    fn take(&mut self, events: Vec<WatchEvent>, revision: u64) {
        for event in events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    mod_revision,
                } => {
                    if let Some(id) = key.strip_prefix(keys::JOBS) {
                        self.open.insert(id.to_owned());
                    } else if let Some(id) = key.strip_prefix(keys::FINAL_JOBS)
                        && let Ok(last) = serde_json::from_value::<FinalRecord>(value)
                    {
                        self.remember(id, last.stage, last.tasks, mod_revision);
                    }
                }
                WatchEvent::Delete { key, .. } => {
                    if let Some(id) = key.strip_prefix(keys::JOBS) {
                        self.open.remove(id);
                        self.endings += 1;
                    }
                }
            }
        }
        self.revision = self.revision.max(Some(revision));
    }
}

/// The last look: when it was sent, and how it went.
type LastCatchUp = Option<(Instant, Result<(), KvError>)>;

/// All jobs as one controller knows them.
pub struct JobIndex {
    index: Mutex<IndexState>,
    last: tokio::sync::Mutex<LastCatchUp>,
    /// Least pause between the sending of two looks.
    pace: Duration,
}

impl JobIndex {
    /// A job index that catches up at most once in this time.
    pub fn new(pace: Duration) -> Self {
        Self {
            index: Mutex::default(),
            last: tokio::sync::Mutex::new(None),
            pace,
        }
    }

    fn index(&self) -> MutexGuard<'_, IndexState> {
        self.index.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A job's final state, if it is known: it needs no look.
    pub fn final_state(&self, id: &str) -> Option<(Stage, u32)> {
        self.index().finished.get(id).copied()
    }

    /// Notes a final record that was written or read at a revision.
    pub fn record_final(&self, id: &str, last: &FinalRecord, revision: u64) {
        self.index().remember(id, last.stage, last.tasks, revision);
    }

    /// Another controller says that these jobs were cancelled, and when.
    pub fn note_cancelled(&self, cancelled: Vec<(String, u64)>) {
        let mut index = self.index();
        for (id, revision) in cancelled {
            // Its number of tasks doesn't matter: none of them counts as done.
            let tasks = index.finished.get(&id).map_or(0, |(_, tasks)| *tasks);
            index.remember(&id, Stage::Cancelled, tasks, revision);
        }
    }

    /// All jobs that were cancelled after a revision, as far as this controller
    /// has told anybody, with their revisions; None if they may not be all.
    pub fn cancelled_after(&self, revision: u64) -> Option<Vec<(String, u64)>> {
        let index = self.index();
        let after = index.cancelled.range(revision.saturating_add(1)..);
        (revision >= index.dropped).then(|| after.map(|(at, id)| (id.clone(), *at)).collect())
    }

    /// The revision up to which it is complete.
    pub fn revision(&self) -> Option<u64> {
        self.index().revision
    }

    /// Rises whenever something is found to be open no more.
    pub fn finished_count(&self) -> u64 {
        self.index().endings
    }

    /// Whether a job whose record has this version is known to be over.
    pub fn has_ended(&self, id: &str, mod_revision: u64) -> bool {
        let index = self.index();
        index.finished.contains_key(id)
            || (!index.open.contains(id) && index.revision.is_some_and(|at| mod_revision <= at))
    }

    /// Whether a job was open at the last look.
    pub fn is_open(&self, id: &str) -> bool {
        self.index().open.contains(id)
    }

    /// What is known of a job, as of the last look.
    pub fn find(&self, id: &str) -> JobStatus {
        let index = self.index();
        match index.finished.get(id) {
            Some((stage, tasks)) => JobStatus::Finished(*stage, *tasks),
            None if index.open.contains(id) => JobStatus::Open,
            None => JobStatus::Unknown,
        }
    }

    /// Returns once a look that was sent after this call has been answered, with
    /// the moment at which it was. All who wait then share it, and its failure.
    pub async fn catch_up(&self, state: &KvClient, clock: &dyn Clock) -> Result<Instant, KvError> {
        let asked = clock.now();
        let mut last = self.last.lock().await;
        if let Some((sent, result)) = &*last {
            if *sent >= asked {
                return result.clone().map(|()| *sent);
            }
            let rest = (*sent + self.pace).saturating_duration_since(clock.now());
            tokio::time::sleep(rest).await;
        }
        let sent = clock.now();
        let result = self.refresh(state).await;
        *last = Some((sent, result.clone()));
        result.map(|()| sent)
    }

    /// Takes in all changes up to a revision.
    pub(crate) fn take(&self, events: Vec<WatchEvent>, revision: u64) {
        self.index().take(events, revision);
    }

    async fn refresh(&self, state: &KvClient) -> Result<(), KvError> {
        let revision = self.index().revision;
        if let Some(revision) = revision {
            match state
                .catch_up(keys::ALL_JOBS, revision, CATCH_UP_DEADLINE)
                .await
            {
                Ok(page) => {
                    self.take(page.events, page.revision);
                    return Ok(());
                }
                Err(KvError::TooOld) => {}
                Err(error) => return Err(error),
            }
        }
        let (items, revision) = state.list(keys::JOBS, RELOAD_DEADLINE).await?;
        self.index().load(&items, revision);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
