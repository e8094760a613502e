//! When the shard is snapshotted, and what workers may forget once it is.

use std::time::Instant;

use super::WritePurpose;
use super::writes::Finish;
use crate::coordination::shard::{Job, Phase, Shard};
use crate::protocol::kv::Mutation;
use crate::protocol::workers::AttemptOutcome;
use crate::storage::snapshot;

/// About what a placement takes of a snapshot, and what its job takes.
const PLACEMENT_BYTES: usize = 18;
const JOB_BYTES: usize = 54;
/// Share of the staleness bound that writing all placements may attempt_number.
const PLACEMENT_TIME_SHARE: f64 = 0.5;

/// Where a job's tasks are, by number.
fn placements(job: &Job) -> Vec<(u32, String)> {
    let live = job.live().iter();
    let mut placed: Vec<(u32, String)> = live
        .map(|(index, machine)| (*index, machine.to_string()))
        .collect();
    placed.sort_unstable();
    placed
}

impl Shard {
    /// Takes a snapshot if one is due, and queues the chunks that changed.
    pub(in crate::coordination::shard) fn begin_snapshot_round(&mut self, now: Instant) {
        let due = match self.writes.last_round {
            Some(last) => now.saturating_duration_since(last) >= self.policy.snapshot,
            None => true,
        };
        if !due {
            return;
        }
        self.writes.last_round = Some(now);
        let with_placements = self.placements_fit();
        let rows: Vec<_> = self
            .jobs
            .values()
            .filter(|job| job.final_stage.is_none())
            .map(|job| {
                let placed = if with_placements {
                    placements(job)
                } else {
                    Vec::new()
                };
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
                    WritePurpose::Chunk(key.clone(), Some(value.clone())),
                    Mutation::put(key.clone(), value.clone()),
                ));
            }
        }
        for key in self.writes.written.keys() {
            if !chunks.contains_key(key) {
                self.writes.chunks.push_back((
                    WritePurpose::Chunk(key.clone(), None),
                    Mutation::delete(key.clone()),
                ));
            }
        }
        self.writes.covered = self.unrecorded_finishes();
        self.writes.round_in_progress = true;
    }

    /// Whether a snapshot that tells where all tasks are can be written soon enough. What
    /// is done has to be in it; placements are only a hint to the next leader, which
    /// rebuilds them from the heartbeats, and must not hold up the starts.
    fn placements_fit(&self) -> bool {
        let bytes_of = |job: &Job| match job.live().len() {
            0 => 0,
            placed => placed * PLACEMENT_BYTES + JOB_BYTES,
        };
        let bytes: usize = self.jobs.values().map(bytes_of).sum();
        let seconds = self.policy.staleness.as_secs_f64() * PLACEMENT_TIME_SHARE;
        let chunks = self.policy.snapshot_writes_per_s * seconds;
        let room = chunks * self.policy.value_bytes as f64;
        bytes as f64 <= room
    }

    fn unrecorded_finishes(&self) -> Vec<Finish> {
        let mut finishes = Vec::new();
        for machine in self.machines.values() {
            for (key, attempt) in &machine.attempts {
                if attempt.phase == Phase::Ended(AttemptOutcome::Done) && !attempt.clearable {
                    finishes.push((machine.id.clone(), key.clone()));
                }
            }
        }
        finishes
    }

    /// The whole snapshot is written: workers may forget what it holds.
    pub(in crate::coordination::shard) fn end_snapshot_round(&mut self) {
        self.writes.round_in_progress = false;
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
