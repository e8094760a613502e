//! The state machine of a shard's leader: its decisions depend only on its state, the event and
//! the time that the caller passes.
//!
//! [`Shard`] owns what the leader knows and decides about its machines and jobs. Each component
//! is responsible for one part: `jobs` and `machines` for the state, `reconciler` for applying
//! heartbeats to it, `scheduler` for placement and preemption, `dispatch` for the commands to
//! workers, `autoscaler` for renting and deleting machines, `persistence` for the shard's writes
//! to the key-value store, `delegations` for lease renewals by other controllers, and `health`
//! for failing jobs and faulty machines.
//!
//! Events arrive through `Node::with_shard`: from the leader loop (ticks, job changes, machine
//! lists), from the handlers of workers' heartbeats and of users' requests, from the peering code
//! (delegations), and from the action executor (outcomes). After each event, `Node::with_shard`
//! spawns the executor for the actions that [`Shard::take_actions`] returns. If
//! [`Shard::needs_pass`] is true, it also wakes the leader loop, which then calls
//! [`Shard::reconcile`] for a reconciliation pass. Nothing in this module waits, sends messages
//! or reads a clock.

mod action;
mod autoscaler;
mod delegations;
mod dispatch;
mod health;
mod invariants;
mod jobs;
mod machines;
mod persistence;
mod policy;
mod reconciler;
mod scheduler;
mod summary;
mod token_raises;

pub use action::{Action, CommandOutcome};
pub use autoscaler::RentalOutcome;
pub use dispatch::DueBatch;
pub use health::{FailureHistory, MachineHealth};
pub use invariants::InvariantViolation;
pub use jobs::{Job, LiveTasks, Placement, TaskCounts, UnfinishedJob};
pub use machines::{Attempt, Machine, MachineLoad, Machines, Phase};
pub use persistence::{ShardWrite, WritePurpose};
pub use policy::{Policy, TeamPolicy};
pub use reconciler::{HeartbeatOutcome, RecoveredMachine, RecoveredState};
pub use scheduler::GangAttempt;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::worker_leases::command_tokens::CommandTokens;
use super::worker_leases::run_permit::RunDeadline;
use crate::protocol::cloud::MachineType;
use crate::protocol::{FencingToken, JobId};
use jobs::RunningTasks;
use machines::DeletedMachines;
use reconciler::UnreconciledMachines;
use token_raises::TokenRaises;

/// From how many of its machines a leader receives heartbeats.
#[derive(Debug, Clone, Copy)]
pub struct ReachableMachines {
    /// The number of machines whose last heartbeat is recent.
    pub reachable: usize,
    /// The number of all machines that are expected to send heartbeats.
    pub expected: usize,
}

/// A machine counts as reachable if its last heartbeat is younger than this multiple of the
/// heartbeat interval: one heartbeat may be late, but none may be missing.
const REACHABLE_WITHIN_INTERVALS: f64 = 1.6;

/// One shard's state as its leader knows it, with the decisions that are not carried out yet.
pub struct Shard {
    /// The settings that the shard's decisions depend on.
    pub policy: Policy,
    /// The fencing token of this leader's term, on which every write is conditional.
    pub fencing_token: FencingToken,
    /// To which tokens this leader may raise those of its commands.
    token_raises: TokenRaises,
    /// When this leader's term began, by the monotonic clock.
    term_began: Instant,
    /// The wall-clock time at which the term began, in milliseconds since the Unix epoch.
    term_began_wall_ms: u64,
    /// The machine types that the cloud offers, by name.
    machine_types: BTreeMap<String, Arc<MachineType>>,
    jobs: BTreeMap<JobId, Job>,
    machines: Machines,
    deleted_machines: DeletedMachines,
    unreconciled: UnreconciledMachines,
    autoscaler: autoscaler::Autoscaler,
    /// Changes that are not yet durable in the key-value store.
    writes: persistence::WriteQueue,
    /// Which other controllers may renew workers' leases.
    delegations: delegations::Delegations,
    /// The number of the newest attempt. Attempt numbers begin with the fencing token, so that
    /// none repeats, whatever state a controller has lost.
    last_attempt_number: u64,
    /// The number of the newest batch of commands; unique within this leader's term.
    last_batch_number: u64,
    /// The zone in which the leader should run: the one with most machines, as determined by the
    /// code that hands over leadership. Services are safest there, since a controller in their
    /// own zone receives their heartbeats during any partition between zones.
    pub main_zone: Option<String>,
    /// Until when this leader may start tasks and renew workers' leases.
    run_deadline: RunDeadline,
    /// Whether something changed since the last reconciliation pass that may allow or require
    /// new decisions.
    needs_pass: bool,
    /// How many tasks of each job heartbeats list as running, recounted at intervals.
    running_tasks: RunningTasks,
    /// How many violations of [`invariants`] were reported.
    violation_count: u64,
    /// Whether a test brings about violations.
    #[cfg(test)]
    are_violations_expected: bool,
    /// The actions decided since the last [`Shard::take_actions`], in the order of the decisions.
    /// The number of machines and the scheduler's limits bound how many one pass adds.
    pending_actions: Vec<Action>,
}

impl Shard {
    /// Returns the actions decided since the last call, in the order in which they were decided,
    /// and removes them from the shard.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.pending_actions)
    }

    /// Does the periodic work: ends expired delegations and worker leases, records launches for
    /// delegates, requests a write if clears wait for a higher token, counts running tasks, finds slow
    /// machines, probes workers, scales out and in, and makes a reconciliation pass.
    /// The leader loop calls it several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.machines.refresh();
        self.remove_ended_delegations(now);
        self.record_revoked_launches();
        self.request_revision_for_clears();
        self.expire_leases(now);
        if self.running_tasks.recount_if_due(&self.machines, now) {
            self.note_successes_by_run_time(now);
            // The tasks of a slow machine are stopped so that they start on other machines.
            if self.may_start_tasks(now) {
                self.find_slow_machines(now);
            }
        }
        self.probe_due_machines(now);
        self.autoscale(now);
        self.needs_pass = true;
        self.reconcile(now);
    }

    /// Makes a reconciliation pass if something changed: decides which tasks to start and stop,
    /// and queues the resulting commands. Queues due writes in any case.
    pub fn reconcile(&mut self, now: Instant) {
        if std::mem::take(&mut self.needs_pass) {
            // A stop of one gang task stops the whole gang. That is applied before placement, so
            // that placement sees the resources that are released, and again after it, for the
            // tasks that preemption stopped.
            self.reconcile_gangs(now);
            self.withdraw_launches(now);
            self.schedule(now);
            self.reconcile_gangs(now);
            self.withdraw_launches(now);
            self.flush_commands(now);
        }
        self.flush_writes(now);
    }

    /// The wall-clock time in milliseconds since the Unix epoch. It is read once, when the
    /// leader's term begins, and advanced by the monotonic clock, so that steps of the wall
    /// clock don't affect the shard's decisions.
    fn wall_ms(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.term_began).as_millis() as u64;
        self.term_began_wall_ms + elapsed
    }

    /// Sets until when this leader may start tasks and renew workers' leases, by what it knows of
    /// cancellations. Without a call it may do neither.
    pub fn set_run_deadline(&mut self, run_deadline: RunDeadline) {
        self.run_deadline = run_deadline;
    }

    /// The tokens of this leader's commands.
    pub fn command_tokens(&self) -> CommandTokens {
        self.token_raises.tokens()
    }

    fn new_attempt_number(&mut self) -> u64 {
        self.last_attempt_number += 1;
        self.last_attempt_number
    }

    /// Sets the machine types that the cloud offers, with their present prices.
    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        self.machine_types = types
            .iter()
            .map(|t| (t.name.clone(), Arc::new(t.clone())))
            .collect();
        self.needs_pass = true;
    }

    /// From how many of its machines this leader receives heartbeats.
    pub fn reachability(&self, now: Instant) -> ReachableMachines {
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let max_age = self
            .policy
            .heartbeat_interval
            .mul_f64(REACHABLE_WITHIN_INTERVALS);
        let reachable = expected
            .clone()
            .filter(|m| m.since_last_contact(now) < max_age)
            .count();
        ReachableMachines {
            reachable,
            expected: expected.count(),
        }
    }

    /// Whether machines are unreconciled, or tasks wait that a pass may place. Tasks of
    /// crash-looping jobs don't count.
    pub fn is_busy(&self) -> bool {
        let waits = |job: &Job| job.waiting() > 0 && !job.is_crash_looping();
        !self.unreconciled.is_empty() || self.jobs.values().any(waits)
    }

    /// Whether something changed since the last reconciliation pass, so that another is needed.
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
