//! The policy of a shard: the settings in the form that its decisions use.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::coordination::clock_drift;
use crate::coordination::worker_leases::advance_delegation;
use crate::settings::Settings;
use crate::settings::platform::{ServiceLevelObjective, Team};

/// Share of the store's writes that the shard's own records (roster, rentals) may use; the
/// records of jobs need the rest.
const RECORD_WRITE_SHARE: f64 = 0.3;

/// Lower bound of a team's fair share, in cores or accelerators.
const MIN_FAIR_SHARE: f64 = 1.0;

/// Added to a worker's lease for an answer that reaches the worker later than it was sent.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Objectives with a longer time than this, in seconds, are ignored.
const MAX_OBJECTIVE_S: f64 = 1e9;

/// The least multiple of a deadline that an objective may name, and the first that is too
/// large.
const MIN_DEADLINE_MULTIPLE: f64 = 0.1;
const MAX_DEADLINE_MULTIPLE: f64 = 1e3;

/// A team's guaranteed quota and its quota limit; 0 means none.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamPolicy {
    /// Guaranteed cores.
    pub cores: f64,
    /// Most cores that its tasks may use at once.
    pub cores_max: f64,
    /// Guaranteed accelerators.
    pub accelerators: f64,
    /// Most accelerators that its tasks may use at once.
    pub accelerators_max: f64,
}

impl TeamPolicy {
    /// The guaranteed quota as one number, by which teams are compared.
    fn guaranteed(&self) -> f64 {
        self.cores.max(self.accelerators)
    }
}

/// What the shard's decisions depend on besides its state.
#[derive(Debug, Clone)]
pub struct Policy {
    /// This controller's node id.
    pub node_id: String,
    /// The teams by name.
    pub teams: BTreeMap<String, TeamPolicy>,
    /// Service-level objective for the wait until a start, by job class.
    pub wait_within: HashMap<String, Duration>,
    /// Service-level objective for the time until the end, by job class.
    pub finish_within: HashMap<String, Duration>,
    /// The multiples of their deadlines within which jobs of a class are to end, rising.
    pub deadline_times: HashMap<String, Vec<f64>>,
    /// The usual pause between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// How long a worker's lease lasts.
    pub worker_lease: Duration,
    /// How long a gang's task waits for the others.
    pub gang_wait: Duration,
    /// How long another controller may renew workers' leases by advance delegation.
    pub advance_delegation: Duration,
    /// Most mutations in one transaction.
    pub txn_ops: usize,
    /// Most bytes in one value of the store.
    pub value_bytes: usize,
    /// How often a changed shard is snapshotted.
    pub snapshot: Duration,
    /// Age of unsnapshotted changes beyond which no task is started.
    pub staleness: Duration,
    /// Mutations per second for snapshots.
    pub snapshot_writes_per_s: f64,
    /// Mutations per second for the shard's own records.
    pub record_writes_per_s: f64,
    /// Time without contact after which a machine gets no new tasks.
    pub suspect_after: Duration,
    /// Time without contact after which a machine is declared dead.
    pub dead_after: Duration,
    /// Free capacity to hold, as a multiple of what runs.
    pub headroom: f64,
    /// How long a machine may stay idle before it is deleted.
    pub idle: Duration,
    /// How long unused quota stays reserved after its team's last job.
    pub quota_hold: Duration,
    /// Pause before a kind of machine is requested again of which the cloud had too few.
    pub scale_out_retry: Duration,
}

impl Policy {
    /// The policy that the settings ask for.
    pub fn new(settings: &Settings) -> Self {
        let given = &settings.platform.settings;
        let state = given.kv.planned();
        let operator = &settings.operator;
        Self {
            node_id: settings.platform.node_id.clone(),
            teams: teams(&given.teams),
            wait_within: within(&given.objectives, "wait"),
            finish_within: within(&given.objectives, "finished"),
            deadline_times: deadline_times(&given.objectives),
            heartbeat_interval: given.workers.heartbeat_interval(),
            worker_lease: given.workers.lease_duration(),
            gang_wait: given.workers.gang_wait(),
            advance_delegation: advance_delegation::max_duration(settings),
            txn_ops: state.txn_ops,
            value_bytes: state.value_bytes(),
            snapshot: operator.snapshot_interval(),
            staleness: operator.staleness(),
            snapshot_writes_per_s: state.write_rps * operator.snapshot_write_share,
            record_writes_per_s: state.write_rps * RECORD_WRITE_SHARE,
            suspect_after: given.workers.max_heartbeat_interval() + operator.suspect_late(),
            dead_after: given.workers.max_heartbeat_interval() + operator.declare_dead_late(),
            headroom: operator.headroom,
            idle: operator.max_idle_time(),
            quota_hold: operator.quota_hold(),
            scale_out_retry: operator.scale_out_retry(),
        }
    }

    /// Whether machines are held for guaranteed quota whatever runs on them.
    pub fn holds_capacity(&self) -> bool {
        self.teams.values().any(|team| team.cores > 0.0)
    }

    /// A team's fair share of the capacity beyond all guaranteed quota: its own quota, or the
    /// smallest of the other teams' if it has none.
    pub fn fair_share(&self, team: &str) -> f64 {
        let own = self.teams.get(team).map_or(0.0, TeamPolicy::guaranteed);
        if own > 0.0 {
            return own.max(MIN_FAIR_SHARE);
        }
        let quotas = self.teams.values().map(TeamPolicy::guaranteed);
        let smallest = quotas.filter(|quota| *quota > 0.0).min_by(f64::total_cmp);
        smallest.unwrap_or(MIN_FAIR_SHARE).max(MIN_FAIR_SHARE)
    }

    /// How long a worker that answers may go without a heartbeat of its own. One whose leader
    /// has just changed takes a while to find the next.
    pub fn heartbeat_overdue(&self) -> Duration {
        self.suspect_after.max(self.worker_lease / 2)
    }

    /// How long after this controller's last answer a worker's lease has certainly expired:
    /// the worker's clock may run slow, and this controller's fast.
    pub fn worker_lease_bound(&self) -> Duration {
        clock_drift::max_elapsed(self.worker_lease) + LEASE_MARGIN
    }
}

/// The teams by name.
fn teams(teams: &[Team]) -> BTreeMap<String, TeamPolicy> {
    teams
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
        .collect()
}

/// The times of the objectives of one kind, by job class.
fn within(objectives: &[ServiceLevelObjective], kind: &str) -> HashMap<String, Duration> {
    objectives
        .iter()
        .filter(|objective| objective.kind == kind)
        .filter_map(|objective| {
            let is_valid = |seconds: &f64| (0.0..MAX_OBJECTIVE_S).contains(seconds);
            let within = objective.within_s.filter(is_valid)?;
            Some((objective.class.clone()?, Duration::from_secs_f64(within)))
        })
        .collect()
}

/// The multiples of deadlines that objectives name, by job class.
fn deadline_times(objectives: &[ServiceLevelObjective]) -> HashMap<String, Vec<f64>> {
    let mut times: HashMap<String, Vec<f64>> = HashMap::new();
    let valid = MIN_DEADLINE_MULTIPLE..MAX_DEADLINE_MULTIPLE;
    for objective in objectives.iter().filter(|o| o.kind == "deadline") {
        let multiple = objective.deadline_multiple.unwrap_or(1.0);
        if let Some(class) = &objective.class
            && valid.contains(&multiple)
        {
            times.entry(class.clone()).or_default().push(multiple);
        }
    }
    for multiples in times.values_mut() {
        multiples.sort_by(f64::total_cmp);
    }
    times
}
