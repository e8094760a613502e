//! A cluster of four thousand machines whose workers execute all commands.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::Value;

use super::super::fixtures::{self, machine_types, policy, record, running_task};
use super::super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::{
    Action, CommandOutcome, Policy, RecoveredMachine, RecoveredState, Shard, UnfinishedJob,
};
use crate::protocol::kv::Mutation;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{Command, WorkerHeartbeat};
use crate::protocol::{FencingToken, MachineId, TaskId};
use crate::storage::keys;
use crate::storage::roster::decode_page;

pub(super) const MACHINES: usize = 4_000;
pub(super) const TASKS: u32 = 1_000;

/// A job that needn't wait for spot machines.
pub(super) fn spec(team: &str, cores: f64, tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        ..fixtures::spec(team, cores, tasks)
    }
}

pub(super) fn name(n: usize) -> String {
    format!("vm-{n:06}")
}

pub(super) fn number_of(machine: &MachineId) -> usize {
    machine["vm-".len()..].parse().expect("a machine")
}

pub(super) fn zone(n: usize) -> &'static str {
    if n.is_multiple_of(4) {
        "south"
    } else {
        "north"
    }
}

/// The limits of a small deployment: 8 KiB a value, 8 mutations a transaction, and few writes a
/// second.
pub(super) fn small_store() -> Policy {
    Policy {
        advance_delegation: Duration::ZERO,
        idle_timeout: Duration::from_secs(86_400),
        snapshot_writes_per_s: 10.0,
        record_writes_per_s: 6.0,
        ..policy()
    }
}

/// Four thousand machines, what truly runs on them, and what the key-value store holds.
pub(super) struct Cluster {
    pub(super) script: ScriptedShard,
    pub(super) running: BTreeMap<usize, BTreeSet<(TaskId, u64)>>,
    store: BTreeMap<String, Value>,
    pub(super) mutations: usize,
    pub(super) started: usize,
}

impl Cluster {
    pub(super) fn new() -> Self {
        let mut script = ScriptedShard::with_policy(small_store(), RecoveredState::default());
        script.actions.clear();
        Self {
            script,
            running: BTreeMap::new(),
            store: BTreeMap::new(),
            mutations: 0,
            started: 0,
        }
    }

    pub(super) fn heartbeat_of(&mut self, n: usize) -> WorkerHeartbeat {
        let fencing_token = self.script.shard.fencing_token.revision();
        let tasks = self.running.get(&n).into_iter().flatten();
        let tasks =
            tasks.map(|(task, attempt_number)| running_task(&task.to_string(), *attempt_number));
        let tasks = tasks.collect();
        let mut heartbeat = self.script.heartbeat_of(&name(n), fencing_token, tasks);
        heartbeat.zone = zone(n).into();
        heartbeat.addr = format!("10.0.{}.{}:9000", n / 250, n % 250);
        heartbeat
    }

    pub(super) fn heartbeat_all(&mut self) {
        for n in 0..MACHINES {
            let heartbeat = self.heartbeat_of(n);
            self.script.shard.heartbeat(&heartbeat, self.script.now);
        }
        self.execute_actions();
    }

    /// Reconciles and executes all actions: commands are executed and answered, writes are
    /// applied within the limits.
    pub(super) fn execute_actions(&mut self) {
        self.script.shard.reconcile(self.script.now);
        loop {
            let actions = self.script.shard.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute_action(action);
            }
            self.script.shard.reconcile(self.script.now);
        }
    }

    /// The same where only some machines are reachable; returns how many deletions were
    /// decided, none of which the cloud carries out.
    pub(super) fn execute_actions_reaching(&mut self, reachable: impl Fn(usize) -> bool) -> usize {
        let mut deleted = 0;
        loop {
            let actions = self.script.shard.take_actions();
            if actions.is_empty() {
                return deleted;
            }
            for action in actions {
                match &action {
                    Action::Command {
                        machine,
                        commands,
                        number,
                        ..
                    } if !reachable(number_of(machine)) => {
                        let unanswered = CommandOutcome::NoAnswer;
                        let now = self.script.now;
                        self.script
                            .shard
                            .command_answered(machine, *number, commands, unanswered, now);
                    }
                    Action::Delete(machines) => deleted += machines.len(),
                    _ => self.execute_action(action),
                }
            }
            self.script.shard.reconcile(self.script.now);
        }
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Write(write) => {
                assert!(write.mutations.len() < 8, "eight with the sequence number");
                self.mutations += write.mutations.len() + 1;
                for change in &write.mutations {
                    match change {
                        Mutation::Put { key, value, .. } => {
                            assert!(value.to_string().len() <= 8192);
                            self.store.insert(key.clone(), value.clone());
                        }
                        Mutation::Delete { key } => {
                            self.store.remove(key);
                        }
                    }
                }
                self.script.shard.write_applied(&write, self.script.now);
            }
            Action::Command {
                machine,
                number,
                commands,
                ..
            } => {
                let n = number_of(&machine);
                self.execute_commands(n, &commands);
                let heartbeat = self.heartbeat_of(n);
                let outcome = CommandOutcome::Executed(heartbeat);
                self.script.shard.command_answered(
                    &machine,
                    number,
                    &commands,
                    outcome,
                    self.script.now,
                );
            }
            _ => {}
        }
    }

    fn execute_commands(&mut self, n: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Launch { task, attempt } => {
                    let elsewhere = self.running.values().flatten().any(|(t, _)| t == task);
                    assert!(!elsewhere, "{task} runs twice");
                    self.started += 1;
                    let on = self.running.entry(n).or_default();
                    on.insert((task.clone(), *attempt));
                }
                Command::Stop { task, attempt, .. } | Command::Clear { task, attempt } => {
                    if let Some(on) = self.running.get_mut(&n) {
                        on.remove(&(task.clone(), *attempt));
                    }
                }
            }
        }
    }

    pub(super) fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.script.now += Duration::from_secs(1);
            self.script.shard.tick(self.script.now);
            self.execute_actions();
        }
    }

    pub(super) fn submit(&mut self, id: &str, tasks: u32) {
        let job = record(spec("blue", 8.0, tasks));
        let now = self.script.now;
        self.script.shard.job_accepted(id, TOKEN + 1, job, now);
    }

    /// A cluster whose machines are all admitted.
    pub(super) fn admitted() -> Self {
        let mut cluster = Self::new();
        cluster.heartbeat_all();
        cluster.advance(40);
        cluster
    }

    /// Runs a job on the open machines.
    pub(super) fn run_job(&mut self, id: &str, tasks: u32) {
        self.heartbeat_all();
        self.submit(id, tasks);
        for _ in 0..5 {
            self.heartbeat_all();
            self.advance(1);
        }
    }

    /// The tasks on machines other than these.
    pub(super) fn tasks_outside(&self, machines: impl Fn(usize) -> bool) -> usize {
        let outside = self.running.iter().filter(|(n, _)| !machines(**n));
        outside.map(|(_, tasks)| tasks.len()).sum()
    }

    pub(super) fn tasks_running(&self) -> usize {
        self.running.values().map(BTreeSet::len).sum()
    }

    /// The machines of the stored roster.
    fn roster(&self) -> Vec<RecoveredMachine> {
        let prefix = keys::roster_prefix();
        let pages = self
            .store
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let machines = pages.flat_map(|(key, value)| {
            let page = key[prefix.len()..].parse().expect("a page");
            let machines = decode_page(value).expect("a page of the roster");
            machines
                .into_iter()
                .map(move |(id, record)| RecoveredMachine { id, page, record })
        });
        machines.collect()
    }

    /// The leader crashes; another recovers what is stored.
    pub(super) fn fail_over(&mut self, jobs: &[(&str, u32)]) {
        let snapshot = keys::snapshot_prefix();
        let chunks = self
            .store
            .iter()
            .filter(|(key, _)| key.starts_with(&snapshot));
        let recovered = RecoveredState {
            jobs: jobs
                .iter()
                .map(|(id, tasks)| {
                    UnfinishedJob::new(*id, TOKEN + 1, record(spec("blue", 8.0, *tasks)))
                })
                .collect(),
            roster: self.roster(),
            chunks: chunks
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            pending_rentals: Vec::new(),
        };
        let fencing_token = self.script.shard.fencing_token.revision() + 10_000;
        let now = self.script.now;
        self.script.shard = Shard::recover(
            small_store(),
            FencingToken::new(fencing_token),
            recovered,
            now,
            0,
        );
        self.script.shard.set_machine_types(&machine_types());
    }
}
