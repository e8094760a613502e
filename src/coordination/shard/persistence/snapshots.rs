//! Builds the shard's snapshot, and lets workers clear completed attempts once it is stored.

use std::time::Instant;

use super::snapshot_rounds::CompletedAttempt;
use crate::coordination::shard::{Job, Phase, Shard};
use crate::protocol::workers::AttemptOutcome;
use crate::storage::snapshot::{self, SnapshotRow, TaskPlacement};

/// Approximate size of a placement in a snapshot.
const PLACEMENT_BYTES: usize = 18;
/// Approximate size in a snapshot of a job with placements, without the placements themselves.
const JOB_BYTES: usize = 54;
/// Largest share of the staleness bound that writing all placements may take.
const PLACEMENT_TIME_SHARE: f64 = 0.5;

impl Shard {
    /// Encodes a snapshot and queues those of its chunks that changed.
    pub(super) fn begin_snapshot_round(&mut self, now: Instant) {
        let with_placements = self.placements_fit();
        let unfinished = self.jobs.values().filter(|job| job.final_stage.is_none());
        let rows: Vec<_> = unfinished
            .map(|job| {
                let placements = if with_placements {
                    placements(job)
                } else {
                    Vec::new()
                };
                SnapshotRow {
                    job: &job.id,
                    done: job.done(),
                    placements,
                }
            })
            .collect();
        let chunks = snapshot::encode(rows, self.policy.value_bytes);
        let covered = self.unrecorded_completions();
        self.writes.begin_snapshot_round(&chunks, covered, now);
    }

    /// Whether a snapshot with all placements can be written well before changes count as
    /// stale. Completions have to be in every snapshot. Placements are only a hint to the next
    /// leader, which rebuilds them from heartbeats, and writing them must not delay task starts.
    fn placements_fit(&self) -> bool {
        let bytes: usize = self.jobs.values().map(placement_bytes).sum();
        let max_seconds = self.policy.max_staleness.as_secs_f64() * PLACEMENT_TIME_SHARE;
        let max_chunks = self.policy.snapshot_writes_per_s * max_seconds;
        let writable_bytes = max_chunks * self.policy.value_bytes as f64;
        bytes as f64 <= writable_bytes
    }

    /// The completed attempts that workers may not clear yet, as no stored snapshot holds their
    /// completion.
    fn unrecorded_completions(&self) -> Vec<CompletedAttempt> {
        let mut completed = Vec::new();
        for machine in self.machines.values() {
            for (id, attempt) in &machine.attempts {
                if attempt.phase == Phase::Ended(AttemptOutcome::Done) && !attempt.clearable {
                    completed.push(CompletedAttempt {
                        machine: machine.id.clone(),
                        attempt: id.clone(),
                    });
                }
            }
        }
        completed
    }

    /// Lets workers clear attempts whose completion is durable.
    pub(super) fn allow_clearing(&mut self, completed: &[CompletedAttempt]) {
        for CompletedAttempt { machine, attempt } in completed {
            let machine = self.machines.get_mut(machine);
            if let Some(attempt) = machine.and_then(|machine| machine.attempts.get_mut(attempt)) {
                attempt.clearable = true;
            }
        }
    }
}

/// The placements of a job's tasks, in the order of the tasks' indices.
fn placements(job: &Job) -> Vec<TaskPlacement> {
    let live = job.live().iter();
    let mut placements: Vec<TaskPlacement> = live
        .map(|(index, machine)| TaskPlacement {
            index,
            machine: machine.to_string(),
        })
        .collect();
    placements.sort_unstable_by_key(|placement| placement.index);
    placements
}

/// Approximate size in a snapshot of a job's placements, zero if it has none.
fn placement_bytes(job: &Job) -> usize {
    match job.live().len() {
        0 => 0,
        placed_tasks => placed_tasks * PLACEMENT_BYTES + JOB_BYTES,
    }
}
