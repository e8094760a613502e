//! The state of the job index, to which changes are applied; it does no I/O.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use super::{FinalState, JobStatus};
use crate::protocol::kv::{KeyValue, WatchEvent};
use crate::protocol::peer_messages::CancelledJob;
use crate::protocol::users::JobStage;
use crate::storage::keys;
use crate::storage::records::FinalRecord;

/// Most final states that the index holds; those of other jobs are read from the store one by one.
pub(super) const MAX_FINAL_STATES: usize = 20_000;
/// Most cancellations that the index holds for requests by other controllers.
const MAX_CANCELLATIONS: usize = 2_000;

/// The state of all jobs up to one store revision.
#[derive(Debug, Default)]
pub(super) struct IndexState {
    /// The revision up to which the index is complete; None before the first load.
    revision: Option<u64>,
    open_jobs: HashSet<String>,
    final_states: HashMap<String, FinalState>,
    /// The jobs of `final_states`, in the order in which they were recorded.
    final_states_order: VecDeque<String>,
    /// The latest cancelled jobs, by the revision of their cancellation.
    cancellations: BTreeMap<u64, String>,
    /// The latest revision of a cancellation that was dropped from `cancellations`.
    max_dropped_revision: u64,
    /// Increases whenever a job may have ceased to be open.
    change_count: u64,
}

impl IndexState {
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    pub(super) fn change_count(&self) -> u64 {
        self.change_count
    }

    pub(super) fn final_state(&self, id: &str) -> Option<FinalState> {
        self.final_states.get(id).copied()
    }

    pub(super) fn is_open(&self, id: &str) -> bool {
        // A read that was sent before the job finished may list it as open afterwards.
        self.open_jobs.contains(id) && !self.final_states.contains_key(id)
    }

    pub(super) fn has_finished(&self, id: &str, mod_revision: u64) -> bool {
        self.final_states.contains_key(id)
            || (!self.open_jobs.contains(id)
                && self.revision.is_some_and(|known| mod_revision <= known))
    }

    pub(super) fn status(&self, id: &str) -> JobStatus {
        match self.final_states.get(id) {
            Some(state) => JobStatus::Finished(*state),
            None if self.open_jobs.contains(id) => JobStatus::Open,
            None => JobStatus::Unknown,
        }
    }

    pub(super) fn cancelled_after(&self, revision: u64) -> Option<Vec<CancelledJob>> {
        if revision < self.max_dropped_revision {
            return None;
        }
        let later = self.cancellations.range(revision.saturating_add(1)..);
        let jobs = later.map(|(revision, job)| CancelledJob {
            job: job.clone(),
            revision: *revision,
        });
        Some(jobs.collect())
    }

    pub(super) fn record_cancelled(&mut self, id: &str, revision: u64) {
        // The number of tasks is irrelevant: users see no done tasks of a cancelled job.
        let tasks = self.final_state(id).map_or(0, |state| state.tasks);
        let state = FinalState {
            stage: JobStage::Cancelled,
            tasks,
        };
        self.record_final(id, state, revision);
    }

    pub(super) fn record_final(&mut self, id: &str, state: FinalState, revision: u64) {
        self.open_jobs.remove(id);
        self.change_count += 1;
        if self.final_states.insert(id.to_owned(), state).is_none() {
            self.final_states_order.push_back(id.to_owned());
        }
        if state.stage == JobStage::Cancelled {
            self.cancellations.insert(revision, id.to_owned());
        }
        self.drop_excess();
    }

    /// Drops the oldest entries beyond [`MAX_CANCELLATIONS`] and [`MAX_FINAL_STATES`].
    fn drop_excess(&mut self) {
        while self.cancellations.len() > MAX_CANCELLATIONS {
            if let Some((revision, _)) = self.cancellations.pop_first() {
                self.max_dropped_revision = self.max_dropped_revision.max(revision);
            }
        }
        while self.final_states_order.len() > MAX_FINAL_STATES {
            if let Some(oldest) = self.final_states_order.pop_front() {
                self.final_states.remove(&oldest);
            }
        }
    }

    /// Replaces the open jobs by those that the store held at a revision.
    pub(super) fn load(&mut self, items: &[KeyValue], revision: u64) {
        let ids = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(keys::JOBS));
        self.open_jobs = ids.map(str::to_owned).collect();
        self.revision = Some(revision);
        self.change_count += 1;
    }

    /// Applies all changes of job records up to a revision.
    pub(super) fn apply(&mut self, events: Vec<WatchEvent>, revision: u64) {
        for event in events {
            self.apply_event(event);
        }
        self.revision = self.revision.max(Some(revision));
    }

    fn apply_event(&mut self, event: WatchEvent) {
        match event {
            WatchEvent::Put {
                key,
                value,
                mod_revision,
            } => {
                if let Some(id) = key.strip_prefix(keys::JOBS) {
                    self.open_jobs.insert(id.to_owned());
                } else if let Some(id) = key.strip_prefix(keys::FINAL_JOBS)
                    && let Ok(record) = serde_json::from_value::<FinalRecord>(value)
                {
                    self.record_final(id, (&record).into(), mod_revision);
                }
            }
            WatchEvent::Delete { key, .. } => {
                if let Some(id) = key.strip_prefix(keys::JOBS) {
                    self.open_jobs.remove(id);
                    self.change_count += 1;
                }
            }
        }
    }

    #[cfg(test)]
    pub(super) fn finished_len(&self) -> usize {
        self.final_states.len()
    }
}
