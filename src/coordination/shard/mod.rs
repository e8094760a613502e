//! The owner's state machine: a pure function of (state, event, now).
//!
//! Events come in through the methods of [`Shard`]; what has to be done
//! outside comes out as [`Action`]s. Nothing here waits or talks.

mod cluster;
mod commands;
mod delegations;
mod drain;
mod fleet;
mod gang;
mod jobs;
mod machine_set;
mod machines;
mod placement;
mod plan;
mod preemption;
mod reports;
mod slowness;
mod writes;

pub use cluster::{Loaded, LoadedMachine};
pub use delegations::delegate_commands;
pub use fleet::RentalOutcome;
pub use gang::GangAttempt;
pub use jobs::{Job, TaskCounts};
pub use machine_set::{MachineLoad, Machines};
pub use machines::{Attempt, Machine, Phase};
pub use reports::ReportOutcome;
pub use writes::{Fact, ShardWrite};

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::{advance_delegation, drift};
use crate::protocol::cloud::{MachineType, Rental};
use crate::protocol::users::JobKind;
use crate::protocol::workers::{Command, Report};
use crate::protocol::{JobId, MachineId};
use crate::settings::Settings;
use crate::settings::platform::Objective;

/// What the owner wants done outside. Each is answered by an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send `/commands`; answered by [`Shard::command_answered`].
    Command {
        /// The machine that they are for.
        machine: MachineId,
        /// Its worker's address.
        addr: String,
        /// The session in which they are to be executed.
        session: u64,
        /// Tells this batch from others of the machine.
        number: u64,
        /// What the worker is to do; none only asks for a report.
        commands: Vec<Command>,
    },
    /// Write to the shard's keys; answered by [`Shard::shard_written`].
    Write(ShardWrite),
    /// Record that a job is done; answered by [`Shard::job_gone`].
    Finish {
        /// The job.
        job: JobId,
        /// The version of its record.
        mark: u64,
    },
    /// Read what a job that is over was; answered by [`Shard::orphan_read`].
    ReadFinal {
        /// The job.
        job: JobId,
    },
    /// Rent machines; answered by [`Shard::rental_answered`].
    Rent(Rental),
    /// Give machines back; answered by [`Shard::deletion_answered`].
    Delete(Vec<MachineId>),
    /// A worker has seen a higher term: someone else may own the shard.
    Fenced {
        /// That term.
        seen: u64,
    },
}

/// How a batch of commands went.
#[derive(Debug, Clone)]
pub enum CommandOutcome {
    /// 200: executed, with the report after it.
    Executed(Report),
    /// 409: not executed, with the report.
    Refused(Report),
    /// It surely never left.
    NotSent,
    /// It may have been executed, or may still be.
    NoAnswer,
}

/// How many machines an owner hears.
#[derive(Debug, Clone, Copy)]
pub struct MachinesHeard {
    /// Within the time of a report or two.
    pub heard: usize,
    /// All that should be heard.
    pub expected: usize,
}

/// A team's amounts; 0 means none.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamPolicy {
    /// Cores that are guaranteed.
    pub cores: f64,
    /// Cores that may be used at once.
    pub cores_max: f64,
    /// Accelerators that are guaranteed.
    pub accelerators: f64,
    /// Accelerators that may be used at once.
    pub accelerators_max: f64,
}

/// Share of the state service's writes that the shard's own facts (roster,
/// rentals) may use; jobs' facts need the rest.
const FACT_WRITE_SHARE: f64 = 0.3;

/// For an answer that reaches a worker later than it was given.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// What the shard's decisions depend on besides its state.
#[derive(Debug, Clone)]
pub struct Policy {
    /// This controller's label.
    pub label: String,
    /// The teams by name.
    pub teams: BTreeMap<String, TeamPolicy>,
    /// Longest good wait for a start, by class.
    pub wait_within: HashMap<String, Duration>,
    /// Longest good time until the end, by class.
    pub finish_within: HashMap<String, Duration>,
    /// The multiples of their deadlines by which jobs of a class had better be
    /// done, rising.
    pub deadline_times: HashMap<String, Vec<f64>>,
    /// The usual pause between two reports of a worker.
    pub report: Duration,
    /// How long a worker's lease lasts.
    pub worker_lease: Duration,
    /// How long a gang's task waits for the others.
    pub gang_wait: Duration,
    /// How long another controller may go on answering workers on its own.
    pub alone: Duration,
    /// Changes that one transaction may have.
    pub txn_ops: usize,
    /// Bytes that one value may have.
    pub value_bytes: usize,
    /// How often a changed shard is snapshotted.
    pub snapshot: Duration,
    /// Age of unsnapshotted changes past which nothing is started.
    pub staleness: Duration,
    /// Changes a second for snapshots.
    pub snapshot_writes_per_s: f64,
    /// Changes a second for the shard's own facts.
    pub fact_writes_per_s: f64,
    /// Silence after which a machine gets no new tasks.
    pub suspect: Duration,
    /// Silence after which a machine is given back.
    pub abandon: Duration,
    /// Capacity held ready, as a multiple of what runs.
    pub headroom: f64,
    /// How long a machine may stay idle before it is given back.
    pub idle: Duration,
    /// How long unused room for a guarantee is held after its team's last job.
    pub guarantee_hold: Duration,
    /// How long a refused kind of machine is not asked for again.
    pub refused: Duration,
}

impl Policy {
    /// The policy that the settings ask for.
    pub fn new(settings: &Settings) -> Self {
        let given = &settings.platform.settings;
        let state = given.state.planned();
        let operator = &settings.operator;
        Self {
            label: settings.platform.label.clone(),
            teams: given
                .teams
                .iter()
                .map(|team| {
                    let policy = TeamPolicy {
                        cores: team.cpus,
                        cores_max: team.cpus_max,
                        accelerators: team.gpus,
                        accelerators_max: team.gpus_max,
                    };
                    (team.name.clone(), policy)
                })
                .collect(),
            wait_within: within(&given.objectives, "wait"),
            finish_within: within(&given.objectives, "finished"),
            deadline_times: deadline_times(&given.objectives),
            report: given.workers.report(),
            worker_lease: given.workers.lease(),
            gang_wait: given.workers.gang_wait(),
            alone: advance_delegation::longest(settings),
            txn_ops: state.txn_ops,
            value_bytes: state.value_bytes(),
            snapshot: operator.snapshot(),
            staleness: operator.staleness(),
            snapshot_writes_per_s: state.write_rps * operator.snapshot_write_share,
            fact_writes_per_s: state.write_rps * FACT_WRITE_SHARE,
            suspect: given.workers.latest_report() + operator.suspect_late(),
            abandon: given.workers.latest_report() + operator.abandon_late(),
            headroom: operator.headroom,
            idle: operator.idle(),
            guarantee_hold: operator.guarantee_hold(),
            refused: operator.refused(),
        }
    }

    /// Whether machines are kept for guarantees whatever runs on them.
    pub fn holds_capacity(&self) -> bool {
        self.teams.values().any(|team| team.cores > 0.0)
    }

    /// How long a worker that answers may go without a report of its own. One whose
    /// owner has just ended takes its time to find the next.
    pub fn report_overdue(&self) -> Duration {
        self.suspect.max(self.worker_lease / 2)
    }

    /// How long after our last answer left a worker's lease has surely ended:
    /// its own clock may run slow, and ours fast.
    pub fn lease_surely_over(&self) -> Duration {
        drift::longest(self.worker_lease) + LEASE_MARGIN
    }
}

/// The times of the aims of one kind, by class.
fn within(objectives: &[Objective], kind: &str) -> HashMap<String, Duration> {
    objectives
        .iter()
        .filter(|aim| aim.kind == kind)
        .filter_map(|aim| {
            let within = aim.within_s.filter(|s| (0.0..1e9).contains(s))?;
            Some((aim.class.clone()?, Duration::from_secs_f64(within)))
        })
        .collect()
}

/// The multiples of deadlines that aims name, by class.
fn deadline_times(objectives: &[Objective]) -> HashMap<String, Vec<f64>> {
    let mut times: HashMap<String, Vec<f64>> = HashMap::new();
    for aim in objectives.iter().filter(|aim| aim.kind == "deadline") {
        let multiple = aim.times.unwrap_or(1.0);
        if let Some(class) = &aim.class
            && (0.1..1e3).contains(&multiple)
        {
            times.entry(class.clone()).or_default().push(multiple);
        }
    }
    for multiples in times.values_mut() {
        multiples.sort_by(f64::total_cmp);
    }
    times
}

/// Pause between two counts of what runs, for display and for comparing
/// machines.
const COUNT_EVERY: Duration = Duration::from_secs(1);

/// One shard as its owner sees it.
pub struct Shard {
    /// What its decisions depend on besides its state.
    pub policy: Policy,
    /// The number that fences our commands and writes.
    pub term: u64,
    acquired: Instant,
    /// The time of day then, in milliseconds.
    acquired_wall_ms: u64,
    types: BTreeMap<String, Arc<MachineType>>,
    jobs: BTreeMap<JobId, Job>,
    machines: Machines,
    /// Machines that were deleted, and when.
    gone: HashMap<MachineId, Instant>,
    /// Machines of the roster that we loaded which may hold tasks that we
    /// don't know of: neither synced under our term, nor proven empty.
    unresolved: BTreeSet<MachineId>,
    fleet: fleet::Fleet,
    writes: writes::Writer,
    delegations: delegations::Delegations,
    /// What is known of others' answers to workers, once something is.
    answers_by_others: Option<delegations::AnswersByOthers>,
    /// By machine, the tasks that the last owner's snapshot had there.
    presumed: HashMap<MachineId, u32>,
    /// Since when something has been delegated without a break.
    delegating_since: Option<Instant>,
    /// Zones all of whose controllers can't be reached: likely cut off.
    cut_off: BTreeSet<String>,
    next_take: u64,
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
            self.find_slow_machines(now);
        }
        self.probe_unsynced(now);
        self.manage_fleet(now);
        self.needs_pass = true;
        self.settle(now);
    }

    /// Works out the difference between what is wanted and what is.
    pub fn settle(&mut self, now: Instant) {
        if std::mem::take(&mut self.needs_pass) {
            self.mind_gangs(now);
            self.withdraw_launches(now);
            self.place(now);
            self.mind_gangs(now);
            self.withdraw_launches(now);
            self.flush_commands(now);
        }
        self.pump_writes(now);
    }

    /// The time of day, by the steady clock since the take-over.
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
            for ((task, _), attempt) in &machine.attempts {
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
            .filter(|job| job.over.is_none())
            .map(|job| {
                let running = self.running.get(&job.id).copied().unwrap_or(0);
                let done = job.done().len();
                (&job.id, TaskCounts { done, running })
            })
    }

    /// The counts of a job's tasks, for its user.
    pub fn view(&self, id: &str) -> Option<TaskCounts> {
        let job = self.jobs.get(id).filter(|job| job.over.is_none())?;
        let runs = |(index, machine): &(&u32, &MachineId)| {
            self.machines.get(machine).is_some_and(|machine| {
                machine.attempts_of(&job.id).any(|((task, _), attempt)| {
                    task.index == **index && attempt.phase == Phase::Running
                })
            })
        };
        let running = job.live().iter().filter(runs).count() as u32;
        let done = job.done().len();
        Some(TaskCounts { done, running })
    }

    /// How many machines are heard.
    pub fn hearing(&self, now: Instant) -> MachinesHeard {
        let expected = self.machines.values().filter(|m| m.should_report());
        let recent = self.policy.report.mul_f64(1.6);
        let heard = expected.clone().filter(|m| m.silence(now) < recent).count();
        MachinesHeard {
            heard,
            expected: expected.count(),
        }
    }

    /// A few numbers for the log.
    pub fn summary(&self) -> String {
        let attempts: usize = self.machines.values().map(|m| m.attempts.len()).sum();
        let waiting: u32 = self.jobs.values().map(Job::waiting).sum();
        let [ordinary, spot] = [false, true].map(|spot| self.cores_of(spot));
        format!(
            "jobs {} waiting {} machines {} attempts {} unresolved {} ordinary {} spot {}",
            self.jobs.len(),
            waiting,
            self.machines.len(),
            attempts,
            self.unresolved.len(),
            ordinary,
            spot,
        )
    }

    /// How the cores of ordinary or spot machines are used.
    fn cores_of(&self, spot: bool) -> String {
        let (mut total, mut hosts, mut services, mut batch) = (0.0, 0.0, 0.0, 0.0);
        for machine in self.machines.values().filter(|m| m.spot == spot) {
            let cores = self
                .types
                .get(&*machine.machine_type)
                .map_or(0.0, |kind| kind.cores);
            total += cores;
            if drain::hosts_services(machine) {
                hosts += cores;
            }
            for (spec, count) in &machine.load.tasks {
                let cores = spec.cores * f64::from(*count);
                match spec.kind {
                    JobKind::Service => services += cores,
                    JobKind::Batch | JobKind::Gang => batch += cores,
                }
            }
        }
        format!("{total} cores ({services} services on {hosts}, {batch} batch)")
    }

    /// Machines and queues, as text for operators.
    pub fn describe(&self, now: Instant) -> String {
        let mut text = format!("{}\n{}\n", self.summary(), self.writes.describe(now));
        let mut queues: BTreeMap<&str, (u32, usize)> = BTreeMap::new();
        for job in self.jobs.values() {
            let entry = queues.entry(&job.spec.team).or_default();
            entry.0 += job.waiting();
            entry.1 += job.live().len();
        }
        for (team, (waiting, live)) in queues {
            text.push_str(&format!(
                "team {team}: {waiting} tasks wait, {live} on machines\n"
            ));
        }
        for machine in self.machines.values() {
            let state = match machine {
                m if m.deleting => "being returned",
                m if m.draining => "being emptied",
                m if m.heard.is_none() => "not heard yet",
                m if m.open(now, &self.policy) => "open",
                _ => "closed",
            };
            text.push_str(&format!(
                "{} {} {}{}: {state}, {} attempts, silent {:?}\n",
                machine.id,
                machine.machine_type,
                machine.zone,
                if machine.spot { " spot" } else { "" },
                machine.attempts.len(),
                machine.heard.map(|_| machine.silence(now)),
            ));
        }
        text
    }

    /// Whether work waits that may be placed, or machines are unaccounted for.
    pub fn is_busy(&self) -> bool {
        !self.unresolved.is_empty() || self.jobs.values().any(|job| job.waiting() > 0)
    }

    /// Which zones are likely cut off from us.
    pub fn set_cut_off(&mut self, zones: BTreeSet<String>) {
        self.cut_off = zones;
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
