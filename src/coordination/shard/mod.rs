//! The leader's state machine: a pure function of (state, event, now).
//!
//! Events come in through the methods of [`Shard`]; what has to be done
//! outside comes out as [`Action`]s. Nothing here waits or talks.

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

pub use autoscaler::RentalOutcome;
pub use delegations::delegate_commands;
pub use health::{FailureHistory, MachineHealth};
pub use jobs::{Job, TaskCounts};
pub use machines::{Attempt, Machine, MachineLoad, Machines, Phase};
pub use persistence::{ShardWrite, WritePurpose};
pub use policy::{Policy, TeamPolicy};
pub use reconciler::{HeartbeatOutcome, RecoveredMachine, RecoveredState};
pub use scheduler::GangAttempt;

use crate::protocol::FencingToken;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::cloud::{MachineType, Rental};
use crate::protocol::workers::{Command, WorkerHeartbeat};
use crate::protocol::{AttemptId, JobId, MachineId};

/// What the leader wants done outside. Each is answered by an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send `/commands`; answered by [`Shard::command_answered`].
    Command {
        /// The machine that they are for.
        machine: MachineId,
        /// Its worker's address.
        addr: String,
        /// The agent epoch in which they are to be executed.
        agent_epoch: u64,
        /// Tells this batch from others of the machine.
        number: u64,
        /// What the worker is to do; none only asks for a heartbeat.
        commands: Vec<Command>,
    },
    /// Write to the shard's keys; answered by [`Shard::shard_written`].
    Write(ShardWrite),
    /// Record that a job is done; answered by [`Shard::job_finished`].
    Finish {
        /// The job.
        job: JobId,
        /// The version of its record.
        mod_revision: u64,
    },
    /// Read what a finished job was; answered by [`Shard::orphan_job_resolved`].
    ReadFinal {
        /// The job.
        job: JobId,
    },
    /// Rent machines; answered by [`Shard::rental_answered`].
    Rent(Rental),
    /// Give machines back; answered by [`Shard::deletion_answered`].
    Delete(Vec<MachineId>),
    /// A worker has seen a higher fencing token: someone else may own the shard.
    Fenced {
        /// That fencing token.
        seen: FencingToken,
    },
}

/// How a batch of commands went.
#[derive(Debug, Clone)]
pub enum CommandOutcome {
    /// 200: executed, with the heartbeat after it.
    Executed(WorkerHeartbeat),
    /// 409: not executed, with the heartbeat.
    Refused(WorkerHeartbeat),
    /// It surely never left.
    NotSent,
    /// It may have been executed, or may still be.
    NoAnswer,
}

/// How many machines a leader hears.
#[derive(Debug, Clone, Copy)]
pub struct ReachableMachines {
    /// Within the time of a heartbeat or two.
    pub reachable: usize,
    /// All that should be heard.
    pub expected: usize,
}

/// Pause between two counts of what runs, for display and for comparing
/// machines.
const COUNT_EVERY: Duration = Duration::from_secs(1);

/// One shard as its leader sees it.
pub struct Shard {
    /// What its decisions depend on besides its state.
    pub policy: Policy,
    /// The number that fences our commands and writes.
    pub fencing_token: FencingToken,
    acquired: Instant,
    /// The time of day then, in milliseconds.
    acquired_wall_ms: u64,
    types: BTreeMap<String, Arc<MachineType>>,
    jobs: BTreeMap<JobId, Job>,
    machines: Machines,
    /// Machines that were deleted, and when.
    deleted_machines: HashMap<MachineId, Instant>,
    /// Machines of the roster that we loaded which may hold tasks that we
    /// don't know of: neither synced under our fencing token, nor proven empty.
    unreconciled: BTreeSet<MachineId>,
    autoscaler: autoscaler::Autoscaler,
    writes: persistence::WriteQueue,
    delegations: delegations::Delegations,
    /// By machine, the tasks that the last leader's snapshot had there.
    snapshot_placements: HashMap<MachineId, u32>,
    next_attempt_number: u64,
    next_command: u64,
    /// The zone of a controller that holds most machines: services are safest
    /// there, since its controller hears them whatever zones are cut apart.
    pub main_zone: Option<String>,
    /// Something changed that may allow or need new decisions.
    needs_pass: bool,
    /// Running tasks by job, as last counted, and when that was.
    running: HashMap<JobId, u32>,
    counted: Option<Instant>,
    out: Vec<Action>,
}

impl Shard {
    /// The actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    /// Periodic work: leases, snapshots, fleet. Every fraction of a second.
    pub fn tick(&mut self, now: Instant) {
        self.machines.refresh();
        self.end_delegations(now);
        self.expire_leases(now);
        let due = |at: Instant| now.saturating_duration_since(at) >= COUNT_EVERY;
        if self.counted.is_none_or(due) {
            self.counted = Some(now);
            self.count_running();
            self.note_outliving_tasks(now);
            self.find_slow_machines(now);
        }
        self.probe_due_machines(now);
        self.autoscale(now);
        self.needs_pass = true;
        self.reconcile(now);
    }

    /// Works out the difference between what is wanted and what is.
    pub fn reconcile(&mut self, now: Instant) {
        if std::mem::take(&mut self.needs_pass) {
            self.reconcile_gangs(now);
            self.withdraw_launches(now);
            self.schedule(now);
            self.reconcile_gangs(now);
            self.withdraw_launches(now);
            self.flush_commands(now);
        }
        self.flush_writes(now);
    }

    /// The time of day, by the steady clock since the attempt_number-over.
    fn wall_ms(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.acquired).as_millis() as u64;
        self.acquired_wall_ms + passed
    }

    /// New machine types (with the prices of the moment).
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types
            .iter()
            .map(|t| (t.name.clone(), Arc::new(t.clone())))
            .collect();
        self.needs_pass = true;
    }

    /// Counts the running tasks of each job, for display.
    fn count_running(&mut self) {
        self.running.clear();
        for machine in self.machines.values() {
            for (AttemptId { task, .. }, attempt) in &machine.attempts {
                if attempt.phase != Phase::Running {
                    continue;
                }
                match self.running.get_mut(&task.job) {
                    Some(count) => *count += 1,
                    None => {
                        self.running.insert(task.job.clone(), 1);
                    }
                }
            }
        }
    }

    /// All unfinished jobs with the counts of their tasks.
    pub fn progress(&self) -> impl Iterator<Item = (&JobId, TaskCounts)> {
        self.jobs
            .values()
            .filter(|job| job.final_stage.is_none())
            .map(|job| {
                let running = self.running.get(&job.id).copied().unwrap_or(0);
                let done = job.done().len();
                (&job.id, TaskCounts { done, running })
            })
    }

    /// The counts of a job's tasks, for its user.
    pub fn view(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id).filter(|job| job.final_stage.is_none())?;
        let runs = |(index, machine): &(&u32, &MachineId)| {
            self.machines.get(machine).is_some_and(|machine| {
                machine
                    .attempts_of(&job.id)
                    .any(|(AttemptId { task, .. }, attempt)| {
                        task.index == **index && attempt.phase == Phase::Running
                    })
            })
        };
        let running = job.live().iter().filter(runs).count() as u32;
        let done = job.done().len();
        Some(TaskCounts { done, running })
    }

    /// How many machines are heard.
    pub fn reachability(&self, now: Instant) -> ReachableMachines {
        let expected = self.machines.values().filter(|m| m.expects_heartbeats());
        let recent = self.policy.heartbeat_interval.mul_f64(1.6);
        let reachable = expected
            .clone()
            .filter(|m| m.since_last_contact(now) < recent)
            .count();
        ReachableMachines {
            reachable,
            expected: expected.count(),
        }
    }

    /// Whether work waits that may be placed, or machines are unaccounted for.
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
