//! Rounds of writing the shard's snapshot to the key-value store, each in several transactions.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::shard_write::{PendingWrite, WritePurpose};
use crate::protocol::kv::Mutation;
use crate::protocol::{AttemptId, MachineId};

/// A completed attempt that its worker may clear once a stored snapshot holds the completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CompletedAttempt {
    pub machine: MachineId,
    pub attempt: AttemptId,
}

/// The stored snapshot and the round that brings it up to date.
///
/// Invariant: chunks wait only while a round is under way, and the round ends only when no chunk
/// waits. All changes that a round covers are durable once it ends.
#[derive(Debug, Default)]
pub(super) struct SnapshotRounds {
    /// The chunks that the store holds, by their keys.
    stored: BTreeMap<String, Value>,
    round: Round,
}

/// The state of the current round.
#[derive(Debug)]
enum Round {
    /// No round is under way.
    Idle {
        /// When the last round started; None if the next one is due at once.
        last_started: Option<Instant>,
        /// When the oldest change that the stored snapshot lacks was made; None if it has all.
        dirty_since: Option<Instant>,
    },
    /// Chunks are being written.
    UnderWay {
        started: Instant,
        /// When the oldest change that this round covers was made; None if it covers none.
        dirty_since: Option<Instant>,
        /// When the oldest change that this round doesn't cover was made; None if there is none.
        uncovered_since: Option<Instant>,
        /// The completions that this round makes durable.
        covered: Vec<CompletedAttempt>,
        /// Chunks that are not yet in a transaction, in the order in which they are written.
        waiting: VecDeque<PendingWrite>,
    },
}

impl Default for Round {
    fn default() -> Self {
        Self::Idle {
            last_started: None,
            dirty_since: None,
        }
    }
}

impl SnapshotRounds {
    /// The state after these chunks were read from the store; no round is under way.
    pub(super) fn recovered(stored: BTreeMap<String, Value>) -> Self {
        Self {
            stored,
            round: Round::default(),
        }
    }

    /// Whether the next round should start: no round is under way, and the last one started at
    /// least `interval` ago.
    pub(super) fn is_due(&self, interval: Duration, now: Instant) -> bool {
        match self.round {
            Round::Idle { last_started, .. } => {
                last_started.is_none_or(|last| now.saturating_duration_since(last) >= interval)
            }
            Round::UnderWay { .. } => false,
        }
    }

    /// Starts a round that makes the store's snapshot equal to `encoded`, which makes the `covered`
    /// completions durable. Only chunks that changed are written.
    pub(super) fn begin(
        &mut self,
        encoded: &BTreeMap<String, Value>,
        covered: Vec<CompletedAttempt>,
        now: Instant,
    ) {
        let Round::Idle { dirty_since, .. } = self.round else {
            return;
        };
        self.round = Round::UnderWay {
            started: now,
            dirty_since,
            uncovered_since: None,
            covered,
            waiting: self.changed_chunks(encoded),
        };
    }

    /// The writes that turn the stored chunks into the encoded ones.
    ///
    /// Since a failover may occur between two transactions, an entry that moves to another chunk
    /// has to be written there before its old chunk is overwritten. Entries move to later chunks
    /// if there are more chunks than before (jobs were added, or the limits were lowered), and
    /// otherwise to earlier ones.
    fn changed_chunks(&self, encoded: &BTreeMap<String, Value>) -> VecDeque<PendingWrite> {
        let mut chunks: Vec<_> = encoded.iter().collect();
        if encoded.len() > self.stored.len() {
            chunks.reverse();
        }
        let changed = chunks
            .into_iter()
            .filter(|(key, value)| self.stored.get(*key) != Some(*value))
            .map(|(key, value)| chunk_write(key, Some(value)));
        let deleted = self
            .stored
            .keys()
            .filter(|key| !encoded.contains_key(*key))
            .map(|key| chunk_write(key, None));
        changed.chain(deleted).collect()
    }

    /// Records a change that a snapshot has to hold.
    pub(super) fn note_change(&mut self, now: Instant) {
        let oldest = match &mut self.round {
            Round::Idle { dirty_since, .. } => dirty_since,
            Round::UnderWay {
                uncovered_since, ..
            } => uncovered_since,
        };
        oldest.get_or_insert(now);
    }

    /// Time since the oldest change that is not durable yet; zero if all changes are durable. While
    /// a round is under way, only the changes that it covers count.
    pub(super) fn unrecorded_for(&self, now: Instant) -> Duration {
        let (Round::Idle { dirty_since, .. } | Round::UnderWay { dirty_since, .. }) = &self.round;
        dirty_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// How many chunks wait for a transaction.
    pub(super) fn waiting_chunks(&self) -> usize {
        match &self.round {
            Round::Idle { .. } => 0,
            Round::UnderWay { waiting, .. } => waiting.len(),
        }
    }

    /// The chunk to be written next.
    pub(super) fn next_chunk(&self) -> Option<&PendingWrite> {
        match &self.round {
            Round::Idle { .. } => None,
            Round::UnderWay { waiting, .. } => waiting.front(),
        }
    }

    /// Removes and returns the chunk to be written next.
    pub(super) fn take_chunk(&mut self) -> Option<PendingWrite> {
        match &mut self.round {
            Round::Idle { .. } => None,
            Round::UnderWay { waiting, .. } => waiting.pop_front(),
        }
    }

    /// Records that the store now holds this chunk, or has deleted it if there is no value.
    pub(super) fn chunk_stored(&mut self, key: &str, value: Option<&Value>) {
        match value {
            Some(value) => self.stored.insert(key.to_owned(), value.clone()),
            None => self.stored.remove(key),
        };
    }

    /// Ends the round if all its chunks are stored, and returns the completions that this makes
    /// durable. Called only while no transaction is in flight.
    pub(super) fn complete(&mut self) -> Option<Vec<CompletedAttempt>> {
        let Round::UnderWay {
            started,
            uncovered_since,
            covered,
            waiting,
            ..
        } = &mut self.round
        else {
            return None;
        };
        if !waiting.is_empty() {
            return None;
        }
        let covered = std::mem::take(covered);
        self.round = Round::Idle {
            last_started: Some(*started),
            dirty_since: *uncovered_since,
        };
        Some(covered)
    }

    /// Abandons the round, if one is under way: the next round is due at once and encodes the
    /// snapshot again.
    pub(super) fn abort(&mut self) {
        if let Round::UnderWay {
            dirty_since,
            uncovered_since,
            ..
        } = self.round
        {
            self.round = Round::Idle {
                last_started: None,
                dirty_since: dirty_since.or(uncovered_since),
            };
        }
    }
}

/// The write of a chunk, or its deletion if there is no value.
fn chunk_write(key: &str, value: Option<&Value>) -> PendingWrite {
    let mutation = match value {
        Some(value) => Mutation::put(key.to_owned(), value.clone()),
        None => Mutation::delete(key.to_owned()),
    };
    PendingWrite {
        purpose: WritePurpose::SnapshotChunk {
            key: key.to_owned(),
            value: value.cloned(),
        },
        mutation,
    }
}
