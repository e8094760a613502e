//! Taking over from an older version's leader, and handing back, more than once.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use valegap::protocol::FencingToken;

use serde_json::{Value, json};
use valegap::coordination::leadership::stored_records::StoredRecords;
use valegap::coordination::shard::{
    Action, CommandOutcome, HeartbeatOutcome, Policy, RentalOutcome, Shard, ShardWrite,
};
use valegap::protocol::cloud::MachineType;
use valegap::protocol::kv::{KeyValue, Mutation};
use valegap::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};
use valegap::settings::{Operator, Platform, Settings};
use valegap::storage::keys;

use super::Recorded;
use super::older::Version;

/// How long each leader serves: long enough for a snapshot.
const STINT: u64 = 8;

fn settings() -> Settings {
    let settings = json!({
        "label": "n9", "area": "north", "front": "127.0.0.1:0", "internal_addr": "127.0.0.1:0",
        "others": [], "services": { "cloud": "127.0.0.1:1", "state": "127.0.0.1:1" },
        "settings": {
            "zones": ["north"],
            "teams": [{ "name": "red", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0 }],
            "workers": { "report_s": 0.5, "lease_s": 10.0, "cancel_s": 20.0 },
            "state": { "rps": 1000, "write_rps": 500, "value_kb": 16, "txn_ops": 16 },
            "cloud": { "rps": 100, "list_lag_s": 0.5 },
            "resources": { "cpu": 1.0, "ram_mb": 200, "max_connections": 1000 },
        },
    });
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

/// The key-value store's keys, the workers, and what leaders asked of the cloud.
struct World {
    keys: BTreeMap<String, Value>,
    workers: BTreeMap<String, WorkerHeartbeat>,
    rentals: Vec<String>,
    fencing_token: FencingToken,
    now: Instant,
}

impl World {
    fn new(recorded: &Recorded) -> Self {
        let mut keys = recorded.values();
        // The record of the dead leader goes with its lease.
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

    /// A new leader begins.
    fn recover(&mut self) -> Shard {
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

    /// Carries out all that a leader decides, until it decides no more.
    fn reconcile(&mut self, shard: &mut Shard) {
        shard.reconcile(self.now);
        loop {
            let actions = shard.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out(shard, action);
            }
        }
    }

    fn carry_out(&mut self, shard: &mut Shard, action: Action) {
        match action {
            Action::Write(write) => {
                self.write(&write);
                shard.shard_written(&write, self.now);
            }
            Action::Command {
                machine,
                number,
                commands,
                ..
            } => {
                let heartbeat = self.execute(&machine, &commands);
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
                shard.job_finished(&job, Some(valegap::protocol::users::Stage::Done));
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
            Action::Fenced { seen } => panic!("fencing token {seen} is about"),
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

    /// A worker carries commands out; no task may start beside itself.
    fn execute(&mut self, machine: &str, commands: &[Command]) -> WorkerHeartbeat {
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
        worker.clone()
    }

    /// All workers send heartbeats, and carry out what they are answered.
    fn heartbeat(&mut self, shard: &mut Shard) {
        let machines: Vec<String> = self.workers.keys().cloned().collect();
        for machine in machines {
            let Some(worker) = self.workers.get_mut(&machine) else {
                continue;
            };
            worker.sequence += 1;
            worker.fencing_token = self.fencing_token;
            let heartbeat = worker.clone();
            if let HeartbeatOutcome::Answer(commands) = shard.heartbeat(&heartbeat, self.now) {
                self.execute(&machine, &commands);
            }
            self.reconcile(shard);
        }
    }

    /// A leader serves for a while.
    fn serve(&mut self, shard: &mut Shard) {
        for _ in 0..STINT {
            self.now += Duration::from_secs(1);
            shard.tick(self.now);
            self.reconcile(shard);
            self.heartbeat(shard);
        }
    }

    /// Every second task that runs completes.
    fn complete_some(&mut self) {
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

    fn running(&self, job: &str) -> usize {
        let lines = self.workers.values().flat_map(|heartbeat| &heartbeat.tasks);
        let runs = |line: &&TaskStatus| &*line.task.job == job && line.state == TaskState::Running;
        lines.filter(runs).count()
    }

    /// What an older leader would read now; it has to be able to read all of it.
    fn read_by(&self, mod_revision: Version) -> super::older::Reading {
        let reading = mod_revision.read(&self.keys);
        let lost = &reading.unreadable;
        match mod_revision {
            Version::WithGangs => assert!(lost.is_empty(), "{lost:?}"),
            // It leaves gangs alone, and everything else is as it knows it.
            Version::BeforeGangs => assert!(
                lost.iter()
                    .all(|key| self.keys[key]["spec"]["kind"] == "gang"),
                "{lost:?}"
            ),
        }
        reading
    }
}

/// The recorded work goes on where it was, from leader to leader, each of which leaves
/// what the version in whose place it came could go on with.
fn goes_on_from(recorded: &Recorded, mod_revision: Version) {
    let mut world = World::new(recorded);
    let before = world.read_by(mod_revision);
    let unanswered: Vec<String> = before.bookings.iter().cloned().collect();
    assert_eq!(unanswered.len(), 1, "one rental had no answer");
    let running = world.running("run-000001");
    assert!(running > 0, "the recording caught tasks at work");
    for stint in 0..4 {
        let mut shard = world.recover();
        world.reconcile(&mut shard);
        if stint == 0 {
            // The rental is asked for again by its name, so that it can't be had twice.
            assert_eq!(world.rentals, unanswered);
            world.heartbeat(&mut shard);
            assert_eq!(world.running("run-000001"), running, "none is stopped");
        }
        world.serve(&mut shard);
        let reading = world.read_by(mod_revision);
        for (id, counts) in shard.progress() {
            let read = reading.done.get(&**id).map_or(0, |done| done.len());
            let gang = world.keys[&keys::job(id)]["spec"]["kind"] == "gang";
            assert_eq!(read as u32, counts.done, "{id}, gang {gang}");
        }
        let machines = shard.machines().values().map(|m| m.id.to_string());
        assert!(machines.into_iter().all(|id| reading.roster.contains(&id)));
        // What users were told stays.
        for (id, done) in &before.over {
            assert_eq!(reading.over.get(id), Some(done), "{id}");
        }
        world.complete_some();
    }
    for _ in 0..8 {
        let mut shard = world.recover();
        world.reconcile(&mut shard);
        world.serve(&mut shard);
        world.complete_some();
    }
    let last = world.read_by(Version::WithGangs);
    assert_eq!(last.open.keys().collect::<Vec<_>>(), ["run-000002"]);
    assert_eq!(
        last.done["run-000002"], before.done["run-000002"],
        "a service is never over by itself"
    );
    assert_eq!(
        world.running("run-000003"),
        0,
        "cancelled under the older leader"
    );
}

#[test]
fn work_recorded_with_the_version_before_gangs_goes_on() {
    goes_on_from(&Recorded::before_gangs(), Version::BeforeGangs);
}

#[test]
fn work_recorded_with_the_version_in_production_goes_on() {
    let recorded = Recorded::with_gangs();
    let world = World::new(&recorded);
    assert_eq!(world.running("run-000006"), 4, "a gang runs");
    goes_on_from(&recorded, Version::WithGangs);
}
