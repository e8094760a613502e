//! Workers that this leader can't hear, while another controller does.
//!
//! When zones are cut from one another, the leader delegates the answering of silent
//! workers to a controller that hears them: it may answer their heartbeats with
//! the leader's fencing token, so that their leases go on and what runs there runs on,
//! and it stops what belongs to finished jobs. Meanwhile no lease is taken
//! to be over, and when the delegation ends, leases count from the last moment at
//! which the delegate may have answered.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::dispatch::stop_command;
use super::{Job, Machine, Shard, WritePurpose};
use crate::coordination::clock_drift;
use crate::coordination::leadership::lease::DELEGATION_TIME;
use crate::protocol::kv::Mutation;
use crate::protocol::workers::{Command, TaskState, WorkerHeartbeat};
use crate::storage::keys;
use crate::storage::records::{DelegateRecord, FORMAT_VERSION};

/// How long delegates have to account for their workers: a heartbeat or two, and the
/// writing and reading of what they say.
const INVENTORY_WAIT: Duration = Duration::from_secs(12);

/// For what a delegate decided in time and sent a little later.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);

/// How a delegation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DelegationState {
    /// The delegate may answer from the moment the write is asked for.
    Granted,
    /// The end of the delegation is being written.
    AttemptOutcome,
    /// It ended in the key-value store before this moment.
    Ended(Instant),
}

/// What is known of the answers that other controllers gave workers on their own.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswersByOthers {
    /// The moment up to which they are known.
    pub known_at: Instant,
    /// The latest moment up to then at which one may have been given.
    pub last: Option<Instant>,
}

/// Delegations by the delegate's node id.
pub(super) type Delegations = BTreeMap<String, DelegationState>;

/// What a delegate answers to a heartbeat: it starts nothing, but what belongs to a
/// job that is over must go, since a worker that is answered outlives the time in
/// which a cancelled job has to end.
pub fn delegate_commands(
    heartbeat: &WorkerHeartbeat,
    is_open: impl Fn(&str) -> bool,
) -> Vec<Command> {
    heartbeat
        .tasks
        .iter()
        .filter(|line| line.state != TaskState::Ended && !is_open(&line.task.job))
        .map(|line| stop_command(&line.task, line.attempt, Duration::ZERO))
        .collect()
}

impl Shard {
    /// Whether a controller may keep silent workers.
    pub fn has_delegated_to(&self, node_id: &str) -> bool {
        self.delegations.get(node_id) == Some(&DelegationState::Granted)
    }

    /// The controllers that may keep silent workers.
    pub fn delegates(&self) -> Vec<String> {
        let delegated = |(node_id, delegation): (&String, &DelegationState)| {
            (*delegation == DelegationState::Granted).then(|| node_id.clone())
        };
        self.delegations.iter().filter_map(delegated).collect()
    }

    /// Delegates the answering of silent workers to a controller that hears them. If
    /// this leader doesn't know yet what is on all machines, the delegate is asked
    /// to write what its workers hold.
    pub fn delegate(&mut self, node_id: &str, now: Instant) {
        if self.has_delegated_to(node_id) {
            return;
        }
        let record = DelegateRecord {
            format_version: FORMAT_VERSION,
            fencing_token: self.fencing_token,
            inventory: !self.unreconciled.is_empty(),
        };
        self.delegating_since.get_or_insert(now);
        let Ok(value) = serde_json::to_value(record) else {
            return;
        };
        tracing::info!(
            fencing_token = %self.fencing_token,
            delegate = node_id,
            "answering of silent workers delegated"
        );
        self.delegations
            .insert(node_id.to_owned(), DelegationState::Granted);
        self.writes.push_record(
            WritePurpose::Delegate,
            Mutation::put(keys::delegate(node_id), value),
        );
        self.needs_pass = true;
    }

    /// Whether a delegate may write what this leader has to know.
    pub fn wants_inventories(&self) -> bool {
        self.others_may_answer() && !self.unreconciled.is_empty()
    }

    /// A heartbeat that a worker gave to its delegate, perhaps a while ago. It tells
    /// what is on the machine, not that the machine can be reached.
    pub fn relayed(&mut self, heartbeat: &WorkerHeartbeat, now: Instant) {
        let id = heartbeat.machine.as_str();
        if heartbeat.fencing_token != self.fencing_token || !self.unreconciled.contains(id) {
            return;
        }
        let last_contact = self
            .machines
            .get(id)
            .and_then(|machine| machine.last_contact);
        self.apply_heartbeat(heartbeat, now);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.last_contact = last_contact;
        }
    }

    /// Others may have answered workers by advance delegations until `last`, as far
    /// as is known at this moment.
    pub fn note_answers_by_others(&mut self, last: Option<Instant>, known_at: Instant) {
        self.answers_by_others = Some(AnswersByOthers { known_at, last });
    }

    /// What is known of others' answers; None before anything is.
    pub(super) fn answers_by_others(&self, now: Instant) -> Option<AnswersByOthers> {
        if self.policy.advance_delegation.is_zero() {
            return Some(AnswersByOthers {
                known_at: now,
                last: None,
            });
        }
        self.answers_by_others
    }

    /// Whether a machine's zone is cut off, and a controller there may go on
    /// answering its worker by an advance delegation.
    pub(super) fn answered_in_cut(&self, machine: &Machine) -> bool {
        !self.policy.advance_delegation.is_zero() && self.cut_off.contains(&*machine.zone)
    }

    /// Whether far more work waits to be reconciled than may be on machines
    /// that are not: then it is better to give these back than to wait.
    fn much_waits(&self) -> bool {
        if self.snapshot_placements.is_empty() {
            // Its snapshot was too large to say.
            return false;
        }
        let snapshot_placements: u32 = self
            .unreconciled
            .iter()
            .filter_map(|id| self.snapshot_placements.get(id))
            .sum();
        let waiting: u32 = self.jobs.values().map(Job::unreconciled_tasks).sum();
        waiting > snapshot_placements.saturating_mul(2)
    }

    /// Whether a silent machine is better left alone: it may be cut off with
    /// its zone, and be answered there. But what no delegate has reconciled in
    /// time holds up all work that may have been on it.
    pub(super) fn left_to_delegates(&self, machine: &Machine, now: Instant) -> bool {
        if !self.unreconciled.contains(&machine.id) {
            return self.others_may_answer() || self.cut_off.contains(&*machine.zone);
        }
        self.delegating_since
            .is_some_and(|since| now.saturating_duration_since(since) < INVENTORY_WAIT)
            || (self.answered_in_cut(machine) && !self.much_waits())
    }

    /// Ends a delegation: the delegate can be reached again, or hears nobody.
    pub fn revoke(&mut self, node_id: &str) {
        if !self.has_delegated_to(node_id) {
            return;
        }
        tracing::info!(
            fencing_token = %self.fencing_token,
            delegate = node_id,
            "delegation of workers revoked"
        );
        self.delegations
            .insert(node_id.to_owned(), DelegationState::AttemptOutcome);
        self.writes.push_record(
            WritePurpose::RevokeDelegation(node_id.to_owned()),
            Mutation::delete(keys::delegate(node_id)),
        );
        self.needs_pass = true;
    }

    /// The end of a delegation is written; it may have been delegated again since.
    pub(super) fn revoked(&mut self, node_id: &str, now: Instant) {
        if let Some(delegation) = self.delegations.get_mut(node_id)
            && *delegation == DelegationState::AttemptOutcome
        {
            *delegation = DelegationState::Ended(now);
        }
    }

    /// Whether a worker's lease may have been renewed without our knowledge.
    pub(super) fn others_may_answer(&self) -> bool {
        !self.delegations.is_empty()
    }

    /// Forgets delegations under which nobody can answer any more. Until then the
    /// delegate may have answered any silent worker.
    pub(super) fn end_delegations(&mut self, now: Instant) {
        let answers = clock_drift::max_elapsed(DELEGATION_TIME) + DELIVERY_MARGIN;
        let over = |delegation: &DelegationState| matches!(delegation, DelegationState::Ended(at) if *at + answers <= now);
        if !self.delegations.values().any(over) {
            return;
        }
        self.delegations.retain(|_, delegation| !over(delegation));
        if self.delegations.is_empty() {
            self.delegating_since = None;
        }
        let lease_expires_at = now + self.policy.worker_lease_bound();
        for id in self.machines.ids(|m| m.lease_expires_at < lease_expires_at) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.lease_expires_at = lease_expires_at;
            }
        }
    }
}
