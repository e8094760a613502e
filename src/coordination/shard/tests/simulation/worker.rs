//! One worker: its tasks, its agent epoch and lease, and the faults of its machine.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::network::{Boot, CommandBatch, HeartbeatAnswer};
use super::{GroundTruth, lasts};
use crate::coordination::shard::tests::fixtures::{ADVANCE_DELEGATION, WORKER_LEASE};
use crate::protocol::users::JobKind;
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};
use crate::protocol::{FencingToken, TaskId};

/// How long a worker waits for the answer to a heartbeat (PROTOCOL, "Delayed messages").
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Debug, Clone)]
pub(super) struct WorkerTask {
    pub(super) state: TaskState,
    pub(super) outcome: Option<AttemptOutcome>,
    /// When its image is fetched.
    fetched_at: Instant,
    ends_at: Instant,
    /// A gang's task: since when it has waited for the others, or has run without
    /// all of them.
    pub(super) incomplete_since: Instant,
}

impl WorkerTask {
    pub(super) fn end(&mut self, outcome: AttemptOutcome) {
        self.state = TaskState::Ended;
        self.outcome = Some(outcome);
    }

    /// Starts the task once its image is fetched, and completes it when its time has
    /// passed. A gang's tasks wait, to be started together.
    fn advance(&mut self, task: &TaskId, truth: &mut GroundTruth, now: Instant) -> Transition {
        match self.state {
            TaskState::Fetching if self.fetched_at <= now => {
                if truth.completed.contains(task) {
                    self.end(AttemptOutcome::Done);
                    return Transition::Ended;
                }
                if truth.is_gang(&task.job) {
                    self.state = TaskState::Waiting;
                    self.incomplete_since = now;
                } else {
                    self.state = TaskState::Running;
                }
                Transition::Started
            }
            TaskState::Running if self.ends_at <= now => {
                let spec = truth.specs.get(&*task.job);
                if spec.is_none_or(|spec| spec.kind != JobKind::Batch) {
                    return Transition::None;
                }
                self.end(AttemptOutcome::Done);
                truth.completed.insert(task.clone());
                Transition::Ended
            }
            _ => Transition::None,
        }
    }
}

#[derive(PartialEq)]
enum Transition {
    None,
    Started,
    Ended,
}

/// Renewals of a worker's lease that a delegate may answer during a partition.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdvanceDelegation {
    pub(super) fencing_token: FencingToken,
    expires_at: Instant,
}

/// How long the image of a launched task takes, and how long the task then runs.
pub(super) struct LaunchTimes {
    pub(super) fetch: Duration,
    pub(super) run: Duration,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    agent_epoch: u64,
    sequence: u64,
    fencing_token: FencingToken,
    /// When the last heartbeat that was answered left, or the agent epoch began: its
    /// lease runs from here.
    lease_renewed_at: Instant,
    pub(super) next_heartbeat: Instant,
    /// By task and attempt number.
    pub(super) tasks: BTreeMap<(TaskId, u64), WorkerTask>,
    /// All messages to and from it are held until then.
    pub(super) partitioned_until: Option<Instant>,
    pub(super) advance_delegation: Option<AdvanceDelegation>,
    /// The process does nothing until then.
    pub(super) hangs_until: Option<Instant>,
    /// Neither answers nor commands reach it until then.
    pub(super) inbound_unreachable_until: Option<Instant>,
    /// None of its heartbeats reaches a controller until then.
    pub(super) outbound_unreachable_until: Option<Instant>,
    pub(super) dead: bool,
}

impl Worker {
    pub(super) fn boot(boot: &Boot, now: Instant) -> Self {
        Self {
            id: boot.id.clone(),
            zone: boot.zone.clone(),
            spot: boot.spot,
            agent_epoch: 1,
            sequence: 0,
            fencing_token: FencingToken::default(),
            lease_renewed_at: now,
            next_heartbeat: now,
            tasks: BTreeMap::new(),
            partitioned_until: None,
            advance_delegation: None,
            hangs_until: None,
            inbound_unreachable_until: None,
            outbound_unreachable_until: None,
            dead: false,
        }
    }

    pub(super) fn heartbeat(&mut self) -> WorkerHeartbeat {
        self.sequence += 1;
        let status = |((task, attempt), state): (&(TaskId, u64), &WorkerTask)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: state.state,
            outcome: state.outcome,
        };
        WorkerHeartbeat {
            machine: self.id.clone(),
            addr: "10.0.0.1:9000".into(),
            machine_type: "m8".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: self.tasks.iter().map(status).collect(),
        }
    }

    /// Whether the worker takes an answer, which renews its lease.
    pub(super) fn accept_answer(&mut self, answer: &HeartbeatAnswer, now: Instant) -> bool {
        let acceptable = !self.dead
            && now - answer.sent <= HEARTBEAT_TIMEOUT
            && !lasts(self.inbound_unreachable_until, now)
            && self.agent_epoch == answer.agent_epoch
            && answer.fencing_token >= self.fencing_token;
        if acceptable {
            self.fencing_token = answer.fencing_token;
            self.lease_renewed_at = self.lease_renewed_at.max(answer.sent);
        }
        acceptable
    }

    /// Whether the worker takes commands: not those of an earlier leader, and not
    /// those to an ended agent epoch.
    pub(super) fn accept_commands(&mut self, batch: &CommandBatch) -> bool {
        let acceptable =
            batch.fencing_token >= self.fencing_token && batch.agent_epoch == self.agent_epoch;
        if acceptable {
            self.fencing_token = batch.fencing_token;
        }
        acceptable
    }

    pub(super) fn execute(&mut self, command: &Command, times: &LaunchTimes, now: Instant) {
        match command {
            Command::Launch { task, attempt } => self.launch(task, *attempt, times, now),
            Command::Stop { task, attempt, .. } => {
                let state = self.tasks.get_mut(&(task.clone(), *attempt));
                if let Some(state) = state.filter(|state| state.state != TaskState::Ended) {
                    state.end(AttemptOutcome::Stopped);
                    self.next_heartbeat = now;
                }
            }
            Command::Clear { task, attempt } => {
                let key = (task.clone(), *attempt);
                let state = self.tasks.get(&key);
                if state.is_some_and(|state| state.state == TaskState::Ended) {
                    self.tasks.remove(&key);
                }
            }
        }
    }

    fn launch(&mut self, task: &TaskId, attempt: u64, times: &LaunchTimes, now: Instant) {
        let key = (task.clone(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let mut state = WorkerTask {
            state: TaskState::Fetching,
            outcome: None,
            fetched_at: now + times.fetch,
            ends_at: now + times.fetch + times.run,
            incomplete_since: now,
        };
        let mut others = self.tasks.iter();
        if others.any(|((other, _), state)| other == task && state.state != TaskState::Ended) {
            state.end(AttemptOutcome::Busy);
        }
        self.tasks.insert(key, state);
        self.next_heartbeat = now;
    }

    /// A partition that ends ends the delegation with it.
    pub(super) fn expire_partition(&mut self, now: Instant) {
        self.partitioned_until = self.partitioned_until.filter(|until| *until > now);
        let partitioned = self.partitioned_until.is_some();
        self.advance_delegation = self
            .advance_delegation
            .filter(|delegation| partitioned && delegation.expires_at > now);
    }

    /// On lease expiry the worker kills its tasks and begins a new agent epoch; also
    /// a process that hangs does, so that it can continue only within its lease.
    pub(super) fn expire_lease(&mut self, now: Instant) {
        if now - self.lease_renewed_at > WORKER_LEASE {
            self.agent_epoch += 1;
            self.sequence = 0;
            self.lease_renewed_at = now;
            self.tasks.clear();
            self.next_heartbeat = now;
        }
    }

    /// Advances all tasks; returns those that have started.
    pub(super) fn advance_tasks(&mut self, truth: &mut GroundTruth, now: Instant) -> Vec<TaskId> {
        let mut started = Vec::new();
        for ((task, _), state) in &mut self.tasks {
            let transition = state.advance(task, truth, now);
            if transition != Transition::None {
                self.next_heartbeat = now;
            }
            if transition == Transition::Started {
                started.push(task.clone());
            }
        }
        started
    }

    /// Sets a partition. A worker that is partitioned already can't get a delegation.
    pub(super) fn partition(
        &mut self,
        until: Instant,
        fencing_token: Option<FencingToken>,
        now: Instant,
    ) {
        if self.partitioned_until.is_none() {
            self.advance_delegation = fencing_token.map(|fencing_token| AdvanceDelegation {
                fencing_token,
                expires_at: now + ADVANCE_DELEGATION,
            });
        }
        self.partitioned_until = Some(until);
    }

    /// A delegate renews the lease, and stops tasks whose jobs were cancelled before
    /// the partition. Returns the fencing token of the delegation.
    pub(super) fn renew_by_delegate(
        &mut self,
        truth: &GroundTruth,
        now: Instant,
    ) -> Option<FencingToken> {
        let delegation = self.advance_delegation?;
        if delegation.fencing_token < self.fencing_token {
            return None;
        }
        self.fencing_token = delegation.fencing_token;
        self.lease_renewed_at = now;
        for ((task, _), state) in &mut self.tasks {
            let cancelled_at = truth.cancelled_at.get(&*task.job);
            let before = |at: &Instant| *at + ADVANCE_DELEGATION <= delegation.expires_at;
            if cancelled_at.is_some_and(before) && state.outcome.is_none() {
                state.end(AttemptOutcome::Stopped);
            }
        }
        Some(delegation.fencing_token)
    }
}
