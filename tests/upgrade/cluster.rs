//! A cluster on recorded records: the key-value store, workers that execute all commands, and
//! leaders of this version.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use valegap::coordination::leadership::stored_records::StoredRecords;
use valegap::coordination::shard::{
    Action, CommandOutcome, HeartbeatOutcome, Policy, RentalOutcome, Shard, ShardWrite,
};
use valegap::protocol::FencingToken;
use valegap::protocol::cloud::MachineType;
use valegap::protocol::kv::{KeyValue, Mutation};
use valegap::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};
use valegap::settings::{Operator, Platform, Settings};
use valegap::storage::keys;

use super::Recorded;
use super::older::{Reading, Version};
use super::settings::ControllerSettings;

/// How long each leader serves, in seconds: long enough for a snapshot.
const TERM_S: u64 = 8;

fn settings() -> Settings {
    let settings = ControllerSettings::new("n9").to_json();
    Settings {
        platform: Platform::parse("test", &settings.to_string()).expect("valid settings"),
        operator: Operator::default(),
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "m4".into(),
        cores: 4.0,
        accelerators: 0.0,
        mem_gb: 16.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 10.0,
        price: 1.0,
        spot_price: None,
        startup_s: 1.0,
        zones: vec!["north".into()],
    }
}

/// The key-value store's keys, the workers, and the rentals that leaders requested.
pub(crate) struct Cluster {
    pub keys: BTreeMap<String, Value>,
    workers: BTreeMap<String, WorkerHeartbeat>,
    pub rentals: Vec<String>,
    fencing_token: FencingToken,
    now: Instant,
}

impl Cluster {
    pub(crate) fn new(recorded: &Recorded) -> Self {
        let mut keys = recorded.values();
        // The record of the crashed leader is deleted with its lease.
        keys.remove(&keys::leader());
        let worker = |heartbeat: &WorkerHeartbeat| (heartbeat.machine.clone(), heartbeat.clone());
        Self {
            keys,
            workers: recorded.heartbeats.iter().map(worker).collect(),
            rentals: Vec::new(),
            fencing_token: FencingToken::new(40),
            now: Instant::now(),
        }
    }

    fn items(&self, prefix: &str) -> Vec<KeyValue> {
        let under = self.keys.range(prefix.to_owned()..);
        under
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, value)| KeyValue {
                key: key.clone(),
                value: value.clone(),
                mod_revision: 1,
                lease: None,
            })
            .collect()
    }

    /// A new leader recovers the shard.
    pub(crate) fn recover(&mut self) -> Shard {
        self.fencing_token = FencingToken::new(self.fencing_token.revision() + 10);
        let stored = StoredRecords {
            jobs: self.items(keys::JOBS),
            roster: self.items(&keys::roster_prefix()),
            snapshot: self.items(&keys::snapshot_prefix()),
            pending_rentals: self.items(&keys::rental_prefix()),
            sequence: None,
            revision: 1,
        };
        let policy = Policy::new(&settings());
        let wall = 1_796_188_712_000;
        let mut shard = Shard::recover(policy, self.fencing_token, stored.parse(), self.now, wall);
        shard.set_types(&[machine_type()]);
        shard
    }

    /// Executes all that a leader decides, until it decides no more.
    pub(crate) fn reconcile(&mut self, shard: &mut Shard) {
        shard.reconcile(self.now);
        loop {
            let actions = shard.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute_action(shard, action);
            }
        }
    }

    fn execute_action(&mut self, shard: &mut Shard, action: Action) {
        match action {
            Action::Write(write) => {
                self.write(&write);
                shard.write_applied(&write, self.now);
            }
            Action::Command {
                machine,
                number,
                commands,
                ..
            } => {
                let heartbeat = self.execute_commands(&machine, &commands);
                let outcome = CommandOutcome::Executed(heartbeat);
                shard.command_answered(&machine, number, &commands, outcome, self.now);
            }
            Action::Rent(rental) => {
                self.rentals.push(rental.request.clone());
                shard.rental_answered(&rental.request, RentalOutcome::NoCapacity, self.now);
            }
            Action::Finish { job, .. } => {
                let record = self.keys.remove(&keys::job(&job)).expect("an open job");
                let tasks = record["spec"]["tasks"].clone();
                let last =
                    json!({ "v": 2, "stage": "done", "tasks": tasks, "spec": record["spec"] });
                self.keys.insert(keys::final_job(&job), last);
                shard.job_finished(&job, Some(valegap::protocol::users::JobStage::Done));
            }
            Action::Delete(machines) => {
                for machine in &machines {
                    self.workers.remove(&**machine);
                }
                shard.deletion_answered(&machines, true, self.now);
            }
            Action::ReadFinal { job } => {
                let value = self.keys.get(&keys::final_job(&job)).cloned();
                let record = value.and_then(|value| serde_json::from_value(value).ok());
                shard.orphan_job_resolved(&job, record);
            }
            Action::Fenced { seen } => panic!("fenced by token {seen}"),
        }
    }

    fn write(&mut self, write: &ShardWrite) {
        for change in &write.mutations {
            match change {
                Mutation::Put { key, value, .. } => self.keys.insert(key.clone(), value.clone()),
                Mutation::Delete { key } => self.keys.remove(key),
            };
        }
    }

    /// A worker executes commands; no task may run twice.
    fn execute_commands(&mut self, machine: &str, commands: &[Command]) -> WorkerHeartbeat {
        for command in commands {
            if let Command::Launch { task, .. } = command {
                let runs = |line: &TaskStatus| line.task == *task && line.state != TaskState::Ended;
                let mut heartbeats = self.workers.values();
                let twice = heartbeats.find(|heartbeat| heartbeat.tasks.iter().any(runs));
                assert!(twice.is_none(), "{task} runs already: {twice:?}");
            }
        }
        let worker = self.workers.get_mut(machine).expect("a worker");
        worker.fencing_token = self.fencing_token;
        worker.sequence += 1;
        for command in commands {
            execute_command(worker, command);
        }
        worker.clone()
    }

    /// All workers send heartbeats, and execute the commands in the answers.
    pub(crate) fn heartbeat(&mut self, shard: &mut Shard) {
        let machines: Vec<String> = self.workers.keys().cloned().collect();
        for machine in machines {
            let Some(worker) = self.workers.get_mut(&machine) else {
                continue;
            };
            worker.sequence += 1;
            worker.fencing_token = self.fencing_token;
            let heartbeat = worker.clone();
            if let HeartbeatOutcome::Answer(commands) = shard.heartbeat(&heartbeat, self.now) {
                self.execute_commands(&machine, &commands);
            }
            self.reconcile(shard);
        }
    }

    /// A leader serves for one term.
    pub(crate) fn serve(&mut self, shard: &mut Shard) {
        for _ in 0..TERM_S {
            self.now += Duration::from_secs(1);
            shard.tick(self.now);
            self.reconcile(shard);
            self.heartbeat(shard);
        }
    }

    /// Every second task that runs completes.
    pub(crate) fn complete_some(&mut self) {
        for worker in self.workers.values_mut() {
            let running = worker.tasks.iter_mut();
            let running = running.filter(|line| line.state == TaskState::Running);
            for line in running
                .filter(|line| &*line.task.job != "run-000002")
                .step_by(2)
            {
                line.state = TaskState::Ended;
                line.outcome = Some(AttemptOutcome::Done);
            }
        }
    }

    pub(crate) fn running(&self, job: &str) -> usize {
        let lines = self.workers.values().flat_map(|heartbeat| &heartbeat.tasks);
        let runs = |line: &&TaskStatus| &*line.task.job == job && line.state == TaskState::Running;
        lines.filter(runs).count()
    }

    /// What a leader of an older version would read now; it must be able to read all of it.
    pub(crate) fn read_by(&self, version: Version) -> Reading {
        let reading = version.read(&self.keys);
        let lost = &reading.unreadable;
        match version {
            Version::WithGangs => assert!(lost.is_empty(), "{lost:?}"),
            // It ignores gangs, and reads everything else.
            Version::BeforeGangs => assert!(
                lost.iter()
                    .all(|key| self.keys[key]["spec"]["kind"] == "gang"),
                "{lost:?}"
            ),
        }
        reading
    }
}

fn execute_command(worker: &mut WorkerHeartbeat, command: &Command) {
    match command {
        Command::Launch { task, attempt } => worker.tasks.push(TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: TaskState::Running,
            outcome: None,
        }),
        Command::Stop { task, attempt, .. } => {
            for line in &mut worker.tasks {
                if line.task == *task && line.attempt == *attempt {
                    line.state = TaskState::Ended;
                    line.outcome.get_or_insert(AttemptOutcome::Stopped);
                }
            }
        }
        Command::Clear { task, attempt } => {
            let cleared = |l: &TaskStatus| l.task == *task && l.attempt == *attempt;
            worker.tasks.retain(|line| !cleared(line));
        }
    }
}
