//! Failover: builds the shard of a newly elected leader from the key-value store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::UnreconciledMachines;
use crate::coordination::shard::autoscaler::{Autoscaler, DeletionReason};
use crate::coordination::shard::dispatch::FIRST_AGENT_EPOCH;
use crate::coordination::shard::jobs::RunningTasks;
use crate::coordination::shard::machines::DeletedMachines;
use crate::coordination::shard::persistence::WriteQueue;
use crate::coordination::shard::token_raises::TokenRaises;
use crate::coordination::shard::{Job, Machine, Machines, Policy, Shard, UnfinishedJob};
use crate::coordination::worker_leases::DELEGATION_TIME;
use crate::coordination::worker_leases::run_permit::RunDeadline;
use crate::protocol::{FencingToken, JobId, MachineId};
use crate::storage::records::{RentalRecord, RosterRecord};
use crate::storage::snapshot;

/// How many low bits of an attempt number count the attempts of one leader; the bits above them
/// hold the fencing token. They limit how many attempts one leader can start.
const ATTEMPT_COUNTER_BITS: u32 = 24;

/// A machine in the stored roster.
#[derive(Debug, Clone)]
pub struct RecoveredMachine {
    /// The machine's name.
    pub id: String,
    /// The page of the roster that holds its entry.
    pub page: u32,
    /// The machine's roster entry.
    pub record: RosterRecord,
}

/// The shard's records in the key-value store, read after the fencing token was raised, so that
/// no earlier leader can change them any more.
#[derive(Debug, Default, Clone)]
pub struct RecoveredState {
    /// The unfinished jobs.
    pub jobs: Vec<UnfinishedJob>,
    /// The machines of all pages of the roster.
    pub roster: Vec<RecoveredMachine>,
    /// The snapshot's chunks by key.
    pub chunks: BTreeMap<String, Value>,
    /// Rental requests whose outcome is not recorded.
    pub pending_rentals: Vec<RentalRecord>,
}

/// The fencing token of the leader that launched an attempt, by the attempt's number.
pub(super) fn launched_by(attempt_number: u64) -> FencingToken {
    FencingToken::new(attempt_number >> ATTEMPT_COUNTER_BITS)
}

impl Shard {
    /// Builds the shard of a leader that was just elected. `recovered` must have been read after
    /// the leader record was written.
    pub fn recover(
        policy: Policy,
        fencing_token: FencingToken,
        recovered: RecoveredState,
        now: Instant,
        wall_ms: u64,
    ) -> Self {
        let mut shard = Self::empty(policy, fencing_token, now, wall_ms);
        shard.recover_jobs(recovered.jobs, now);
        shard.recover_progress(&recovered.chunks);
        shard.writes = WriteQueue::recovered(recovered.chunks);
        shard.recover_roster(recovered.roster, now);
        for pending_rental in recovered.pending_rentals {
            shard.resume_rental(pending_rental.rental);
        }
        shard.finish_completed_jobs();
        tracing::info!(%fencing_token, summary = shard.summary(), "shard recovered");
        shard
    }

    /// Creates a shard without jobs and machines.
    fn empty(policy: Policy, fencing_token: FencingToken, now: Instant, wall_ms: u64) -> Self {
        Self {
            policy,
            fencing_token,
            token_raises: TokenRaises::new(fencing_token),
            term_began: now,
            term_began_wall_ms: wall_ms,
            machine_types: BTreeMap::new(),
            jobs: BTreeMap::new(),
            machines: Machines::default(),
            deleted_machines: DeletedMachines::default(),
            unreconciled: UnreconciledMachines::default(),
            autoscaler: Autoscaler::default(),
            writes: WriteQueue::default(),
            delegations: Default::default(),
            last_attempt_number: fencing_token.revision() << ATTEMPT_COUNTER_BITS,
            last_batch_number: 0,
            main_zone: None,
            run_deadline: RunDeadline::default(),
            needs_pass: true,
            running_tasks: RunningTasks::default(),
            violation_count: 0,
            #[cfg(test)]
            are_violations_expected: false,
            pending_actions: Vec::new(),
        }
    }

    fn recover_jobs(&mut self, jobs: Vec<UnfinishedJob>, now: Instant) {
        for UnfinishedJob {
            id,
            mod_revision,
            record,
        } in jobs
        {
            let age = self
                .term_began_wall_ms
                .saturating_sub(record.accepted_at_ms);
            let accepted_at = now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
            self.autoscaler
                .record_arrival(&record.spec, accepted_at, now);
            let id: JobId = id.as_str().into();
            let job = Job::new(id.clone(), mod_revision, record);
            self.jobs.insert(id, job);
        }
    }

    /// Marks the tasks as completed that the snapshot lists as completed, and counts the snapshot's
    /// placements on each machine. These are only a hint: the locations of tasks are known from
    /// heartbeats.
    fn recover_progress(&mut self, chunks: &BTreeMap<String, Value>) {
        for (id, progress) in snapshot::decode(chunks.values()) {
            for machine in progress.placements.values() {
                self.unreconciled
                    .note_snapshot_placement(machine.as_str().into());
            }
            if let Some(job) = self.jobs.get_mut(id.as_str()) {
                let tasks = job.spec.tasks;
                for index in progress.done.iter().take_while(|index| *index < tasks) {
                    job.complete(index);
                }
            }
        }
    }

    /// Adds the machines of the roster as unreconciled and probes them, or deletes those whose
    /// entry records a deletion.
    fn recover_roster(&mut self, roster: Vec<RecoveredMachine>, now: Instant) {
        // A delegate of the last leader may renew leases for DELEGATION_TIME after its last read
        // of its record, and a partitioned controller may continue to renew them under its advance
        // delegation.
        let renewed_for = DELEGATION_TIME.max(self.policy.advance_delegation);
        let lease_expires_at = now + self.policy.worker_lease_bound() + renewed_for;
        for RecoveredMachine { id, page, record } in roster {
            let id: MachineId = id.as_str().into();
            self.writes
                .load_roster_entry(page, id.clone(), record.clone());
            let mut machine = Machine::new(id.clone(), now, lease_expires_at);
            machine.update_description(
                &record.addr,
                &record.machine_type,
                &record.zone,
                record.spot,
            );
            machine.set_admitted();
            self.unreconciled.insert(id.clone());
            self.machines.insert(machine);
            if record.deleting {
                self.begin_deletion(&id, now, DeletionReason::RecordedEarlier);
            } else {
                self.probe(&id, FIRST_AGENT_EPOCH);
            }
        }
    }

    /// Finishes the jobs whose tasks had all completed under the last leader, according to the
    /// snapshot.
    fn finish_completed_jobs(&mut self) {
        let completed: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.all_done())
            .map(|job| job.id.clone())
            .collect();
        for id in completed {
            self.finish_if_done(&id);
        }
    }
}
