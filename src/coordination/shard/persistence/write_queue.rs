//! The queue of durable writes: what the next transaction on the shard's keys holds.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::shard_write::{PendingWrite, ShardWrite, WritePurpose};
use super::snapshot_rounds::{CompletedAttempt, SnapshotRounds};
use super::token_bucket::TokenBucket;
use super::transaction::TransactionBuilder;
use super::write_limits::WriteLimits;
use crate::protocol::MachineId;
use crate::protocol::kv::Mutation;
use crate::storage::records::RosterRecord;
use crate::storage::roster::Roster;

/// What is to be done next about durable writes.
#[derive(Debug)]
pub(super) enum NextWrite {
    /// Send this transaction.
    Send(ShardWrite),
    /// The whole snapshot is stored, and with it these completions.
    SnapshotStored(Vec<CompletedAttempt>),
}

/// All writes of the shard that are not durable yet, and their budgets.
///
/// Invariant: while a transaction is in flight, no other is handed out; each one handed out
/// is answered by [`Self::written`] or [`Self::refused`].
///
/// The queues have no bound of their own: each entry stands for one change of a machine, a
/// rental or a delegation, or for one chunk of the snapshot.
#[derive(Debug, Default)]
pub(in crate::coordination::shard) struct WriteQueue {
    /// Rentals and delegations, oldest first.
    records: VecDeque<PendingWrite>,
    /// The machines that may hold tasks.
    roster: Roster,
    /// What follows once all changed pages of the roster are durable.
    roster_purposes: Vec<WritePurpose>,
    snapshots: SnapshotRounds,
    /// Budget of snapshots: mutations with chunks, and sequence numbers for these alone.
    snapshot_budget: TokenBucket,
    /// Budget of all other records. While it is in debt they wait, and gather.
    record_budget: TokenBucket,
    in_flight: bool,
}

impl WriteQueue {
    /// The queue of a new leader: the store holds these chunks of a snapshot.
    pub(crate) fn recovered(chunks: BTreeMap<String, Value>) -> Self {
        Self {
            snapshots: SnapshotRounds::recovered(chunks),
            ..Self::default()
        }
    }

    /// Takes in an entry of a page of the stored roster.
    pub(crate) fn load_roster_entry(
        &mut self,
        page: u32,
        machine: MachineId,
        record: RosterRecord,
    ) {
        self.roster.load(page, machine, record);
    }

    /// Progress of a task that a snapshot has to hold.
    pub(crate) fn progress_changed(&mut self, now: Instant) {
        self.snapshots.note_change(now);
    }

    /// Whether some progress has not been durable for longer than `bound`.
    pub(crate) fn is_stale(&self, now: Instant, bound: Duration) -> bool {
        self.snapshots.unrecorded_for(now) > bound
    }

    /// The queues and the snapshot budget, as text for operators.
    pub(crate) fn describe(&self, now: Instant) -> String {
        format!(
            "writes: {} records, {} roster entries and {} chunks wait, {:.0} chunks allowed now, unrecorded for {:?}",
            self.records.len(),
            self.roster_purposes.len(),
            self.snapshots.waiting_chunks(),
            self.snapshot_budget.available().max(0.0),
            self.snapshots.unrecorded_for(now),
        )
    }

    /// Queues a record.
    pub(crate) fn push_record(&mut self, purpose: WritePurpose, mutation: Mutation) {
        self.records.push_back(PendingWrite { purpose, mutation });
    }

    /// Enters a machine into the roster or changes its entry; `value_bytes` is the most
    /// that a page may take.
    pub(super) fn put_roster_entry(
        &mut self,
        machine: &MachineId,
        record: RosterRecord,
        value_bytes: usize,
        purpose: WritePurpose,
    ) {
        self.roster.put(machine, record, value_bytes);
        self.roster_purposes.push(purpose);
    }

    /// Removes a machine from the roster.
    pub(super) fn remove_roster_entry(&mut self, machine: &MachineId) {
        self.roster.remove(machine);
    }

    /// Adds to the budgets what has accrued since the last call.
    pub(super) fn refill_budgets(&mut self, limits: &WriteLimits, now: Instant) {
        let chunk_burst = limits.chunk_burst();
        self.snapshot_budget
            .refill(limits.snapshot_writes_per_s, chunk_burst, now);
        let record_rate = limits.record_writes_per_s;
        self.record_budget.refill(record_rate, record_rate, now);
    }

    /// Whether a snapshot round should start now.
    pub(super) fn snapshot_due(&self, limits: &WriteLimits, now: Instant) -> bool {
        !self.in_flight && self.snapshots.is_due(limits.snapshot_interval, now)
    }

    /// Starts a snapshot round; see [`SnapshotRounds::begin`].
    pub(super) fn begin_snapshot_round(
        &mut self,
        encoded: &BTreeMap<String, Value>,
        covered: Vec<CompletedAttempt>,
        now: Instant,
    ) {
        self.snapshots.begin(encoded, covered, now);
    }

    /// The next transaction, unless one is in flight. If nothing is left to write, the end
    /// of the snapshot round under way.
    pub(super) fn next(&mut self, limits: &WriteLimits) -> Option<NextWrite> {
        if self.in_flight {
            return None;
        }
        let transaction = self.fill_transaction(limits);
        if transaction.is_empty() {
            return self.snapshots.complete().map(NextWrite::SnapshotStored);
        }
        self.budget_of(&transaction).spend_one();
        self.in_flight = true;
        Some(NextWrite::Send(transaction.build()))
    }

    /// The budget that the transaction's sequence number is taken from.
    fn budget_of(&mut self, transaction: &TransactionBuilder) -> &mut TokenBucket {
        if transaction.is_snapshot_only() {
            &mut self.snapshot_budget
        } else {
            &mut self.record_budget
        }
    }

    fn fill_transaction(&mut self, limits: &WriteLimits) -> TransactionBuilder {
        let mut transaction = TransactionBuilder::new(limits.txn_ops);
        let records_allowed = self.record_budget.available() > 0.0;
        if records_allowed {
            self.take_roster_pages(limits, &mut transaction);
            self.take_records(&mut transaction);
        }
        // Records go first; chunks take what is left of a transaction.
        if !records_allowed || self.records.is_empty() {
            self.take_chunks(limits, &mut transaction);
        }
        transaction
    }

    /// Takes changed pages of the roster. What follows from the entries follows once all
    /// pages are in this or an earlier transaction.
    fn take_roster_pages(&mut self, limits: &WriteLimits, transaction: &mut TransactionBuilder) {
        while self.roster.has_mutations() && transaction.has_room_for_value(limits.value_bytes) {
            if let Some(page) = self.roster.next_mutation(limits.value_bytes) {
                transaction.push_roster_page(page);
            }
        }
        if !self.roster.has_mutations() && !transaction.is_empty() {
            transaction.append_roster_purposes(&mut self.roster_purposes);
        }
    }

    fn take_records(&mut self, transaction: &mut TransactionBuilder) {
        while let Some(next) = self.records.front()
            && transaction.has_room_for(&next.mutation)
            && let Some(record) = self.records.pop_front()
        {
            self.record_budget.spend_one();
            transaction.push_record(record);
        }
    }

    /// Takes chunks of the snapshot. They go along with records, or wait until the budget
    /// allows a full transaction: one for each chunk would spend as much on sequence numbers.
    fn take_chunks(&mut self, limits: &WriteLimits, transaction: &mut TransactionBuilder) {
        let chunks = self
            .snapshots
            .waiting_chunks()
            .min(transaction.max_mutations());
        let with_sequence = (chunks + 1) as f64;
        let budget = self.snapshot_budget.available();
        if transaction.is_empty() && budget < with_sequence.min(limits.chunk_burst()) {
            return;
        }
        while self.snapshot_budget.available() >= 1.0
            && let Some(next) = self.snapshots.next_chunk()
            && transaction.has_room_for(&next.mutation)
            && let Some(chunk) = self.snapshots.take_chunk()
        {
            self.snapshot_budget.spend_one();
            transaction.push_chunk(chunk);
        }
    }

    /// The transaction in flight was applied.
    pub(super) fn written(&mut self, write: &ShardWrite) {
        self.in_flight = false;
        for purpose in &write.purposes {
            if let WritePurpose::SnapshotChunk { key, value } = purpose {
                self.snapshots.chunk_stored(key, value.as_ref());
            }
        }
    }

    /// The store refused the transaction in flight as too large. Its records and pages of
    /// the roster are queued again; the snapshot is encoded again, within the new limits.
    pub(super) fn refused(&mut self, write: &ShardWrite) {
        self.in_flight = false;
        let mut mutations = self.requeue_roster_pages(write).into_iter();
        for purpose in &write.purposes {
            if purpose.is_of_roster() {
                self.roster_purposes.push(purpose.clone());
                continue;
            }
            let Some(mutation) = mutations.next() else {
                continue;
            };
            if !matches!(purpose, WritePurpose::SnapshotChunk { .. }) {
                self.records.push_front(PendingWrite {
                    purpose: purpose.clone(),
                    mutation: mutation.clone(),
                });
            }
        }
        self.snapshots.abort();
    }

    /// Marks the refused pages of the roster as changed; returns the other mutations.
    fn requeue_roster_pages<'a>(&mut self, write: &'a ShardWrite) -> Vec<&'a Mutation> {
        let mut others = Vec::new();
        for mutation in &write.mutations {
            let (Mutation::Put { key, .. } | Mutation::Delete { key }) = mutation;
            if !self.roster.not_written(key) {
                others.push(mutation);
            }
        }
        others
    }
}
