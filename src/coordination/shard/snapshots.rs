//! When the shard is snapshotted, and what workers may forget once it is.

use std::collections::BTreeMap;
use std::time::Instant;

use super::writes::Finish;
use super::{Fact, Phase, Shard};
use crate::protocol::state::Change;
use crate::protocol::workers::Ending;
use crate::storage::snapshot;

impl Shard {
    /// Takes a snapshot if one is due, and queues the chunks that changed.
    pub(super) fn begin_cycle(&mut self, now: Instant) {
        let due = match self.writes.last_cycle {
            Some(last) => now.saturating_duration_since(last) >= self.policy.snapshot,
            None => true,
        };
        if !due {
            return;
        }
        self.writes.last_cycle = Some(now);
        let rows: Vec<_> = self
            .jobs
            .values()
            .filter(|job| job.over.is_none())
            .map(|job| {
                let placed = job
                    .live()
                    .iter()
                    .map(|(n, machine)| (*n, machine.to_string()))
                    .collect::<BTreeMap<_, _>>()
                    .into_iter()
                    .collect::<Vec<_>>();
                (&*job.id, job.done(), placed)
            })
            .collect();
        let chunks = snapshot::encode(rows.into_iter(), self.policy.value_bytes);
        // What a part no longer holds is written elsewhere first: in a later part
        // where there are more of them than before, since jobs came or the limits
        // were lowered, else in an earlier one.
        let mut parts: Vec<_> = chunks.iter().collect();
        if chunks.len() > self.writes.written.len() {
            parts.reverse();
        }
        for (key, value) in parts {
            if self.writes.written.get(key) != Some(value) {
                self.writes.chunks.push_back((
                    Fact::Chunk(key.clone(), Some(value.clone())),
                    Change::put(key.clone(), value.clone()),
                ));
            }
        }
        for key in self.writes.written.keys() {
            if !chunks.contains_key(key) {
                self.writes
                    .chunks
                    .push_back((Fact::Chunk(key.clone(), None), Change::delete(key.clone())));
            }
        }
        self.writes.covered = self.unrecorded_finishes();
        self.writes.cycle = true;
    }

    fn unrecorded_finishes(&self) -> Vec<Finish> {
        let mut finishes = Vec::new();
        for machine in self.machines.values() {
            for (key, attempt) in &machine.attempts {
                if attempt.phase == Phase::Ended(Ending::Done) && !attempt.clearable {
                    finishes.push((machine.id.clone(), key.clone()));
                }
            }
        }
        finishes
    }

    /// The whole snapshot is written: workers may forget what it holds.
    pub(super) fn end_cycle(&mut self) {
        self.writes.cycle = false;
        self.writes.dirty_since = self.writes.dirty_next.take();
        for (machine, key) in std::mem::take(&mut self.writes.covered) {
            if let Some(attempt) = self
                .machines
                .get_mut(&machine)
                .and_then(|m| m.attempts.get_mut(&key))
            {
                attempt.clearable = true;
            }
        }
    }
}
