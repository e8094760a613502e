//! A stand-in for everything around a shard: key-value store, cloud, workers
//! and users, with the published semantics and a network that delays, holds
//! and loses messages. It checks the rules at every step.

use crate::protocol::FencingToken;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use crate::coordination::shard::{
    Action, CommandOutcome, HeartbeatOutcome, Job, Policy, RecoveredMachine, RecoveredState,
    RentalOutcome, Shard, ShardWrite, TeamPolicy,
};
use crate::protocol::cloud::{Listed, ListedState, MachineType, Rental};
use crate::protocol::users::{JobKind, JobSpec, Priority, Stage};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};
use crate::protocol::{MachineId, TaskId};
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord};
use crate::storage::roster::read_page;

pub const LEASE: Duration = Duration::from_secs(27);
pub const CANCEL: Duration = Duration::from_secs(52);
/// How long an advance delegation lasts: leases and this stay within [`CANCEL`].
pub const ALONE: Duration = Duration::from_secs(24);
/// How long a gang's task waits for the others, and how soon it notices that one
/// is gone.
pub const GANG_WAIT: Duration = Duration::from_secs(30);
const GANG_PEER: Duration = Duration::from_secs(3);
/// Share of the heartbeats that come a second time.
const COPIES: f64 = 0.1;
pub const STEP: Duration = Duration::from_millis(100);

pub fn spec(team: &str, cores: f64, tasks: u32) -> JobSpec {
    JobSpec {
        class: "sums".into(),
        team: team.into(),
        kind: JobKind::Batch,
        priority: Priority::Standard,
        tasks,
        cores,
        accelerators: 0.0,
        mem_gb: 1.0,
        image: "img-0".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        scatter: false,
        spot: true,
        duration_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

pub fn record(spec: JobSpec) -> JobRecord {
    JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: 0,
        spec,
    }
}

pub fn machine_types() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cores: 8.0,
        accelerators: 0.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: Some(0.3),
        startup_s: 10.0,
        zones: vec!["north".into(), "south".into()],
    }]
}

pub fn policy() -> Policy {
    let team = |cores, cores_max| TeamPolicy {
        cores,
        cores_max,
        ..TeamPolicy::default()
    };
    Policy {
        node_id: "n0".into(),
        teams: [
            ("red".to_owned(), team(8.0, 16.0)),
            ("blue".to_owned(), team(0.0, 0.0)),
        ]
        .into(),
        wait_within: HashMap::new(),
        finish_within: HashMap::new(),
        deadline_times: HashMap::new(),
        heartbeat_interval: Duration::from_secs(3),
        worker_lease: LEASE,
        gang_wait: GANG_WAIT,
        advance_delegation: ALONE,
        txn_ops: 8,
        value_bytes: 8192,
        snapshot: Duration::from_secs(3),
        staleness: Duration::from_secs(15),
        snapshot_writes_per_s: 10.0,
        record_writes_per_s: 20.0,
        suspect_after: Duration::from_secs(6),
        dead_after: Duration::from_secs(7),
        headroom: 0.1,
        idle: Duration::from_secs(10),
        guarantee_hold: Duration::from_secs(30),
        refused: Duration::from_secs(15),
    }
}

#[derive(Debug, Clone)]
struct WorkerTask {
    state: TaskState,
    outcome: Option<AttemptOutcome>,
    fetched: Instant,
    ends: Instant,
    /// A gang's task: since when it waits, or since when it knows that one is gone.
    since: Instant,
}

#[derive(Debug)]
struct Worker {
    id: String,
    zone: String,
    spot: bool,
    agent_epoch: u64,
    sequence: u64,
    fencing_token: FencingToken,
    /// When the last heartbeat that was answered left, or the agent epoch began.
    answered_sent: Instant,
    next_heartbeat: Instant,
    tasks: BTreeMap<(TaskId, u64), WorkerTask>,
    /// Everything to and from it is held until then.
    cut_until: Option<Instant>,
    /// Meanwhile a controller answers it by an advance delegation of this fencing token, until
    /// then.
    kept: Option<(FencingToken, Instant)>,
    /// It does nothing until then.
    hang_until: Option<Instant>,
    /// Neither answers nor commands reach it until then.
    deaf_until: Option<Instant>,
    /// None of its heartbeats reaches a controller until then.
    mute_until: Option<Instant>,
    dead: bool,
}

/// Whether a spell that ends then still lasts.
fn lasts(until: Option<Instant>, now: Instant) -> bool {
    until.is_some_and(|until| until > now)
}

impl Worker {
    fn heartbeat(&mut self) -> WorkerHeartbeat {
        self.sequence += 1;
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
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt_number), state)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt_number,
                    state: state.state,
                    outcome: state.outcome,
                })
                .collect(),
        }
    }
}

#[derive(Debug, Clone)]
enum Message {
    WorkerHeartbeat {
        sent: Instant,
        heartbeat: WorkerHeartbeat,
    },
    /// A heartbeat once more, seconds to well over a lease late; nobody waits for
    /// its answer.
    Copy {
        heartbeat: WorkerHeartbeat,
    },
    Answer {
        machine: String,
        sent: Instant,
        agent_epoch: u64,
        fencing_token: FencingToken,
        commands: Vec<Command>,
    },
    Commands {
        /// The leader's run that waits for the answer.
        leader: u64,
        machine: String,
        number: u64,
        fencing_token: FencingToken,
        agent_epoch: u64,
        commands: Vec<Command>,
    },
    CommandAnswer {
        leader: u64,
        machine: String,
        number: u64,
        commands: Vec<Command>,
        outcome: CommandOutcome,
    },
    Write {
        leader: u64,
        fencing_token: FencingToken,
        write: ShardWrite,
    },
    Written {
        leader: u64,
        write: ShardWrite,
    },
    Finish {
        fencing_token: FencingToken,
        job: String,
        mod_revision: u64,
    },
    JobOver {
        job: String,
        stage: Stage,
    },
    Rent {
        leader: u64,
        rental: Rental,
    },
    Rented {
        leader: u64,
        request: String,
        outcome: RentalOutcome,
    },
    Boot {
        id: String,
        zone: String,
        spot: bool,
    },
    Delete {
        leader: u64,
        machines: Vec<MachineId>,
    },
    Deleted {
        leader: u64,
        machines: Vec<MachineId>,
    },
}

/// The present leader; its run number tells it from earlier ones.
struct Leader {
    run: u64,
    shard: Shard,
}

/// The world.
pub struct World {
    pub now: Instant,
    pub rng: StdRng,
    /// Odds of trouble for each message.
    pub loss: f64,
    pub late: f64,
    /// Odds that a heartbeat goes to a controller that isn't the leader.
    pub astray: f64,
    queue: BTreeMap<(Instant, u64), Message>,
    next_message: u64,
    leader: Option<Leader>,
    leader_run: u64,
    revision: u64,
    fencing_token: FencingToken,
    jobs: BTreeMap<String, (u64, JobRecord)>,
    finals: BTreeMap<String, FinalRecord>,
    cancelled: BTreeMap<String, Instant>,
    specs: BTreeMap<String, Arc<JobSpec>>,
    roster: BTreeMap<String, serde_json::Value>,
    chunks: BTreeMap<String, Value>,
    pending_rentals: BTreeMap<String, serde_json::Value>,
    rented: BTreeMap<String, Vec<String>>,
    next_machine: u64,
    workers: BTreeMap<String, Worker>,
    /// Tasks that have truly been completed.
    done: BTreeSet<TaskId>,
    limits: HashMap<String, f64>,
    /// When a worker was last answered by an advance delegation, by its fencing token.
    kept: BTreeMap<FencingToken, Instant>,
    /// The key-value store takes no write until then.
    outage_until: Option<Instant>,
    pub broken: Vec<String>,
    pub starts: usize,
    /// By gang and attempt, when it ends once it has started; and how many have.
    gangs: BTreeMap<(Arc<str>, u64), Instant>,
    pub gang_starts: usize,
    /// Starts of jobs whose users had been told that they are cancelled.
    pub starts_after_cancel: usize,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let policy = policy();
        Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            loss: 0.02,
            late: 0.02,
            astray: 0.25,
            queue: BTreeMap::new(),
            next_message: 0,
            leader: None,
            leader_run: 0,
            revision: 0,
            fencing_token: FencingToken::default(),
            jobs: BTreeMap::new(),
            finals: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            specs: BTreeMap::new(),
            roster: BTreeMap::new(),
            chunks: BTreeMap::new(),
            pending_rentals: BTreeMap::new(),
            rented: BTreeMap::new(),
            next_machine: 0,
            workers: BTreeMap::new(),
            done: BTreeSet::new(),
            limits: policy
                .teams
                .iter()
                .map(|(name, team)| (name.clone(), team.cores_max))
                .collect(),
            kept: BTreeMap::new(),
            outage_until: None,
            starts_after_cancel: 0,
            gangs: BTreeMap::new(),
            gang_starts: 0,
            broken: Vec::new(),
            starts: 0,
        }
    }

    fn broke(&mut self, rule: &str, what: impl std::fmt::Display) {
        self.broken.push(format!("{rule}: {what}"));
    }

    // --- users

    pub fn submit(&mut self, id: &str, spec: JobSpec) {
        if lasts(self.outage_until, self.now) {
            return;
        }
        self.revision += 1;
        let record = record(spec);
        self.specs
            .insert(id.to_owned(), Arc::new(record.spec.clone()));
        self.jobs
            .insert(id.to_owned(), (self.revision, record.clone()));
        let (mod_revision, now) = (self.revision, self.now);
        self.tell(|shard| shard.job_accepted(id, mod_revision, record, now));
    }

    pub fn cancel(&mut self, id: &str) {
        if lasts(self.outage_until, self.now) {
            return;
        }
        let Some((_, record)) = self.jobs.remove(id) else {
            return;
        };
        self.revision += 1;
        self.finals.insert(
            id.to_owned(),
            FinalRecord {
                format_version: FORMAT_VERSION,
                stage: Stage::Cancelled,
                tasks: record.spec.tasks,
                spec: record.spec,
            },
        );
        self.cancelled.insert(id.to_owned(), self.now);
        self.send(Message::JobOver {
            job: id.to_owned(),
            stage: Stage::Cancelled,
        });
    }

    pub fn open_jobs(&self) -> Vec<String> {
        self.jobs.keys().cloned().collect()
    }

    // --- controllers

    /// A new leader takes over; the old one is gone, its messages are not. While
    /// the key-value store is out, none can.
    pub fn recover(&mut self) {
        if let Some(until) = self.outage_until.filter(|until| *until > self.now) {
            self.run(until - self.now);
        }
        self.revision += 1;
        self.fencing_token = FencingToken::new(self.revision);
        self.leader_run += 1;
        let recovered = RecoveredState {
            jobs: self
                .jobs
                .iter()
                .map(|(id, (mod_revision, record))| (id.clone(), *mod_revision, record.clone()))
                .collect(),
            roster: self.loaded_roster(),
            chunks: self.chunks.clone(),
            pending_rentals: self
                .pending_rentals
                .values()
                .map(|value| serde_json::from_value(value.clone()).expect("a rental"))
                .collect(),
        };
        let mut shard = Shard::recover(policy(), self.fencing_token, recovered, self.now, 0);
        shard.set_types(&machine_types());
        self.leader = Some(Leader {
            run: self.leader_run,
            shard,
        });
        self.act();
    }

    fn loaded_roster(&self) -> Vec<RecoveredMachine> {
        let mut recovered = Vec::new();
        for (key, value) in &self.roster {
            let page = key[keys::roster_prefix().len()..].parse().expect("a page");
            for (id, record) in read_page(value).expect("a roster page") {
                recovered.push(RecoveredMachine { id, page, record });
            }
        }
        recovered
    }

    pub fn crash_leader(&mut self) {
        self.leader = None;
    }

    fn tell(&mut self, event: impl FnOnce(&mut Shard)) {
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            event(&mut leader.shard);
            leader.shard.reconcile(now);
        }
        self.act();
    }

    fn act(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (run, fencing_token) = (leader.run, leader.shard.fencing_token);
        for action in leader.shard.take_actions() {
            match action {
                Action::Command {
                    machine,
                    agent_epoch,
                    number,
                    commands,
                    ..
                } => {
                    let machine = machine.to_string();
                    let lost = self.rng.random_bool(self.loss);
                    if lost {
                        self.later(
                            Duration::from_secs(2),
                            Message::CommandAnswer {
                                leader: run,
                                machine,
                                number,
                                commands,
                                outcome: CommandOutcome::NoAnswer,
                            },
                        );
                        continue;
                    }
                    self.send(Message::Commands {
                        leader: run,
                        machine,
                        number,
                        fencing_token,
                        agent_epoch,
                        commands,
                    });
                }
                Action::Write(write) => self.send(Message::Write {
                    leader: run,
                    fencing_token,
                    write,
                }),
                Action::Finish { job, mod_revision } => self.send(Message::Finish {
                    fencing_token,
                    job: job.to_string(),
                    mod_revision,
                }),
                Action::ReadFinal { job } => {
                    let record = self.finals.get(&*job).cloned();
                    let now = self.now;
                    if let Some(leader) = &mut self.leader {
                        leader.shard.orphan_job_resolved(&job, record);
                        leader.shard.reconcile(now);
                    }
                    self.act();
                }
                Action::Rent(rental) => self.send(Message::Rent {
                    leader: run,
                    rental,
                }),
                Action::Delete(machines) => self.send(Message::Delete {
                    leader: run,
                    machines,
                }),
                Action::Fenced { .. } => {}
            }
        }
    }

    // --- network

    fn later(&mut self, delay: Duration, message: Message) {
        self.next_message += 1;
        self.queue
            .insert((self.now + delay, self.next_message), message);
    }

    fn send(&mut self, message: Message) {
        let mut delay = Duration::from_millis(self.rng.random_range(1..60));
        // A watch that hangs is soon given up and taken up again.
        let watched = matches!(message, Message::JobOver { .. });
        if watched && self.rng.random_bool(self.late) {
            delay += Duration::from_millis(self.rng.random_range(500..5_000));
        } else if !watched && self.rng.random_bool(self.late) {
            delay += Duration::from_millis(self.rng.random_range(500..90_000));
        }
        let machine = match &message {
            Message::Commands { machine, .. } | Message::Answer { machine, .. } => Some(machine),
            Message::WorkerHeartbeat { heartbeat, .. } => Some(&heartbeat.machine),
            _ => None,
        };
        if let Some(until) = machine
            .and_then(|id| self.workers.get(id))
            .and_then(|worker| worker.cut_until)
        {
            delay += until.saturating_duration_since(self.now);
        }
        // The sender gives up waiting long before a late message arrives.
        if let Message::Commands {
            leader,
            machine,
            number,
            commands,
            ..
        }
        | Message::CommandAnswer {
            leader,
            machine,
            number,
            commands,
            ..
        } = &message
            && delay > Duration::from_secs(2)
        {
            let gave_up = Message::CommandAnswer {
                leader: *leader,
                machine: machine.clone(),
                number: *number,
                commands: commands.clone(),
                outcome: CommandOutcome::NoAnswer,
            };
            self.later(Duration::from_secs(2), gave_up);
        }
        self.later(delay, message);
    }

    fn for_leader(&mut self, run: u64, event: impl FnOnce(&mut Shard)) {
        if self.leader.as_ref().is_some_and(|leader| leader.run == run) {
            self.tell(event);
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::WorkerHeartbeat { sent, heartbeat } => {
                // Some go to another controller first, which sends them on.
                if self.rng.random_bool(self.astray) {
                    return;
                }
                let worker = self.workers.get(&heartbeat.machine);
                if worker.is_some_and(|worker| lasts(worker.mute_until, sent)) {
                    return;
                }
                let machine = heartbeat.machine.clone();
                let agent_epoch = heartbeat.agent_epoch;
                let mut answer = None;
                self.tell(|shard| {
                    if let HeartbeatOutcome::Answer(commands) = shard.heartbeat(&heartbeat, now) {
                        answer = Some((shard.fencing_token, commands));
                    }
                });
                if let Some((fencing_token, commands)) = answer {
                    self.send(Message::Answer {
                        machine,
                        sent,
                        agent_epoch,
                        fencing_token,
                        commands,
                    });
                }
            }
            Message::Copy { heartbeat } => self.tell(|shard| {
                shard.heartbeat(&heartbeat, now);
            }),
            Message::Answer {
                machine,
                sent,
                agent_epoch,
                fencing_token,
                commands,
            } => {
                let Some(worker) = self.workers.get_mut(&machine) else {
                    return;
                };
                let late = now - sent > Duration::from_secs(4);
                if worker.dead
                    || late
                    || lasts(worker.deaf_until, now)
                    || worker.agent_epoch != agent_epoch
                    || fencing_token < worker.fencing_token
                {
                    return;
                }
                worker.fencing_token = fencing_token;
                worker.answered_sent = worker.answered_sent.max(sent);
                self.execute(&machine, &commands);
            }
            Message::Commands {
                leader,
                machine,
                number,
                fencing_token,
                agent_epoch,
                commands,
            } => {
                let Some(worker) = self.workers.get_mut(&machine) else {
                    return;
                };
                if worker.dead {
                    return;
                }
                if lasts(worker.deaf_until, now) {
                    let outcome = CommandOutcome::NoAnswer;
                    let answer = Message::CommandAnswer {
                        leader,
                        machine,
                        number,
                        commands,
                        outcome,
                    };
                    self.later(Duration::from_secs(2), answer);
                    return;
                }
                if let Some(until) = worker.hang_until {
                    let wait = until.saturating_duration_since(now) + STEP;
                    self.later(
                        wait,
                        Message::Commands {
                            leader,
                            machine,
                            number,
                            fencing_token,
                            agent_epoch,
                            commands,
                        },
                    );
                    return;
                }
                let taken =
                    fencing_token >= worker.fencing_token && agent_epoch == worker.agent_epoch;
                if taken {
                    worker.fencing_token = fencing_token;
                    self.execute(&machine, &commands);
                }
                let Some(worker) = self.workers.get_mut(&machine) else {
                    return;
                };
                let heartbeat = worker.heartbeat();
                let outcome = if taken {
                    CommandOutcome::Executed(heartbeat)
                } else {
                    CommandOutcome::Refused(heartbeat)
                };
                if !self.rng.random_bool(self.loss) {
                    self.send(Message::CommandAnswer {
                        leader,
                        machine,
                        number,
                        commands,
                        outcome,
                    });
                } else {
                    self.later(
                        Duration::from_secs(2),
                        Message::CommandAnswer {
                            leader,
                            machine,
                            number,
                            commands,
                            outcome: CommandOutcome::NoAnswer,
                        },
                    );
                }
            }
            Message::CommandAnswer {
                leader,
                machine,
                number,
                commands,
                outcome,
            } => {
                let id: MachineId = machine.as_str().into();
                self.for_leader(leader, |shard| {
                    // Only the first answer counts: the caller has gone on.
                    if shard
                        .machines()
                        .get(&id)
                        .is_some_and(|m| m.command == Some(number))
                    {
                        shard.command_answered(&id, number, &commands, outcome, now);
                    }
                });
            }
            Message::Write {
                leader,
                fencing_token,
                write,
            } => {
                // Guarded by the leadership record, however late it comes.
                if fencing_token != self.fencing_token {
                    return;
                }
                if lasts(self.outage_until, now) {
                    // Refused, and tried again until it is taken.
                    let pause = Duration::from_millis(500);
                    self.later(
                        pause,
                        Message::Write {
                            leader,
                            fencing_token,
                            write,
                        },
                    );
                    return;
                }
                self.revision += 1;
                for change in &write.mutations {
                    self.apply(change);
                }
                self.send(Message::Written { leader, write });
            }
            Message::Written { leader, write } => {
                self.for_leader(leader, |shard| shard.shard_written(&write, now));
            }
            Message::Finish {
                fencing_token,
                job,
                mod_revision,
            } => {
                if lasts(self.outage_until, now) {
                    let pause = Duration::from_millis(500);
                    self.later(
                        pause,
                        Message::Finish {
                            fencing_token,
                            job,
                            mod_revision,
                        },
                    );
                    return;
                }
                let same = self
                    .jobs
                    .get(&job)
                    .is_some_and(|(at, _)| *at == mod_revision);
                if fencing_token != self.fencing_token || !same {
                    return;
                }
                let Some((_, record)) = self.jobs.remove(&job) else {
                    return;
                };
                let id: Arc<str> = job.as_str().into();
                let missing = (0..record.spec.tasks).any(|index| {
                    !self.done.contains(&TaskId {
                        job: id.clone(),
                        index,
                    })
                });
                if missing {
                    self.broke("not_done", &job);
                }
                self.revision += 1;
                self.finals.insert(
                    job.clone(),
                    FinalRecord {
                        format_version: FORMAT_VERSION,
                        stage: Stage::Done,
                        tasks: record.spec.tasks,
                        spec: record.spec,
                    },
                );
                self.send(Message::JobOver {
                    job,
                    stage: Stage::Done,
                });
            }
            Message::JobOver { job, stage } => {
                self.tell(|shard| shard.job_finished(&job, Some(stage)));
            }
            Message::Rent { leader, rental } => {
                let known = self.rented.get(&rental.request).cloned();
                let names = match known {
                    Some(names) => names,
                    None => {
                        let room = 6_usize.saturating_sub(self.workers.len());
                        let names: Vec<String> = (0..rental.count.min(room as u32))
                            .map(|_| {
                                self.next_machine += 1;
                                format!("vm-{:06}", self.next_machine)
                            })
                            .collect();
                        for id in &names {
                            let boot = Duration::from_millis(self.rng.random_range(1000..15_000));
                            self.later(
                                boot,
                                Message::Boot {
                                    id: id.clone(),
                                    zone: rental.zone.clone(),
                                    spot: rental.spot,
                                },
                            );
                        }
                        if !names.is_empty() {
                            self.rented.insert(rental.request.clone(), names.clone());
                        }
                        names
                    }
                };
                let outcome = if self.rng.random_bool(self.loss) {
                    RentalOutcome::Unknown
                } else if names.is_empty() {
                    RentalOutcome::NoCapacity
                } else {
                    RentalOutcome::Rented(names)
                };
                self.send(Message::Rented {
                    leader,
                    request: rental.request,
                    outcome,
                });
            }
            Message::Rented {
                leader,
                request,
                outcome,
            } => self.for_leader(leader, |shard| {
                shard.rental_answered(&request, outcome, now)
            }),
            Message::Boot { id, zone, spot } => self.boot(&id, &zone, spot),
            Message::Delete { leader, machines } => {
                for id in &machines {
                    self.workers.remove(&**id);
                }
                self.send(Message::Deleted { leader, machines });
            }
            Message::Deleted { leader, machines } => {
                self.for_leader(leader, |shard| {
                    shard.deletion_answered(&machines, true, now)
                });
            }
        }
    }

    fn apply(&mut self, change: &crate::protocol::kv::Mutation) {
        use crate::protocol::kv::Mutation;
        let (key, value) = match change {
            Mutation::Put { key, value, .. } => (key.clone(), Some(value.clone())),
            Mutation::Delete { key } => (key.clone(), None),
        };
        let kept = if key.starts_with(&keys::roster_prefix()) {
            &mut self.roster
        } else if key.starts_with(&keys::snapshot_prefix()) {
            &mut self.chunks
        } else {
            assert!(key.starts_with(&keys::rental_prefix()), "{key}");
            &mut self.pending_rentals
        };
        match value {
            Some(value) => kept.insert(key, value),
            None => kept.remove(&key),
        };
    }

    // --- cloud and workers

    pub fn boot(&mut self, id: &str, zone: &str, spot: bool) {
        self.workers.insert(
            id.to_owned(),
            Worker {
                id: id.to_owned(),
                zone: zone.to_owned(),
                spot,
                agent_epoch: 1,
                sequence: 0,
                fencing_token: FencingToken::default(),
                answered_sent: self.now,
                next_heartbeat: self.now,
                tasks: BTreeMap::new(),
                cut_until: None,
                kept: None,
                hang_until: None,
                deaf_until: None,
                mute_until: None,
                dead: false,
            },
        );
    }

    pub fn machines(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    pub fn cut(&mut self, id: &str, time: Duration) {
        let until = self.now + time;
        let kept = self.rng.random_bool(0.5);
        let delegation = (self.fencing_token, self.now + ALONE);
        if let Some(worker) = self.workers.get_mut(id) {
            // Who is cut off already can't be delegated anything anew.
            if worker.cut_until.is_none() {
                worker.kept = kept.then_some(delegation);
            }
            worker.cut_until = Some(until);
        }
    }

    pub fn hang(&mut self, id: &str, time: Duration) {
        let until = self.now + time;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.hang_until = Some(until);
        }
    }

    pub fn deafen(&mut self, id: &str, time: Duration) {
        let until = self.now + time;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.deaf_until = Some(until);
        }
    }

    pub fn mute(&mut self, id: &str, time: Duration) {
        let until = self.now + time;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.mute_until = Some(until);
        }
    }

    /// The key-value store takes nothing for a while: users are told to come back,
    /// and nobody can acquire the shard.
    pub fn outage(&mut self, time: Duration) {
        self.outage_until = Some(self.now + time);
    }

    /// From now on nothing is lost, late or refused.
    pub fn end_trouble(&mut self) {
        (self.loss, self.late, self.astray) = (0.0, 0.0, 0.0);
        self.outage_until = None;
    }

    /// Calls off a job whose last task is ending right now, if there is one.
    pub fn cancel_at_end(&mut self) -> bool {
        let outcome = self.jobs.iter().find(|(id, (_, record))| {
            let id: Arc<str> = id.as_str().into();
            let done = |index| {
                let job = id.clone();
                self.done.contains(&TaskId { job, index })
            };
            (0..record.spec.tasks).all(done)
        });
        let Some(id) = outcome.map(|(id, _)| id.clone()) else {
            return false;
        };
        self.cancel(&id);
        true
    }

    pub fn kill(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.dead = true;
            worker.tasks.clear();
        }
    }

    pub fn list(&mut self) {
        let list: Vec<Listed> = self
            .workers
            .values()
            .map(|worker| Listed {
                id: worker.id.clone(),
                addr: "10.0.0.1:9000".into(),
                machine_type: "m8".into(),
                zone: worker.zone.clone(),
                spot: worker.spot,
                state: ListedState::Running,
                age_s: 60.0,
            })
            .collect();
        let now = self.now;
        self.tell(|shard| shard.listed(&list, now));
    }

    fn execute(&mut self, machine: &str, commands: &[Command]) {
        let now = self.now;
        for command in commands {
            let fetch = Duration::from_millis(self.rng.random_range(0..3000));
            let run = Duration::from_millis(self.rng.random_range(2000..20_000));
            let Some(worker) = self.workers.get_mut(machine) else {
                return;
            };
            match command {
                Command::Launch { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if worker.tasks.contains_key(&key) {
                        continue;
                    }
                    let other = worker
                        .tasks
                        .iter()
                        .any(|((t, _), s)| t == task && s.state != TaskState::Ended);
                    let (state, outcome) = if other {
                        (TaskState::Ended, Some(AttemptOutcome::Busy))
                    } else {
                        (TaskState::Fetching, None)
                    };
                    let state = WorkerTask {
                        state,
                        outcome,
                        fetched: now + fetch,
                        ends: now + fetch + run,
                        since: now,
                    };
                    worker.tasks.insert(key, state);
                    worker.next_heartbeat = now;
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(state) = worker.tasks.get_mut(&(task.clone(), *attempt))
                        && state.state != TaskState::Ended
                    {
                        state.state = TaskState::Ended;
                        state.outcome = Some(AttemptOutcome::Stopped);
                        worker.next_heartbeat = now;
                    }
                }
                Command::Clear { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if worker
                        .tasks
                        .get(&key)
                        .is_some_and(|s| s.state == TaskState::Ended)
                    {
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn run_workers(&mut self) {
        let now = self.now;
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if worker.dead {
                continue;
            }
            worker.cut_until = worker.cut_until.filter(|until| *until > now);
            let cut = worker.cut_until.is_some();
            worker.kept = worker.kept.filter(|(_, until)| cut && *until > now);
            // A hanging machine can continue only within its lease.
            if now - worker.answered_sent > LEASE {
                worker.agent_epoch += 1;
                worker.sequence = 0;
                worker.answered_sent = now;
                worker.tasks.clear();
                worker.next_heartbeat = now;
            }
            if worker.hang_until.is_some_and(|until| until > now) {
                continue;
            }
            worker.hang_until = None;
            let mut started = Vec::new();
            for ((task, _), state) in &mut worker.tasks {
                if state.state == TaskState::Fetching && state.fetched <= now {
                    let spec = self.specs.get(&*task.job);
                    if self.done.contains(task) {
                        state.state = TaskState::Ended;
                        state.outcome = Some(AttemptOutcome::Done);
                    } else if spec.is_some_and(|spec| spec.is_gang()) {
                        state.state = TaskState::Waiting;
                        state.since = now;
                        started.push(task.clone());
                    } else {
                        state.state = TaskState::Running;
                        started.push(task.clone());
                    }
                    worker.next_heartbeat = now;
                } else if state.state == TaskState::Running && state.ends <= now {
                    let batch = self
                        .specs
                        .get(&*task.job)
                        .is_some_and(|spec| spec.kind == JobKind::Batch);
                    if batch {
                        state.state = TaskState::Ended;
                        state.outcome = Some(AttemptOutcome::Done);
                        self.done.insert(task.clone());
                        worker.next_heartbeat = now;
                    }
                }
            }
            let due = worker.next_heartbeat <= now;
            let heartbeat = due.then(|| worker.heartbeat());
            if due {
                worker.next_heartbeat =
                    now + Duration::from_millis(self.rng.random_range(2250..3750));
            }
            if let Some((fencing_token, until)) = worker
                .kept
                .filter(|(fencing_token, _)| due && *fencing_token >= worker.fencing_token)
            {
                worker.fencing_token = fencing_token;
                worker.answered_sent = now;
                // Its delegate stops what was cancelled before the cut.
                for ((task, _), state) in &mut worker.tasks {
                    let told = self.cancelled.get(&*task.job);
                    if told.is_some_and(|at| *at + ALONE <= until) && state.outcome.is_none() {
                        state.state = TaskState::Ended;
                        state.outcome = Some(AttemptOutcome::Stopped);
                    }
                }
                self.kept.insert(fencing_token, now);
            }
            if let Some(heartbeat) = heartbeat {
                if self.rng.random_bool(COPIES) {
                    let late = Duration::from_millis(self.rng.random_range(1_000..60_000));
                    let heartbeat = heartbeat.clone();
                    self.later(late, Message::Copy { heartbeat });
                }
                self.send(Message::WorkerHeartbeat {
                    sent: now,
                    heartbeat,
                });
            }
            for task in started {
                self.check_start(&task, &id);
            }
        }
    }

    /// Gangs start when their last task waits, complete together, and come apart
    /// when one is gone.
    fn run_gangs(&mut self) {
        let now = self.now;
        let mut attempts: BTreeMap<(Arc<str>, u64), u32> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| !worker.dead) {
            for ((task, attempt_number), state) in &worker.tasks {
                let spec = self.specs.get(&*task.job);
                if state.state != TaskState::Ended && spec.is_some_and(|spec| spec.is_gang()) {
                    let together = matches!(state.state, TaskState::Waiting | TaskState::Running);
                    let hangs = lasts(worker.hang_until, now);
                    *attempts
                        .entry((task.job.clone(), *attempt_number))
                        .or_default() += u32::from(together && !hangs);
                }
            }
        }
        for ((job, attempt_number), together) in attempts {
            let tasks = self.specs.get(&*job).map_or(0, |spec| spec.tasks);
            let started = self.gangs.contains_key(&(job.clone(), attempt_number));
            if together == tasks && !started {
                let run = Duration::from_millis(self.rng.random_range(2000..20_000));
                self.gangs.insert((job.clone(), attempt_number), now + run);
                self.gang_starts += 1;
            }
            let ends = self.gangs.get(&(job.clone(), attempt_number)).copied();
            let over = together == tasks && ends.is_some_and(|ends| ends <= now);
            let mine = self.workers.values_mut().filter(|w| !w.dead);
            for worker in mine.filter(|w| !lasts(w.hang_until, now)) {
                let of_gang = |((task, at), state): &(&(TaskId, u64), &mut WorkerTask)| {
                    task.job == job && *at == attempt_number && state.state != TaskState::Ended
                };
                for ((task, _), state) in worker.tasks.iter_mut().filter(of_gang) {
                    let passed = now.saturating_duration_since(state.since);
                    let whole = together == tasks;
                    let (next, outcome) = match state.state {
                        _ if over => (TaskState::Ended, Some(AttemptOutcome::Done)),
                        TaskState::Waiting if whole => (TaskState::Running, None),
                        TaskState::Running if whole => {
                            state.since = now;
                            continue;
                        }
                        TaskState::Waiting if passed > GANG_WAIT => {
                            (TaskState::Ended, Some(AttemptOutcome::GangIncomplete))
                        }
                        TaskState::Running if passed > GANG_PEER => {
                            (TaskState::Ended, Some(AttemptOutcome::GangPeerLost))
                        }
                        _ => continue,
                    };
                    if over {
                        self.done.insert(task.clone());
                    }
                    (state.state, state.outcome) = (next, outcome);
                    worker.next_heartbeat = now;
                }
            }
        }
    }

    fn on_machines(&self) -> Vec<(&TaskId, &Worker)> {
        self.workers
            .values()
            .filter(|worker| !worker.dead)
            .flat_map(|worker| {
                worker
                    .tasks
                    .iter()
                    .filter(|(_, s)| matches!(s.state, TaskState::Running | TaskState::Waiting))
                    .map(move |((task, _), _)| (task, worker))
            })
            .collect()
    }

    fn check_start(&mut self, task: &TaskId, on: &str) {
        self.starts += 1;
        let told = self.cancelled.get(&*task.job);
        // Its image came after it, or the launch was already on its way.
        let long_ago = |at: &Instant| self.now - *at > Duration::from_secs(30);
        if told.is_some_and(long_ago) {
            self.starts_after_cancel += 1;
        }
        let running: Vec<(TaskId, String, String, bool)> = self
            .on_machines()
            .into_iter()
            .map(|(t, w)| (t.clone(), w.id.clone(), w.zone.clone(), w.spot))
            .collect();
        if running.iter().filter(|(t, ..)| t == task).count() > 1 {
            self.broke("ran_twice", task);
        }
        let Some(spec) = self.specs.get(&*task.job).cloned() else {
            self.broke("invented", task);
            return;
        };
        let limit = self.limits.get(&spec.team).copied().unwrap_or(0.0);
        let used: f64 = running
            .iter()
            .filter_map(|(t, ..)| self.specs.get(&*t.job))
            .filter(|other| other.team == spec.team)
            .map(|other| other.cores)
            .sum();
        if limit > 0.0 && used > limit + 1e-6 {
            self.broke("quota", format!("{task}: {used} of {limit}"));
        }
        let mine: Vec<_> = running.iter().filter(|(t, ..)| t.job == task.job).collect();
        let Some((_, _, zone, spot)) = mine.iter().find(|(t, w, ..)| t == task && w == on) else {
            return;
        };
        let here = mine.iter().filter(|(_, _, z, _)| z == zone).count() as u32;
        let wrong = (*spot && !spec.spot)
            || spec.zone.as_ref().is_some_and(|only| only != zone)
            || (spec.one_zone && here as usize != mine.len())
            || (spec.scatter && here > spec.tasks.div_ceil(2));
        if wrong {
            self.broke("wrong_place", task);
        }
    }

    fn check_cancelled(&mut self) {
        let late: Vec<TaskId> = self
            .on_machines()
            .into_iter()
            .filter(|(task, _)| {
                self.cancelled
                    .get(&*task.job)
                    .is_some_and(|at| self.now - *at > CANCEL)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in late {
            self.broke("ran_cancelled", task);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut ticks = 0_u32;
        while self.now < end {
            self.now += STEP;
            self.run_workers();
            self.run_gangs();
            while let Some((&key, _)) = self.queue.first_key_value()
                && key.0 <= self.now
            {
                if let Some(message) = self.queue.remove(&key) {
                    self.deliver(message);
                }
            }
            ticks += 1;
            let now = self.now;
            if ticks.is_multiple_of(2) {
                // Who is cut off with workers may answer them at any time.
                let fencing_token = self.fencing_token;
                let keeps = |w: &Worker| w.kept.is_some_and(|(of, _)| of == fencing_token);
                let kept = match self.workers.values().any(keeps) {
                    true => Some(now),
                    false => self.kept.get(&fencing_token).copied(),
                };
                self.tell(|shard| shard.note_answers_by_others(kept, now));
                self.tell(|shard| shard.tick(now));
            }
            if ticks.is_multiple_of(30) {
                self.list();
                self.check_cancelled();
                self.check_counts();
            }
        }
    }

    /// What is counted as it changes must equal a full recount.
    fn check_counts(&mut self) {
        let Some(leader) = &self.leader else {
            return;
        };
        let loads = leader.shard.machines().loads_hold();
        let wrong = |job: &&Job| job.waiting() != job.recount_waiting();
        let wrong = leader.shard.jobs().values().find(wrong);
        let wrong = wrong.map(|job| job.id.to_string());
        if !loads || wrong.is_some() {
            self.broke("counts", format!("loads hold: {loads}, job: {wrong:?}"));
        }
    }
}

impl World {
    /// Cancels all services, which would never end; returns how many.
    pub fn cancel_services(&mut self) -> usize {
        let services: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, (_, record))| record.spec.kind == JobKind::Service)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &services {
            self.cancel(id);
        }
        services.len()
    }
}
