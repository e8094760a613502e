//! A shard whose surroundings do what a test says.

use crate::protocol::FencingToken;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::fixtures::{machine_types, policy, record, spec};
use crate::coordination::shard::{
    Action, CommandOutcome, HeartbeatOutcome, Machine, Policy, RecoveredMachine, RecoveredState,
    Shard,
};
use crate::protocol::cloud::Rental;
use crate::protocol::kv::Mutation;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};
use crate::protocol::{AttemptId, MachineId, TaskId};
use crate::storage::keys;
use crate::storage::records::RosterRecord;

pub(super) const TOKEN: u64 = 100;

pub(super) struct Script {
    pub(super) shard: Shard,
    pub(super) now: Instant,
    pub(super) sequence: u64,
    pub(super) actions: Vec<Action>,
    /// The chunks of the snapshot.
    pub(super) written: BTreeMap<String, serde_json::Value>,
}

pub(super) fn roster(id: &str) -> RecoveredMachine {
    RecoveredMachine {
        id: id.to_owned(),
        page: 0,
        record: RosterRecord {
            addr: "10.0.0.1:9000".into(),
            machine_type: "m8".into(),
            zone: "north".into(),
            spot: false,
            deleting: false,
        },
    }
}

pub(super) fn listed(
    task: &str,
    attempt_number: u64,
    state: TaskState,
    outcome: Option<AttemptOutcome>,
) -> TaskStatus {
    TaskStatus {
        task: TaskId::parse(task).expect("task id"),
        attempt: attempt_number,
        state,
        outcome,
    }
}

impl Script {
    /// Without other controllers.
    pub(super) fn new(recovered: RecoveredState) -> Self {
        Self::among(Duration::ZERO, recovered)
    }

    /// Among controllers that may answer workers on their own for so long.
    pub(super) fn among(advance_delegation: Duration, recovered: RecoveredState) -> Self {
        Self::under(
            Policy {
                advance_delegation,
                ..policy()
            },
            recovered,
        )
    }

    /// Where no team is guaranteed anything: what is not needed goes back.
    pub(super) fn without_guarantees() -> Self {
        let mut policy = Policy {
            advance_delegation: Duration::ZERO,
            ..policy()
        };
        for team in policy.teams.values_mut() {
            *team = Default::default();
        }
        Self::under(policy, RecoveredState::default())
    }

    pub(super) fn under(policy: Policy, recovered: RecoveredState) -> Self {
        let now = Instant::now();
        let mut shard = Shard::recover(policy, FencingToken::new(TOKEN), recovered, now, 0);
        shard.set_types(&machine_types());
        let mut script = Self {
            shard,
            now,
            sequence: 0,
            actions: Vec::new(),
            written: BTreeMap::new(),
        };
        script.reconcile();
        script
    }

    /// Settles, and applies shard writes at once; other actions are kept.
    pub(super) fn reconcile(&mut self) {
        self.shard.reconcile(self.now);
        loop {
            let actions = self.shard.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Write(write) => {
                        for change in &write.mutations {
                            if let Mutation::Put { key, value, .. } = change
                                && key.starts_with(&keys::snapshot_prefix())
                            {
                                self.written.insert(key.clone(), value.clone());
                            }
                        }
                        self.shard.shard_written(&write, self.now);
                    }
                    other => self.actions.push(other),
                }
            }
        }
    }

    pub(super) fn machine(&self, id: &str) -> &Machine {
        self.shard.machines().get(id).expect("a known machine")
    }

    pub(super) fn pass(&mut self, time: Duration) {
        self.now += time;
        self.shard.tick(self.now);
        self.reconcile();
    }

    pub(super) fn heartbeat_of(
        &mut self,
        id: &str,
        fencing_token: u64,
        tasks: Vec<TaskStatus>,
    ) -> WorkerHeartbeat {
        self.sequence += 1;
        WorkerHeartbeat {
            machine: id.into(),
            addr: "10.0.0.1:9000".into(),
            machine_type: "m8".into(),
            zone: "north".into(),
            spot: false,
            agent_epoch: 1,
            sequence: self.sequence,
            fencing_token: FencingToken::new(fencing_token),
            preemption_notice_s: None,
            tasks,
        }
    }

    pub(super) fn heartbeat(&mut self, id: &str, tasks: Vec<TaskStatus>) -> Vec<Command> {
        let heartbeat = self.heartbeat_of(id, TOKEN, tasks);
        let outcome = self.shard.heartbeat(&heartbeat, self.now);
        self.reconcile();
        match outcome {
            HeartbeatOutcome::Answer(commands) => commands,
            HeartbeatOutcome::Refuse => panic!("heartbeat refused"),
        }
    }

    pub(super) fn submit(&mut self, id: &str, spec: JobSpec) {
        self.shard
            .job_accepted(id, TOKEN + 1 + self.sequence, record(spec), self.now);
        self.reconcile();
    }

    /// The batches of commands decided since the last call.
    pub(super) fn batches(&mut self) -> Vec<(MachineId, u64, Vec<Command>)> {
        let mut batches = Vec::new();
        self.actions.retain(|action| match action {
            Action::Command {
                machine,
                number,
                commands,
                ..
            } => {
                batches.push((machine.clone(), *number, commands.clone()));
                false
            }
            _ => true,
        });
        batches
    }

    /// The rentals asked for since the last call.
    pub(super) fn rentals(&mut self) -> Vec<Rental> {
        let mut rentals = Vec::new();
        self.actions.retain(|action| match action {
            Action::Rent(rental) => {
                rentals.push(rental.clone());
                false
            }
            _ => true,
        });
        rentals
    }

    /// The empty batches, which only ask for a heartbeat.
    pub(super) fn probes(&mut self) -> Vec<(MachineId, u64, Vec<Command>)> {
        let mut batches = self.batches();
        batches.retain(|(_, _, commands)| commands.is_empty());
        batches
    }

    /// The batches that launch something, as (machine, number, commands).
    pub(super) fn launches(&mut self) -> Vec<(MachineId, u64, Vec<Command>)> {
        let mut batches = self.batches();
        batches.retain(|(_, _, commands)| {
            commands
                .iter()
                .any(|command| matches!(command, Command::Launch { .. }))
        });
        batches
    }

    pub(super) fn answered(
        &mut self,
        batch: &(MachineId, u64, Vec<Command>),
        outcome: CommandOutcome,
    ) {
        self.shard
            .command_answered(&batch.0, batch.1, &batch.2, outcome, self.now);
        self.reconcile();
    }
}

pub(super) fn attempt_number_of(commands: &[Command]) -> u64 {
    commands
        .iter()
        .find_map(|command| match command {
            Command::Launch { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .expect("a launch")
}

/// An old job and a roster, as a new leader loads them.
pub(super) fn one_old_job(tasks: u32, machines: &[&str]) -> RecoveredState {
    RecoveredState {
        jobs: vec![("run-1".into(), 5, record(spec("red", 1.0, tasks)))],
        roster: machines.iter().map(|id| roster(id)).collect(),
        ..RecoveredState::default()
    }
}

impl Script {
    /// A heartbeat of a machine on which all runs that is on its books.
    pub(super) fn running(&mut self, id: &str) -> WorkerHeartbeat {
        let tasks = self.machine(id).attempts.keys().cloned();
        let running = |AttemptId { task, number }: AttemptId| {
            listed(&task.to_string(), number, TaskState::Running, None)
        };
        let tasks = tasks.map(running).collect();
        self.heartbeat_of(id, TOKEN, tasks)
    }
}

/// Runs all that is decided on a machine: it answers and heartbeats as told.
pub(super) fn obey(script: &mut Script, id: &str) -> Vec<Command> {
    let mut told = Vec::new();
    for batch in script.batches() {
        if *batch.0 == *id {
            told.extend(batch.2.iter().cloned());
        }
        let heartbeat = script.running(&batch.0);
        script.answered(&batch, CommandOutcome::Executed(heartbeat));
    }
    told
}

pub(super) fn stops(commands: &[Command]) -> usize {
    let stop = |command: &&Command| matches!(command, Command::Stop { .. });
    commands.iter().filter(stop).count()
}
