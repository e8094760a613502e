//! Failover: from what is stored to a shard that can act.

use crate::protocol::FencingToken;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::coordination::shard::autoscaler::{Autoscaler, DeletionReason};
use crate::coordination::shard::{Job, Machine, Machines, Policy, Shard, persistence};
use crate::coordination::worker_leases::DELEGATION_TIME;
use crate::protocol::MachineId;
use crate::storage::records::{JobRecord, RentalRecord, RosterRecord};
use crate::storage::snapshot;

/// Bits of a task's attempt number below the fencing token's.
const ATTEMPT_BITS: u32 = 24;

/// A machine of the stored roster.
#[derive(Debug, Clone)]
pub struct RecoveredMachine {
    /// The machine's name.
    pub id: String,
    /// The page that holds it.
    pub page: u32,
    /// Its entry there.
    pub record: RosterRecord,
}

/// What was read after the fencing token was raised.
#[derive(Debug, Default, Clone)]
pub struct RecoveredState {
    /// Unfinished jobs: id, version of the record, record.
    pub jobs: Vec<(String, u64, JobRecord)>,
    /// The machines of all pages.
    pub roster: Vec<RecoveredMachine>,
    /// The snapshot's chunks by key.
    pub chunks: BTreeMap<String, Value>,
    /// Rentals that are not yet answered.
    pub pending_rentals: Vec<RentalRecord>,
}

impl Shard {
    /// A shard just acquired. Everything loaded must have been read after the
    /// leadership record was written.
    pub fn recover(
        policy: Policy,
        fencing_token: FencingToken,
        recovered: RecoveredState,
        now: Instant,
        wall_ms: u64,
    ) -> Self {
        let mut shard = Self {
            policy,
            fencing_token,
            acquired: now,
            acquired_wall_ms: wall_ms,
            types: BTreeMap::new(),
            jobs: BTreeMap::new(),
            machines: Machines::default(),
            deleted_machines: HashMap::new(),
            unreconciled: BTreeSet::new(),
            autoscaler: Autoscaler::default(),
            writes: persistence::WriteQueue::default(),
            delegations: Default::default(),
            snapshot_placements: HashMap::new(),
            // A task's attempt number never repeats, whatever was lost: the
            // fencing token is in it.
            next_attempt_number: fencing_token.revision() << ATTEMPT_BITS,
            next_command: 0,
            main_zone: None,
            needs_pass: true,
            running: HashMap::new(),
            counted: None,
            out: Vec::new(),
        };
        for (id, mod_revision, record) in recovered.jobs {
            let age = Duration::from_millis(wall_ms.saturating_sub(record.accepted_at_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            shard.autoscaler.record_arrival(&record.spec, at, now);
            let id = id.as_str().into();
            shard.jobs.insert(
                std::sync::Arc::clone(&id),
                Job::new(id, mod_revision, record),
            );
        }
        for (id, progress) in snapshot::decode(recovered.chunks.values()) {
            for machine in progress.placements.values() {
                *shard
                    .snapshot_placements
                    .entry(machine.as_str().into())
                    .or_default() += 1;
            }
            if let Some(job) = shard.jobs.get_mut(id.as_str()) {
                let tasks = job.spec.tasks;
                for index in progress.done.iter().take_while(|index| *index < tasks) {
                    job.complete(index);
                }
            }
        }
        shard.writes = persistence::WriteQueue::recovered(recovered.chunks);
        // A delegate of the last leader may have answered workers until just now.
        // Or one that was cut off goes on answering them by its advance delegation.
        let kept = DELEGATION_TIME.max(shard.policy.advance_delegation);
        let lease_expires_at = now + shard.policy.worker_lease_bound() + kept;
        for RecoveredMachine { id, page, record } in recovered.roster {
            let id: MachineId = id.as_str().into();
            shard
                .writes
                .load_roster_entry(page, id.clone(), record.clone());
            let mut machine = Machine::new(id.clone(), now, lease_expires_at);
            machine.describe(
                &record.addr,
                &record.machine_type,
                &record.zone,
                record.spot,
            );
            machine.set_admitted();
            shard.unreconciled.insert(id.clone());
            shard.machines.insert(machine);
            if record.deleting {
                shard.begin_deletion(&id, now, DeletionReason::RecordedEarlier);
            } else {
                shard.probe(&id, 1);
            }
        }
        for pending_rental in recovered.pending_rentals {
            shard.resume_rental(pending_rental.rental);
        }
        let complete: Vec<_> = shard
            .jobs
            .values()
            .filter(|job| job.all_done())
            .map(|job| job.id.clone())
            .collect();
        for id in complete {
            shard.finish_if_done(&id);
        }
        tracing::info!(%fencing_token, summary = shard.summary(), "shard taken over");
        shard
    }

    pub(in crate::coordination::shard) fn new_attempt_number(&mut self) -> u64 {
        self.next_attempt_number += 1;
        self.next_attempt_number
    }
}
