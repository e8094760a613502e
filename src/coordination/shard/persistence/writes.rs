//! What the shard writes: facts at once, snapshots within their share of the
//! write budget. One transaction at a time, so that the shard's sequence
//! number orders them all.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::cloud::Rental;
use crate::protocol::kv::Mutation;
use crate::protocol::{AttemptId, MachineId};
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, RentalRecord, RosterRecord};
use crate::storage::roster::Roster;

/// What a change is for.
#[derive(Debug, Clone, PartialEq)]
pub enum WritePurpose {
    /// The machine may get tasks from now on.
    Admit(MachineId),
    /// The machine may be deleted from now on.
    Return(MachineId),
    /// The rental may be requested from now on.
    RecordScaleOut(Rental),
    /// The rental is answered.
    ClearScaleOut(String),
    /// A controller may keep silent workers.
    Delegated,
    /// It may no longer.
    Revoked(String),
    /// A chunk of the snapshot.
    Chunk(String, Option<Value>),
}

/// One transaction on the shard's keys.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardWrite {
    /// What the changes are for.
    pub purposes: Vec<WritePurpose>,
    /// The changes themselves.
    pub mutations: Vec<Mutation>,
}

/// A transaction as it is put together.
#[derive(Debug, Default)]
struct WriteInProgress {
    purposes: Vec<WritePurpose>,
    mutations: Vec<Mutation>,
    bytes: usize,
}

impl WriteInProgress {
    /// Whether it holds nothing but chunks of the snapshot.
    fn is_snapshot_only(&self) -> bool {
        let chunk = |enqueue: &WritePurpose| matches!(enqueue, WritePurpose::Chunk(..));
        self.purposes.len() == self.mutations.len() && self.purposes.iter().all(chunk)
    }
}

/// A finish that the worker may forget once a snapshot holds it.
pub(in crate::coordination::shard) type Finish = (MachineId, AttemptId);

/// The queue of writes.
#[derive(Debug, Default)]
pub struct WriteQueue {
    purposes: VecDeque<(WritePurpose, Mutation)>,
    pub(in crate::coordination::shard) roster: Roster,
    /// What follows once the roster's changes are written.
    entered: Vec<WritePurpose>,
    pub(in crate::coordination::shard) chunks: VecDeque<(WritePurpose, Mutation)>,
    in_flight: bool,
    /// What the key-value store holds of the snapshot.
    pub(in crate::coordination::shard) written: BTreeMap<String, Value>,
    /// Since when there are changes that no snapshot holds.
    pub(in crate::coordination::shard) dirty_since: Option<Instant>,
    /// The same for changes that the snapshot under way does not cover.
    pub(in crate::coordination::shard) dirty_next: Option<Instant>,
    /// The finishes that the snapshot being written covers.
    pub(in crate::coordination::shard) covered: Vec<Finish>,
    pub(in crate::coordination::shard) round_in_progress: bool,
    pub(in crate::coordination::shard) last_round: Option<Instant>,
    /// Chunk writes allowed now.
    tokens: f64,
    /// Changes for facts allowed now; below 0 they wait and gather.
    record_tokens: f64,
    refilled: Option<Instant>,
}

impl WriteQueue {
    pub fn progress_changed(&mut self, now: Instant) {
        let since = if self.round_in_progress {
            &mut self.dirty_next
        } else {
            &mut self.dirty_since
        };
        since.get_or_insert(now);
    }

    /// Whether recent progress has been unrecorded for too long.
    pub fn stale(&self, now: Instant, bound: Duration) -> bool {
        self.dirty_since
            .is_some_and(|since| now.saturating_duration_since(since) > bound)
    }

    /// The queues and the budget, as text for operators.
    pub(in crate::coordination::shard) fn describe(&self, now: Instant) -> String {
        format!(
            "writes: {} facts, {} roster entries and {} chunks wait, {:.0} chunks allowed now, unrecorded for {:?}",
            self.purposes.len(),
            self.entered.len(),
            self.chunks.len(),
            self.tokens.max(0.0),
            self.dirty_since
                .map(|since| now.saturating_duration_since(since))
                .unwrap_or_default(),
        )
    }

    pub(in crate::coordination::shard) fn enqueue(
        &mut self,
        enqueue: WritePurpose,
        change: Mutation,
    ) {
        self.purposes.push_back((enqueue, change));
    }
}

impl Shard {
    /// Records that a machine may hold tasks, before it gets any.
    pub(in crate::coordination::shard) fn admit(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if machine.admitted || machine.admission_asked || machine.deleting {
            return;
        }
        machine.admission_asked = true;
        let record = roster_record(machine, false);
        self.enter(id, record, WritePurpose::Admit(id.clone()));
    }

    /// Records that a machine is to be deleted, before it is.
    pub(in crate::coordination::shard) fn record_deletion(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let record = roster_record(machine, true);
        self.enter(id, record, WritePurpose::Return(id.clone()));
    }

    fn enter(&mut self, id: &MachineId, record: RosterRecord, enqueue: WritePurpose) {
        let most = self.policy.value_bytes;
        self.writes.roster.put(id, record, most);
        self.writes.entered.push(enqueue);
    }

    /// Takes a machine that is gone off the roster.
    pub(in crate::coordination::shard) fn record_gone(&mut self, id: &MachineId) {
        self.writes.roster.remove(id);
    }

    pub(in crate::coordination::shard) fn record_scale_out(&mut self, rental: &Rental) {
        let record = RentalRecord {
            format_version: FORMAT_VERSION,
            rental: rental.clone(),
        };
        if let Ok(value) = serde_json::to_value(record) {
            self.writes.enqueue(
                WritePurpose::RecordScaleOut(rental.clone()),
                Mutation::put(keys::pending_rental(&rental.request), value),
            );
        }
    }

    pub(in crate::coordination::shard) fn clear_scale_out(&mut self, request: &str) {
        self.writes.enqueue(
            WritePurpose::ClearScaleOut(request.to_owned()),
            Mutation::delete(keys::pending_rental(request)),
        );
    }

    /// Starts the next write if none is under way.
    pub(in crate::coordination::shard) fn flush_writes(&mut self, now: Instant) {
        self.refill(now);
        if self.writes.in_flight {
            return;
        }
        if !self.writes.round_in_progress {
            self.begin_snapshot_round(now);
        }
        // One change of every transaction is the sequence number's.
        let room = self.policy.txn_ops - 1;
        let facts_allowed = self.writes.record_tokens > 0.0;
        let mut write = WriteInProgress::default();
        if facts_allowed {
            self.take_roster_mutations(room, &mut write);
        }
        self.take_queued(room, facts_allowed, &mut write);
        if write.mutations.is_empty() {
            if self.writes.round_in_progress && self.writes.chunks.is_empty() {
                self.end_snapshot_round();
            }
            return;
        }
        // The sequence number is a change as well.
        if write.is_snapshot_only() {
            self.writes.tokens -= 1.0;
        } else {
            self.writes.record_tokens -= 1.0;
        }
        self.writes.in_flight = true;
        self.out.push(Action::Write(ShardWrite {
            purposes: write.purposes,
            mutations: write.mutations,
        }));
    }

    /// Takes changed pages of the roster. What follows from its changes follows once all
    /// of them are written.
    fn take_roster_mutations(&mut self, room: usize, write: &mut WriteInProgress) {
        let most = self.policy.value_bytes;
        while self.writes.roster.has_mutations()
            && write.mutations.len() < room
            && write.bytes + most <= MAX_TXN_BYTES
        {
            let Some(change) = self.writes.roster.next_mutation(most) else {
                continue;
            };
            write.bytes += mutation_size(&change);
            write.mutations.push(change);
        }
        if !self.writes.roster.has_mutations() && !write.mutations.is_empty() {
            write.purposes.append(&mut self.writes.entered);
        }
    }

    /// Takes queued facts, and chunks of the snapshot with what room is left. Chunks go
    /// along with facts, or wait until they fill a transaction: one for each would spend
    /// as much on sequence numbers.
    fn take_queued(&mut self, room: usize, facts_allowed: bool, write: &mut WriteInProgress) {
        let full = (self.writes.chunks.len().min(room) + 1) as f64;
        let chunks_allowed = self.writes.tokens >= full.min(self.most_chunks());
        while write.mutations.len() < room {
            let from_facts = facts_allowed && !self.writes.purposes.is_empty();
            let queue = if from_facts {
                &mut self.writes.purposes
            } else if self.writes.tokens >= 1.0 && (chunks_allowed || !write.mutations.is_empty()) {
                &mut self.writes.chunks
            } else {
                return;
            };
            let Some((_, change)) = queue.front() else {
                return;
            };
            let size = mutation_size(change);
            if write.bytes + size > MAX_TXN_BYTES && !write.mutations.is_empty() {
                return;
            }
            let Some((enqueue, change)) = queue.pop_front() else {
                return;
            };
            if from_facts {
                self.writes.record_tokens -= 1.0;
            } else {
                self.writes.tokens -= 1.0;
            }
            write.bytes += size;
            write.purposes.push(enqueue);
            write.mutations.push(change);
        }
    }

    /// Chunks that may be written at once.
    fn most_chunks(&self) -> f64 {
        self.policy.snapshot_writes_per_s.max(2.0)
    }

    fn refill(&mut self, now: Instant) {
        let rate = self.policy.snapshot_writes_per_s;
        let fact_rate = self.policy.record_writes_per_s;
        let most = self.most_chunks();
        if let Some(last) = self.writes.refilled {
            let passed = now.saturating_duration_since(last).as_secs_f64();
            self.writes.tokens = (self.writes.tokens + passed * rate).min(most);
            self.writes.record_tokens =
                (self.writes.record_tokens + passed * fact_rate).min(fact_rate);
        } else {
            self.writes.tokens = rate;
            self.writes.record_tokens = fact_rate;
        }
        self.writes.refilled = Some(now);
    }

    /// The key-value store calls the transaction under way too large: its limits are
    /// lower than was said. It is never sent as it was: fewer changes a transaction
    /// are planned from now on, or smaller values.
    pub fn write_refused(&mut self, write: &ShardWrite, now: Instant) {
        self.writes.in_flight = false;
        let mutations = write.mutations.len();
        if mutations > 1 {
            self.policy.txn_ops = (mutations / 2 + 1).max(2);
        } else {
            self.policy.value_bytes = (self.policy.value_bytes / 2).max(LEAST_VALUE);
        }
        tracing::error!(
            fencing_token = %self.fencing_token,
            mutations,
            txn_ops = self.policy.txn_ops,
            value_bytes = self.policy.value_bytes,
            "a write is too large for the key-value store; smaller ones are planned"
        );
        let writes = &mut self.writes;
        let mut mutations = Vec::new();
        for change in &write.mutations {
            let (Mutation::Put { key, .. } | Mutation::Delete { key }) = change;
            if !writes.roster.not_written(key) {
                mutations.push(change.clone());
            }
        }
        // Facts about the roster's entries follow them; all others have a change.
        let mut mutations = mutations.into_iter();
        for enqueue in &write.purposes {
            match enqueue {
                WritePurpose::Admit(_) | WritePurpose::Return(_) => {
                    writes.entered.push(enqueue.clone())
                }
                // Snapshots are laid out again.
                WritePurpose::Chunk(..) => drop(mutations.next()),
                _ => {
                    if let Some(change) = mutations.next() {
                        writes.purposes.push_front((enqueue.clone(), change));
                    }
                }
            }
        }
        if writes.round_in_progress {
            writes.round_in_progress = false;
            writes.chunks.clear();
            writes.covered.clear();
            writes.last_round = None;
            writes.dirty_since = writes.dirty_since.or(writes.dirty_next.take());
        }
        self.flush_writes(now);
    }

    /// The transaction under way was applied.
    pub fn shard_written(&mut self, write: &ShardWrite, now: Instant) {
        self.writes.in_flight = false;
        let mut returned = Vec::new();
        for enqueue in &write.purposes {
            match enqueue {
                WritePurpose::Admit(id) => {
                    if let Some(machine) = self.machines.get_mut(id) {
                        machine.admitted = true;
                    }
                }
                WritePurpose::Return(id) => returned.push(id.clone()),
                WritePurpose::RecordScaleOut(rental) => self.out.push(Action::Rent(rental.clone())),
                WritePurpose::Chunk(key, Some(value)) => {
                    self.writes.written.insert(key.clone(), value.clone());
                }
                WritePurpose::Chunk(key, None) => {
                    self.writes.written.remove(key);
                }
                WritePurpose::Revoked(node_id) => self.revoked(node_id, now),
                WritePurpose::ClearScaleOut(_) | WritePurpose::Delegated => {}
            }
        }
        self.delete(&returned);
        self.needs_pass = true;
        self.flush_writes(now);
    }
}

/// Values smaller than this are not planned for.
const LEAST_VALUE: usize = 512;
/// Room for changes in one transaction, whose limit is 64 KiB in all.
const MAX_TXN_BYTES: usize = 48 * 1024;

fn mutation_size(change: &Mutation) -> usize {
    match change {
        Mutation::Put { key, value, .. } => key.len() + value.to_string().len() + 32,
        Mutation::Delete { key } => key.len() + 32,
    }
}

fn roster_record(machine: &Machine, deleting: bool) -> RosterRecord {
    RosterRecord {
        addr: machine.addr.clone(),
        machine_type: machine.machine_type.to_string(),
        zone: machine.zone.to_string(),
        spot: machine.spot,
        deleting,
    }
}
