//! The state machine of a shard's leader: a pure function of (state, event, now).
//!
//! [`Shard`] owns what the leader knows and decides about its machines and jobs. Its
//! components own their parts: `jobs` and `machines` the state, `reconciler` what
//! heartbeats say, `scheduler` placement and preemption, `dispatch` the commands to
//! workers, `autoscaler` renting and deleting machines, `persistence` the shard's
//! writes, `delegations` lease renewals by other controllers, `health` failing jobs and
//! faulty machines.
//!
//! Events arrive through `Node::with_shard`: from the leader loop (ticks, job changes, machine
//! lists), the handlers of workers' heartbeats and of users' requests, the peering code
//! (delegations), and the action executor (outcomes). After each event it spawns the executor
//! for what [`Shard::take_actions`] returns, and wakes the leader loop if
//! [`Shard::needs_pass`] says so, which then calls [`Shard::reconcile`]. Nothing here waits,
//! sends or reads a clock.

mod action;
mod autoscaler;
mod delegations;
mod dispatch;
mod health;
mod jobs;
mod machines;
mod persistence;
mod policy;
mod reconciler;
mod scheduler;
mod summary;

pub use action::{Action, CommandOutcome};
pub use autoscaler::RentalOutcome;
pub use delegations::delegate_commands;
pub use health::{FailureHistory, MachineHealth};
pub use jobs::{Job, TaskCounts, UnfinishedJob};
pub use machines::{Attempt, Machine, MachineLoad, Machines, Phase};
pub use persistence::{ShardWrite, WritePurpose};
pub use policy::{Policy, TeamPolicy};
pub use reconciler::{HeartbeatOutcome, RecoveredMachine, RecoveredState};
pub use scheduler::GangAttempt;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crate::protocol::cloud::MachineType;
use crate::protocol::{FencingToken, JobId};
use jobs::RunningTasks;
use machines::DeletedMachines;
use reconciler::UnreconciledMachines;

/// How many machines a leader receives heartbeats from.
#[derive(Debug, Clone, Copy)]
pub struct ReachableMachines {
    /// Machines whose last heartbeat is recent.
    pub reachable: usize,
    /// All machines that are expected to send heartbeats.
    pub expected: usize,
}

/// A machine counts as reachable if its last heartbeat is younger than this multiple of the
/// heartbeat interval: one heartbeat may be late, but none missing.
const REACHABLE_WITHIN_INTERVALS: f64 = 1.6;

/// One shard as its leader sees it.
pub struct Shard {
    /// The settings that its decisions depend on.
    pub policy: Policy,
    /// The fencing token of this leadership: it is on every command and write.
    pub fencing_token: FencingToken,
    /// When this leadership began.
    acquired: Instant,
    /// The time of day at that moment, in milliseconds since the Unix epoch.
    acquired_wall_ms: u64,
    types: BTreeMap<String, Arc<MachineType>>,
    jobs: BTreeMap<JobId, Job>,
    machines: Machines,
    deleted_machines: DeletedMachines,
    unreconciled: UnreconciledMachines,
    autoscaler: autoscaler::Autoscaler,
    /// What is not durable yet in the key-value store.
    writes: persistence::WriteQueue,
    /// Which other controllers may renew workers' leases.
    delegations: delegations::Delegations,
    /// The number of the newest attempt. It never repeats, whatever a controller lost:
    /// numbers begin with the fencing token.
    last_attempt_number: u64,
    /// The number of the newest batch of commands; it is unique within this leadership.
    last_batch_number: u64,
    /// The zone in which the leader had better run: that of most machines, as the handover of
    /// leadership judges it. Services are safest there, since its controller receives their
    /// heartbeats whatever the partition between zones.
    pub main_zone: Option<String>,
    /// Whether something changed that may allow or require new decisions.
    needs_pass: bool,
    /// Tasks that heartbeats list as running, recounted at intervals.
    running: RunningTasks,
    /// Actions decided since the last [`Shard::take_actions`], in order. Each pass bounds
    /// what it adds: by the number of machines, and by the scheduler's limits.
    out: Vec<Action>,
}

impl Shard {
    /// The actions decided since the last call, in the order in which they were decided.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Periodic work: ends delegations and leases, probes, scales, and makes a pass. The
    /// leader loop calls it several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.machines.refresh();
        self.remove_ended_delegations(now);
        self.expire_leases(now);
        if self.running.recount_if_due(&self.machines, now) {
            self.note_outliving_tasks(now);
            self.find_slow_machines(now);
        }
        self.probe_due_machines(now);
        self.autoscale(now);
        self.needs_pass = true;
        self.reconcile(now);
    }

    /// Makes a pass if something changed: decides what to start and stop, and emits the
    /// commands and writes that follow.
    pub fn reconcile(&mut self, now: Instant) {
        if std::mem::take(&mut self.needs_pass) {
            // A stop of one gang task stops the gang: before placement, so that it sees
            // what is released, and after it, for what preemption stopped.
            self.reconcile_gangs(now);
            self.withdraw_launches(now);
            self.schedule(now);
            self.reconcile_gangs(now);
            self.withdraw_launches(now);
            self.flush_commands(now);
        }
        self.flush_writes(now);
    }

    /// The time of day in milliseconds, by the monotonic clock since the leadership began:
    /// steps of the wall clock don't reach the shard's decisions.
    fn wall_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.acquired).as_millis() as u64;
        self.acquired_wall_ms + passed
    }

    fn new_attempt_number(&mut self) -> u64 {
        self.last_attempt_number += 1;
        self.last_attempt_number
    }

    /// Sets the machine types that the cloud offers, with their present prices.
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types
            .iter()
            .map(|t| (t.name.clone(), Arc::new(t.clone())))
            .collect();
        self.needs_pass = true;
    }

    /// How many machines this leader receives heartbeats from.
    pub fn reachability(&self, now: Instant) -> ReachableMachines {
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let recent = self
            .policy
            .heartbeat_interval
            .mul_f64(REACHABLE_WITHIN_INTERVALS);
        let reachable = expected
            .clone()
            .filter(|m| m.since_last_contact(now) < recent)
            .count();
        ReachableMachines {
            reachable,
            expected: expected.count(),
        }
    }

    /// Whether tasks wait that may be placed, or machines are unreconciled.
    pub fn is_busy(&self) -> bool {
        let waits = |job: &Job| job.waiting() > 0 && !job.is_crash_looping();
        !self.unreconciled.is_empty() || self.jobs.values().any(waits)
    }

    /// Whether something changed since decisions were last made.
    pub fn needs_pass(&self) -> bool {
        self.needs_pass
    }

    /// The machines, for tests and the status page.
    pub fn machines(&self) -> &Machines {
        &self.machines
    }

    /// The jobs, for tests and the status page.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }
}

#[cfg(test)]
mod tests;
