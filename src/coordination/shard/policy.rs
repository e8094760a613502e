//! What the shard's decisions depend on besides its state: the settings, worked out.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::coordination::clock_drift;
use crate::coordination::worker_leases::advance_delegation;
use crate::settings::Settings;
use crate::settings::platform::ServiceLevelObjective;

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

/// Share of the key-value store's writes that the shard's own facts (roster,
/// rentals) may use; jobs' facts need the rest.
const RECORD_WRITE_SHARE: f64 = 0.3;

/// The least that a team's share counts as.
const LEAST_SHARE: f64 = 1.0;

/// For an answer that reaches a worker later than it was given.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// What the shard's decisions depend on besides its state.
#[derive(Debug, Clone)]
pub struct Policy {
    /// This controller's node id.
    pub node_id: String,
    /// The teams by name.
    pub teams: BTreeMap<String, TeamPolicy>,
    /// Longest good wait for a start, by class.
    pub wait_within: HashMap<String, Duration>,
    /// Longest good time until the end, by class.
    pub finish_within: HashMap<String, Duration>,
    /// The multiples of their deadlines by which jobs of a class had better be
    /// done, rising.
    pub deadline_times: HashMap<String, Vec<f64>>,
    /// The usual pause between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// How long a worker's lease lasts.
    pub worker_lease: Duration,
    /// How long a gang's task waits for the others.
    pub gang_wait: Duration,
    /// How long another controller may go on answering workers on its own.
    pub advance_delegation: Duration,
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
    pub record_writes_per_s: f64,
    /// Silence after which a machine gets no new tasks.
    pub suspect_after: Duration,
    /// Silence after which a machine is given back.
    pub dead_after: Duration,
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
        let state = given.kv.planned();
        let operator = &settings.operator;
        Self {
            node_id: settings.platform.node_id.clone(),
            teams: given
                .teams
                .iter()
                .map(|team| {
                    let policy = TeamPolicy {
                        cores: team.quota_cores,
                        cores_max: team.max_cores,
                        accelerators: team.quota_accelerators,
                        accelerators_max: team.max_accelerators,
                    };
                    (team.name.clone(), policy)
                })
                .collect(),
            wait_within: within(&given.objectives, "wait"),
            finish_within: within(&given.objectives, "finished"),
            deadline_times: deadline_times(&given.objectives),
            heartbeat_interval: given.workers.heartbeat_interval(),
            worker_lease: given.workers.lease(),
            gang_wait: given.workers.gang_wait(),
            advance_delegation: advance_delegation::longest(settings),
            txn_ops: state.txn_ops,
            value_bytes: state.value_bytes(),
            snapshot: operator.snapshot(),
            staleness: operator.staleness(),
            snapshot_writes_per_s: state.write_rps * operator.snapshot_write_share,
            record_writes_per_s: state.write_rps * RECORD_WRITE_SHARE,
            suspect_after: given.workers.latest_heartbeat() + operator.suspect_late(),
            dead_after: given.workers.latest_heartbeat() + operator.declare_dead_late(),
            headroom: operator.headroom,
            idle: operator.idle(),
            guarantee_hold: operator.quota_hold(),
            refused: operator.scale_out_retry(),
        }
    }

    /// Whether machines are kept for guarantees whatever runs on them.
    pub fn holds_capacity(&self) -> bool {
        self.teams.values().any(|team| team.cores > 0.0)
    }

    /// A team's share of what is beyond all guarantees: its own guarantee, or the smallest
    /// of the others' if it has none.
    pub fn share_of(&self, team: &str) -> f64 {
        let guarantee = |team: &TeamPolicy| team.cores.max(team.accelerators);
        let own = self.teams.get(team).map_or(0.0, guarantee);
        if own > 0.0 {
            return own.max(LEAST_SHARE);
        }
        let others = self.teams.values().map(guarantee);
        let smallest = others.filter(|cores| *cores > 0.0).min_by(f64::total_cmp);
        smallest.unwrap_or(LEAST_SHARE).max(LEAST_SHARE)
    }

    /// How long a worker that answers may go without a heartbeat of its own. One whose
    /// leader has just ended takes its time to find the next.
    pub fn heartbeat_overdue(&self) -> Duration {
        self.suspect_after.max(self.worker_lease / 2)
    }

    /// How long after our last answer left a worker's lease has surely ended:
    /// its own clock may run slow, and ours fast.
    pub fn worker_lease_bound(&self) -> Duration {
        clock_drift::max_elapsed(self.worker_lease) + LEASE_MARGIN
    }
}

/// The times of the objectives of one kind, by class.
fn within(objectives: &[ServiceLevelObjective], kind: &str) -> HashMap<String, Duration> {
    objectives
        .iter()
        .filter(|aim| aim.kind == kind)
        .filter_map(|aim| {
            let within = aim.within_s.filter(|s| (0.0..1e9).contains(s))?;
            Some((aim.class.clone()?, Duration::from_secs_f64(within)))
        })
        .collect()
}

/// The multiples of deadlines that objectives name, by class.
fn deadline_times(objectives: &[ServiceLevelObjective]) -> HashMap<String, Vec<f64>> {
    let mut times: HashMap<String, Vec<f64>> = HashMap::new();
    for aim in objectives.iter().filter(|aim| aim.kind == "deadline") {
        let multiple = aim.deadline_multiple.unwrap_or(1.0);
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
