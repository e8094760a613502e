//! Sends the shard's transactions and applies their results.

use std::time::Instant;

use super::shard_write::{ShardWrite, WritePurpose};
use super::write_limits::WriteLimits;
use super::write_queue::NextWrite;
use crate::coordination::shard::{Action, Machine, Shard};
use crate::protocol::MachineId;

/// Lower bound, in bytes, for the limit on values after writes were refused: a single entry of the
/// roster or of a snapshot chunk takes about this many bytes.
const MIN_VALUE_BYTES: usize = 512;
/// Lower bound, in mutations, for the limit on transactions after writes were refused: one mutation
/// and that of the sequence number.
const MIN_TXN_OPS: usize = 2;

impl Shard {
    /// Sends the next transaction if none is in flight and there is something to write.
    pub(in crate::coordination::shard) fn flush_writes(&mut self, now: Instant) {
        let limits = WriteLimits::from(&self.policy);
        self.writes.refill_budgets(&limits, now);
        if self.writes.snapshot_due(&limits, now) {
            self.begin_snapshot_round(now);
        }
        match self.writes.next(&limits) {
            Some(NextWrite::Send(write)) => self.pending_actions.push(Action::Write(write)),
            Some(NextWrite::SnapshotStored(completed)) => self.allow_clearing(&completed),
            None => {}
        }
    }

    /// Requests a write if an attempt is to be cleared and no write since its launch gives a token that
    /// permits it.
    pub(in crate::coordination::shard) fn request_revision_for_clears(&mut self) {
        let highest = self.command_tokens().highest();
        let needs_revision = |machine: &Machine| {
            let fence = machine.load.clear_wanted_above;
            fence.is_some_and(|fence| fence.clear_proof(highest).is_none())
        };
        if self.machines.values().any(needs_revision) {
            self.writes.request_revision();
        }
    }

    /// Handles the store's confirmation that it applied the transaction in flight, at this store
    /// revision: the actions that waited for its records follow now.
    pub fn write_applied(&mut self, write: &ShardWrite, revision: u64, now: Instant) {
        self.token_raises.note_write(revision, now);
        self.writes.write_applied(write);
        let mut deletable: Vec<MachineId> = Vec::new();
        for purpose in &write.purposes {
            match purpose {
                WritePurpose::Admit(id) => {
                    if let Some(machine) = self.machines.get_mut(id) {
                        machine.set_admitted();
                    }
                }
                WritePurpose::Delete(id) => deletable.push(id.clone()),
                WritePurpose::RecordRental(rental) => {
                    self.pending_actions.push(Action::Rent(rental.clone()))
                }
                WritePurpose::RevokeDelegation(node_id) => {
                    self.delegations.revocation_written(node_id, now)
                }
                WritePurpose::ClearRental(_)
                | WritePurpose::Delegate
                | WritePurpose::RevokeLaunches
                | WritePurpose::SnapshotChunk { .. } => {}
            }
        }
        self.request_deletions(&deletable);
        self.needs_pass = true;
        self.flush_writes(now);
    }

    /// Handles the store's refusal of the transaction in flight as too large: the store's limits
    /// are lower than the settings say. Later transactions have fewer mutations, or smaller roster
    /// pages and chunks, so that the same transaction is not sent again, unless it holds a single
    /// other record or the limits have reached their lower bounds.
    pub fn write_refused(&mut self, write: &ShardWrite, now: Instant) {
        let mutations = write.mutations.len();
        self.lower_write_limits(mutations);
        tracing::error!(
            fencing_token = %self.fencing_token,
            mutations,
            txn_ops = self.policy.txn_ops,
            value_bytes = self.policy.value_bytes,
            "transaction too large for the key-value store, limits lowered"
        );
        self.writes.write_refused(write);
        self.flush_writes(now);
    }

    /// Lowers the limit that a refused transaction with this many mutations has exceeded: the limit
    /// on mutations, or with a single mutation the limit on the size of values.
    fn lower_write_limits(&mut self, mutations: usize) {
        if mutations > 1 {
            self.policy.txn_ops = (mutations / 2 + 1).max(MIN_TXN_OPS);
        } else {
            self.policy.value_bytes = (self.policy.value_bytes / 2).max(MIN_VALUE_BYTES);
        }
    }
}
