//! What one controller knows of all jobs, brought up to date by single looks
//! at the state service that answer many users at once.
//!
//! A look is a `follow` that doesn't wait: its answer holds every change up to
//! its revision, so whatever the ledger says then was true at some moment
//! after the look was sent. Final states never change and need no look.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::client::{StateClient, StateError};
use super::keys;
use super::records::FinalRecord;
use crate::clock::Clock;
use crate::protocol::state::{Item, News};
use crate::protocol::users::Stage;

/// Final states that are remembered; older ones are read singly.
const MOST_FINAL: usize = 20_000;
/// Cancelled jobs of which other controllers can be told.
const MOST_CANCELLED: usize = 2_000;
/// Deadline of a look.
const LOOK: Duration = Duration::from_millis(1200);
/// Deadline of reading all open jobs.
const RELOAD: Duration = Duration::from_millis(1500);

/// What the ledger says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    /// Accepted, and neither done nor cancelled.
    Open,
    /// Over, and how many tasks it had.
    Over(Stage, u32),
    /// Not open; whether it is over or never was, only its record tells.
    Unclear,
}

#[derive(Debug, Default)]
struct Book {
    /// The revision up to which it is complete; None before the first load.
    revision: Option<u64>,
    open: HashSet<String>,
    over: HashMap<String, (Stage, u32)>,
    /// Final jobs in the order in which they came.
    order: VecDeque<String>,
    /// Cancelled jobs by the revision at which they were, the latest ones.
    cancelled: BTreeMap<u64, String>,
    /// What was cancelled up to this revision isn't all in there any more.
    dropped: u64,
    /// How often something was found to be open no more.
    endings: u64,
}

impl Book {
    fn remember(&mut self, id: &str, stage: Stage, tasks: u32, revision: u64) {
        self.open.remove(id);
        self.endings += 1;
        if self.over.insert(id.to_owned(), (stage, tasks)).is_none() {
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
                self.over.remove(&oldest);
            }
        }
    }

    fn load(&mut self, items: &[Item], revision: u64) {
        let ids = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(keys::JOBS));
        self.open = ids.map(str::to_owned).collect();
        self.revision = Some(revision);
        self.endings += 1;
    }

    fn take(&mut self, events: Vec<News>, revision: u64) {
        for event in events {
            match event {
                News::Put {
                    key,
                    value,
                    version,
                } => {
                    if let Some(id) = key.strip_prefix(keys::JOBS) {
                        self.open.insert(id.to_owned());
                    } else if let Some(id) = key.strip_prefix(keys::FINAL_JOBS)
                        && let Ok(last) = serde_json::from_value::<FinalRecord>(value)
                    {
                        self.remember(id, last.stage, last.tasks, version);
                    }
                }
                News::Delete { key, .. } => {
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
type LastLook = Option<(Instant, Result<(), StateError>)>;

/// All jobs as one controller knows them.
pub struct Ledger {
    book: Mutex<Book>,
    last: tokio::sync::Mutex<LastLook>,
    /// Least pause between the sending of two looks.
    pace: Duration,
}

impl Ledger {
    /// A ledger that catches up at most once in this time.
    pub fn new(pace: Duration) -> Self {
        Self {
            book: Mutex::default(),
            last: tokio::sync::Mutex::new(None),
            pace,
        }
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A job's final state, if it is known: it needs no look.
    pub fn final_state(&self, id: &str) -> Option<(Stage, u32)> {
        self.book().over.get(id).copied()
    }

    /// Notes a final record that was written or read at a revision.
    pub fn note_final(&self, id: &str, last: &FinalRecord, revision: u64) {
        self.book().remember(id, last.stage, last.tasks, revision);
    }

    /// Another controller says that these jobs were cancelled, and when.
    pub fn note_cancelled(&self, cancelled: Vec<(String, u64)>) {
        let mut book = self.book();
        for (id, revision) in cancelled {
            // Its number of tasks doesn't matter: none of them counts as done.
            let tasks = book.over.get(&id).map_or(0, |(_, tasks)| *tasks);
            book.remember(&id, Stage::Cancelled, tasks, revision);
        }
    }

    /// All jobs that were cancelled after a revision, as far as this controller
    /// has told anybody, with their revisions; None if they may not be all.
    pub fn cancelled_after(&self, revision: u64) -> Option<Vec<(String, u64)>> {
        let book = self.book();
        let after = book.cancelled.range(revision.saturating_add(1)..);
        (revision >= book.dropped).then(|| after.map(|(at, id)| (id.clone(), *at)).collect())
    }

    /// The revision up to which it is complete.
    pub fn revision(&self) -> Option<u64> {
        self.book().revision
    }

    /// Rises whenever something is found to be open no more.
    pub fn finished_count(&self) -> u64 {
        self.book().endings
    }

    /// Whether a job whose record has this version is known to be over.
    pub fn has_ended(&self, id: &str, version: u64) -> bool {
        let book = self.book();
        book.over.contains_key(id)
            || (!book.open.contains(id) && book.revision.is_some_and(|at| version <= at))
    }

    /// Whether a job was open at the last look.
    pub fn is_open(&self, id: &str) -> bool {
        self.book().open.contains(id)
    }

    /// What is known of a job, as of the last look.
    pub fn find(&self, id: &str) -> Known {
        let book = self.book();
        match book.over.get(id) {
            Some((stage, tasks)) => Known::Over(*stage, *tasks),
            None if book.open.contains(id) => Known::Open,
            None => Known::Unclear,
        }
    }

    /// Returns once a look that was sent after this call has been answered, with
    /// the moment at which it was. All who wait then share it, and its failure.
    pub async fn catch_up(
        &self,
        state: &StateClient,
        clock: &dyn Clock,
    ) -> Result<Instant, StateError> {
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
    pub(crate) fn take(&self, events: Vec<News>, revision: u64) {
        self.book().take(events, revision);
    }

    async fn refresh(&self, state: &StateClient) -> Result<(), StateError> {
        let revision = self.book().revision;
        if let Some(revision) = revision {
            match state.catch_up(keys::ALL_JOBS, revision, LOOK).await {
                Ok(page) => {
                    self.take(page.events, page.revision);
                    return Ok(());
                }
                Err(StateError::TooOld) => {}
                Err(error) => return Err(error),
            }
        }
        let (items, revision) = state.list(keys::JOBS, RELOAD).await?;
        self.book().load(&items, revision);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
