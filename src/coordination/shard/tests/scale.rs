//! Four thousand machines. Work is counted, not timed.

use crate::protocol::FencingToken;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::Value;

use super::fixtures::{self, machine_types, policy, record};
use super::script::{Script, TOKEN, listed};
use crate::coordination::shard::{
    Action, CommandOutcome, Policy, RecoveredMachine, RecoveredState, Shard,
};
use crate::protocol::kv::Mutation;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::{Command, TaskState, WorkerHeartbeat};
use crate::protocol::{MachineId, TaskId};
use crate::storage::keys;
use crate::storage::records::RosterRecord;
use crate::storage::roster::read_page;

const MACHINES: usize = 4_000;
const TASKS: u32 = 1_000;

/// A job that needn't wait for spot machines.
fn spec(team: &str, cores: f64, tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        ..fixtures::spec(team, cores, tasks)
    }
}

fn name(n: usize) -> String {
    format!("vm-{n:06}")
}

fn number_of(machine: &MachineId) -> usize {
    machine["vm-".len()..].parse().expect("a machine")
}

fn zone(n: usize) -> &'static str {
    if n.is_multiple_of(4) {
        "south"
    } else {
        "north"
    }
}

/// The limits of the smaller deployments: 8 KiB, 8 changes, 20 changes a second.
fn small_store() -> Policy {
    Policy {
        advance_delegation: Duration::ZERO,
        idle: Duration::from_secs(86_400),
        snapshot_writes_per_s: 10.0,
        record_writes_per_s: 6.0,
        ..policy()
    }
}

/// Machines, what truly runs on them, and what the key-value store holds.
struct Cluster {
    script: Script,
    running: BTreeMap<usize, BTreeSet<(TaskId, u64)>>,
    store: BTreeMap<String, Value>,
    mutations: usize,
    started: usize,
}

impl Cluster {
    fn new() -> Self {
        let mut script = Script::under(small_store(), RecoveredState::default());
        script.actions.clear();
        Self {
            script,
            running: BTreeMap::new(),
            store: BTreeMap::new(),
            mutations: 0,
            started: 0,
        }
    }

    fn heartbeat_of(&mut self, n: usize) -> WorkerHeartbeat {
        let fencing_token = self.script.shard.fencing_token.revision();
        let tasks = self.running.get(&n).into_iter().flatten();
        let tasks = tasks.map(|(task, attempt_number)| {
            listed(&task.to_string(), *attempt_number, TaskState::Running, None)
        });
        let tasks = tasks.collect();
        let mut heartbeat = self.script.heartbeat_of(&name(n), fencing_token, tasks);
        heartbeat.zone = zone(n).into();
        heartbeat.addr = format!("10.0.{}.{}:9000", n / 250, n % 250);
        heartbeat
    }

    fn heartbeat_all(&mut self, which: impl Fn(usize) -> bool) {
        for n in (0..MACHINES).filter(|n| which(*n)) {
            let heartbeat = self.heartbeat_of(n);
            self.script.shard.heartbeat(&heartbeat, self.script.now);
        }
        self.act();
    }

    /// Settles, and does what is decided: commands are executed and answered, writes are
    /// applied within the limits.
    fn act(&mut self) {
        self.script.shard.reconcile(self.script.now);
        loop {
            let actions = self.script.shard.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out(action);
            }
            self.script.shard.reconcile(self.script.now);
        }
    }

    /// The same where only some machines can be reached; returns how many machines are to
    /// be deleted, which the cloud never does.
    fn act_with(&mut self, reachable: impl Fn(usize) -> bool) -> usize {
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
                        let lost = CommandOutcome::NoAnswer;
                        let now = self.script.now;
                        self.script
                            .shard
                            .command_answered(machine, *number, commands, lost, now);
                    }
                    Action::Delete(machines) => deleted += machines.len(),
                    _ => self.carry_out(action),
                }
            }
            self.script.shard.reconcile(self.script.now);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write(write) => {
                assert!(write.mutations.len() < 8, "with the sequence number, eight");
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
                self.script.shard.shard_written(&write, self.script.now);
            }
            Action::Command {
                machine,
                number,
                commands,
                ..
            } => {
                let n = number_of(&machine);
                self.execute(n, &commands);
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

    fn execute(&mut self, n: usize, commands: &[Command]) {
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

    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.script.now += Duration::from_secs(1);
            self.script.shard.tick(self.script.now);
            self.act();
        }
    }

    fn tasks_running(&self) -> usize {
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
            let machines = read_page(value).expect("a page of the roster");
            machines
                .into_iter()
                .map(move |(id, record)| RecoveredMachine { id, page, record })
        });
        machines.collect()
    }

    /// The leader ends; another loads what is stored.
    fn change_leader(&mut self, jobs: &[(&str, u32)]) {
        let snapshot = keys::snapshot_prefix();
        let chunks = self
            .store
            .iter()
            .filter(|(key, _)| key.starts_with(&snapshot));
        let recovered = RecoveredState {
            jobs: jobs
                .iter()
                .map(|(id, tasks)| {
                    (
                        (*id).to_owned(),
                        TOKEN + 1,
                        record(spec("blue", 8.0, *tasks)),
                    )
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
        self.script.shard.set_types(&machine_types());
    }
}

/// Four thousand machines are admitted, filled in part, and outlive a change of leader.
#[test]
fn four_thousand_machines_change_their_leader() {
    let mut cluster = Cluster::new();
    cluster.heartbeat_all(|_| true);
    cluster.pass(40);
    let admitted = cluster
        .script
        .shard
        .machines()
        .values()
        .filter(|m| m.admitted)
        .count();
    assert_eq!(admitted, MACHINES);
    // Pages of some seventy entries, each written a few times at the most.
    assert!(cluster.mutations < 300, "{} changes", cluster.mutations);
    cluster.heartbeat_all(|_| true);
    cluster.script.shard.job_accepted(
        "run-1",
        TOKEN + 1,
        record(spec("blue", 8.0, TASKS)),
        cluster.script.now,
    );
    for _ in 0..5 {
        cluster.heartbeat_all(|_| true);
        cluster.pass(1);
    }
    assert_eq!(cluster.tasks_running(), TASKS as usize);
    let before = cluster.started;

    cluster.change_leader(&[("run-1", TASKS)]);
    // Every machine is asked at once, and answers.
    cluster.act();
    let shard = &cluster.script.shard;
    assert!(
        shard.summary().contains("unresolved 0"),
        "{}",
        shard.summary()
    );
    let job = &shard.jobs()["run-1"];
    assert_eq!((job.live().len(), job.waiting()), (TASKS as usize, 0));
    assert_eq!(cluster.started, before, "nothing starts again");
}

/// A quarter of them is cut off for a minute: its tasks run elsewhere once its leases are
/// over, its machines are kept, and all have work again when it is back.
#[test]
fn four_thousand_machines_lose_a_zone_and_get_it_back() {
    let mut cluster = Cluster::new();
    cluster.heartbeat_all(|_| true);
    cluster.pass(40);
    cluster.heartbeat_all(|_| true);
    let job = record(spec("blue", 8.0, TASKS));
    cluster
        .script
        .shard
        .job_accepted("run-1", TOKEN + 1, job, cluster.script.now);
    for _ in 0..5 {
        cluster.heartbeat_all(|_| true);
        cluster.pass(1);
    }
    let north = |n: usize| zone(n) == "north";
    let tasks_in_south = |cluster: &Cluster| -> usize {
        let south = cluster.running.iter().filter(|(n, _)| !north(**n));
        south.map(|(_, tasks)| tasks.len()).sum()
    };
    let cut = tasks_in_south(&cluster);
    assert!(cut > 0);
    // The controllers of that zone can't be reached either.
    cluster
        .script
        .shard
        .set_cut_off(["south".to_owned()].into());
    let mut deleted = 0;
    for second in 0..60 {
        cluster.script.now += Duration::from_secs(1);
        cluster.script.shard.tick(cluster.script.now);
        if second == 25 {
            // 27 s after their last heartbeat, the leases of the others have ended.
            cluster.running.retain(|n, _| north(*n));
        }
        deleted += cluster.act_with(north);
        if second % 4 == 0 {
            for n in (0..MACHINES).filter(|n| north(*n)) {
                let heartbeat = cluster.heartbeat_of(n);
                cluster
                    .script
                    .shard
                    .heartbeat(&heartbeat, cluster.script.now);
            }
        }
    }
    assert_eq!(
        cluster.tasks_running(),
        TASKS as usize,
        "all run in the north"
    );
    assert_eq!(deleted, 0, "the zone may come back");
    for n in (0..MACHINES).filter(|n| !north(*n)) {
        let mut heartbeat = cluster.heartbeat_of(n);
        heartbeat.agent_epoch = 2;
        cluster
            .script
            .shard
            .heartbeat(&heartbeat, cluster.script.now);
    }
    let open = cluster.script.shard.machines().values();
    let open = open
        .filter(|m| m.agent_epoch == Some(2) && m.token_acknowledged && !m.deleting)
        .count();
    assert_eq!(open, MACHINES / 4);
}

fn roster_entry(n: usize) -> RosterRecord {
    RosterRecord {
        addr: format!("10.0.{}.{}:9000", n / 250, n % 250),
        machine_type: "m8".into(),
        zone: zone(n).into(),
        spot: n.is_multiple_of(3),
        deleting: false,
    }
}

/// Half as many machines again; the limit on values falls while they are being written.
#[test]
fn a_roster_of_six_thousand_is_written_split_and_read_back() {
    use crate::storage::roster::Roster;
    const ENTRIES: usize = 6_000;
    let mut roster = Roster::default();
    for n in 0..ENTRIES {
        roster.put(&MachineId::from(name(n).as_str()), roster_entry(n), 8192);
    }
    let mut store: BTreeMap<String, Value> = BTreeMap::new();
    let mut writes = 0;
    let mut limit = 8192;
    while roster.has_mutations() {
        // The second half of the pages is written under the lower limit, then all again.
        if writes == 40 {
            limit = 2048;
            for n in 0..ENTRIES {
                if n.is_multiple_of(50) {
                    roster.put(&MachineId::from(name(n).as_str()), roster_entry(n), limit);
                }
            }
        }
        match roster.next_mutation(limit) {
            Some(Mutation::Put { key, value, .. }) => {
                assert!(value.to_string().len() <= limit);
                store.insert(key, value);
            }
            Some(Mutation::Delete { key }) => {
                store.remove(&key);
            }
            None => {}
        }
        writes += 1;
    }
    let mut read = Roster::default();
    let mut names = BTreeSet::new();
    for (key, value) in &store {
        let page = key[keys::roster_prefix().len()..].parse().expect("a page");
        for (id, record) in read_page(value).expect("a page") {
            read.load(page, MachineId::from(id.as_str()), record);
            names.insert(id);
        }
    }
    assert_eq!(names.len(), ENTRIES);
    assert!(writes < 1_000, "{writes} writes");
}

/// Sixty thousand single tasks: where all of them are would attempt_number longer to write than
/// changes may go unrecorded, so that nothing would be started any more.
#[test]
fn a_swarm_of_tasks_does_not_hold_up_the_starts() {
    let policy = small_store();
    let staleness = policy.staleness;
    let machines = 2_000;
    let mut script = Script::under(policy, RecoveredState::default());
    for n in 0..60_000 {
        let id = format!("run-{n:06}");
        let job = record(spec("blue", 0.25, 1));
        script.shard.job_accepted(&id, TOKEN + 1, job, script.now);
    }
    for n in 0..machines {
        let tasks = (0..30).map(|k| {
            let task = format!("run-{:06}/0", n * 30 + k);
            listed(&task, 7, TaskState::Running, None)
        });
        let heartbeat = script.heartbeat_of(&name(n), TOKEN, tasks.collect());
        script.shard.heartbeat(&heartbeat, script.now);
    }
    let mut written = 0.0;
    let mut stale = 0;
    for _ in 0..40 {
        script.now += Duration::from_secs(1);
        // Something starts every second.
        script.shard.writes.progress_changed(script.now);
        script.shard.reconcile(script.now);
        loop {
            let writes: Vec<_> = script.shard.take_actions();
            let writes = writes.into_iter().filter_map(|action| match action {
                Action::Write(write) => Some(write),
                _ => None,
            });
            let writes: Vec<_> = writes.collect();
            if writes.is_empty() {
                break;
            }
            for write in writes {
                written += write.mutations.len() as f64;
                script.shard.shard_written(&write, script.now);
            }
        }
        stale += usize::from(script.shard.writes.stale(script.now, staleness));
    }
    assert_eq!(stale, 0, "{written} changes were written");
}
