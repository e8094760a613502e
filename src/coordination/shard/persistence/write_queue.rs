//! The queue of durable writes, which selects the contents of the next transaction on the shard's
//! keys.

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

/// The next step of writing durable state.
#[derive(Debug)]
pub(super) enum NextWrite {
    /// Send this transaction.
    Send(ShardWrite),
    /// The whole snapshot is stored, which makes these completions durable.
    SnapshotStored(Vec<CompletedAttempt>),
}

/// All writes of the shard that are not durable yet, and their budgets.
///
/// Invariant: while a transaction is in flight, [`Self::next`] returns no other; for each one that
/// it returned, the caller reports the result by [`Self::write_applied`] or
/// [`Self::write_refused`].
///
/// The queues have no length limit: each entry corresponds to one change of a machine, a rental or
/// a delegation, or to one chunk of the snapshot.
#[derive(Debug, Default)]
pub(in crate::coordination::shard) struct WriteQueue {
    /// Records of rentals and delegations, oldest first.
    records: VecDeque<PendingWrite>,
    /// The machines that may hold tasks.
    roster: Roster,
    /// The purposes of the roster's changed pages, applied once all of these pages are durable.
    roster_purposes: Vec<WritePurpose>,
    snapshots: SnapshotRounds,
    /// Budget for snapshot chunks, and for the sequence numbers of transactions with nothing else.
    snapshot_budget: TokenBucket,
    /// Budget for all other records, which wait and accumulate while it is in debt.
    record_budget: TokenBucket,
    has_write_in_flight: bool,
    /// Whether a write is needed for its revision, even if nothing is to be written.
    needs_revision: bool,
}

impl WriteQueue {
    /// The queue of a new leader that has read these chunks of a snapshot from the store.
    pub(crate) fn recovered(chunks: BTreeMap<String, Value>) -> Self {
        Self {
            snapshots: SnapshotRounds::recovered(chunks),
            ..Self::default()
        }
    }

    /// Adds an entry that was read from a page of the stored roster.
    pub(crate) fn load_roster_entry(
        &mut self,
        page: u32,
        machine: MachineId,
        record: RosterRecord,
    ) {
        self.roster.load(page, machine, record);
    }

    /// Records a change of a task's progress, which a snapshot has to hold.
    pub(crate) fn progress_changed(&mut self, now: Instant) {
        self.snapshots.note_change(now);
    }

    /// Whether some change of progress was made more than `bound` ago and is still not durable.
    pub(crate) fn is_stale(&self, now: Instant, bound: Duration) -> bool {
        self.snapshots.unrecorded_for(now) > bound
    }

    /// Describes the queues and the snapshot budget as text for operators.
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

    /// Requests a write, whatever it holds, since its revision is needed.
    pub(crate) fn request_revision(&mut self) {
        self.needs_revision = true;
    }

    /// Queues a record.
    pub(crate) fn push_record(&mut self, purpose: WritePurpose, mutation: Mutation) {
        self.records.push_back(PendingWrite { purpose, mutation });
    }

    /// Adds a machine to the roster or changes its entry. A page takes at most `value_bytes`.
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

    /// Adds the tokens accrued since the last call to the budgets.
    pub(super) fn refill_budgets(&mut self, limits: &WriteLimits, now: Instant) {
        let chunk_burst = limits.chunk_burst();
        self.snapshot_budget
            .refill(limits.snapshot_writes_per_s, chunk_burst, now);
        let record_rate = limits.record_writes_per_s;
        self.record_budget.refill(record_rate, record_rate, now);
    }

    /// Whether a snapshot round should start now.
    pub(super) fn snapshot_due(&self, limits: &WriteLimits, now: Instant) -> bool {
        !self.has_write_in_flight && self.snapshots.is_due(limits.snapshot_interval, now)
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

    /// Returns the next transaction; None while one is in flight, or while nothing may be written
    /// now. If the snapshot round under way is written completely, ends it instead.
    pub(super) fn next(&mut self, limits: &WriteLimits) -> Option<NextWrite> {
        if self.has_write_in_flight {
            return None;
        }
        let transaction = self.fill_transaction(limits);
        if transaction.is_empty() {
            if let Some(completed) = self.snapshots.complete() {
                return Some(NextWrite::SnapshotStored(completed));
            }
            if !self.needs_revision || self.record_budget.available() <= 0.0 {
                return None;
            }
            self.record_budget.spend_one();
        } else {
            self.sequence_budget(&transaction).spend_one();
        }
        self.needs_revision = false;
        self.has_write_in_flight = true;
        Some(NextWrite::Send(transaction.build()))
    }

    /// The budget from which the transaction's sequence number is paid.
    fn sequence_budget(&mut self, transaction: &TransactionBuilder) -> &mut TokenBucket {
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
            self.add_roster_pages(limits, &mut transaction);
            self.add_records(&mut transaction);
        }
        // Records go first; chunks fill the rest of a transaction.
        if !records_allowed || self.records.is_empty() {
            self.add_chunks(limits, &mut transaction);
        }
        transaction
    }

    /// Moves changed pages of the roster into the transaction. The purposes of their entries are
    /// added once all changed pages are in this or an earlier transaction.
    fn add_roster_pages(&mut self, limits: &WriteLimits, transaction: &mut TransactionBuilder) {
        while self.roster.has_mutations() && transaction.has_room_for_value(limits.value_bytes) {
            if let Some(page) = self.roster.next_mutation(limits.value_bytes) {
                transaction.push_roster_page(page);
            }
        }
        if !self.roster.has_mutations() && !transaction.is_empty() {
            transaction.append_roster_purposes(&mut self.roster_purposes);
        }
    }

    fn add_records(&mut self, transaction: &mut TransactionBuilder) {
        while let Some(next) = self.records.front()
            && transaction.has_room_for(&next.mutation)
            && let Some(record) = self.records.pop_front()
        {
            self.record_budget.spend_one();
            transaction.push_record(record);
        }
    }

    /// Moves chunks of the snapshot into the transaction. Chunks are added to records, or wait
    /// until the budget allows a full transaction of chunks: a transaction for each chunk would
    /// spend as much of the budget on sequence numbers as on chunks.
    fn add_chunks(&mut self, limits: &WriteLimits, transaction: &mut TransactionBuilder) {
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

    /// Records that the transaction in flight was applied.
    pub(super) fn write_applied(&mut self, write: &ShardWrite) {
        self.has_write_in_flight = false;
        for purpose in &write.purposes {
            if let WritePurpose::SnapshotChunk { key, value } = purpose {
                self.snapshots.chunk_stored(key, value.as_ref());
            }
        }
    }

    /// Records that the store refused the transaction in flight as too large. Its records and
    /// roster pages are queued again; the snapshot is encoded again within the new limits.
    pub(super) fn write_refused(&mut self, write: &ShardWrite) {
        self.has_write_in_flight = false;
        let mut mutations = self.requeue_roster_pages(write).into_iter();
        for purpose in &write.purposes {
            if purpose.is_roster_purpose() {
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
        let mut other_mutations = Vec::new();
        for mutation in &write.mutations {
            let (Mutation::Put { key, .. } | Mutation::Delete { key }) = mutation;
            if !self.roster.mark_unwritten(key) {
                other_mutations.push(mutation);
            }
        }
        other_mutations
    }
}
