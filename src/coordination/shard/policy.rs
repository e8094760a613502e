//! The policy of a shard: the settings on which its decisions depend, in the form and units that
//! the decisions use.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::coordination::clock_drift;
use crate::coordination::worker_leases::advance_delegation;
use crate::settings::Settings;
use crate::settings::platform::{ServiceLevelObjective, Team};

/// The share of the key-value store's write rate that the shard's own records (roster, rentals,
/// delegations) may use; the records of jobs need the rest.
const RECORD_WRITE_SHARE: f64 = 0.3;

/// The lower bound of a team's fair share, in cores or accelerators.
const MIN_FAIR_SHARE: f64 = 1.0;

/// Margin of [`Policy::worker_lease_bound`] for the delivery of an answer: the worker's lease
/// starts when the answer reaches the worker, which is later than the controller sent it.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Service-level objectives with a time of this many seconds or more are ignored.
const MAX_OBJECTIVE_S: f64 = 1e9;

/// Service-level objectives that name a smaller multiple of a deadline are ignored.
const MIN_DEADLINE_MULTIPLE: f64 = 0.1;
/// Service-level objectives that name this multiple of a deadline or a larger one are ignored.
const MAX_DEADLINE_MULTIPLE: f64 = 1e3;

/// A team's guaranteed quota and its quota limit; 0 means none.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamPolicy {
    /// The guaranteed number of cores.
    pub cores: f64,
    /// The most cores that the team's tasks may use at once.
    pub cores_max: f64,
    /// The guaranteed number of accelerators.
    pub accelerators: f64,
    /// The most accelerators that the team's tasks may use at once.
    pub accelerators_max: f64,
}

impl TeamPolicy {
    /// The guaranteed quota as one number, by which teams are compared: the larger of its cores
    /// and its accelerators.
    fn guaranteed(&self) -> f64 {
        self.cores.max(self.accelerators)
    }
}

/// The settings that a shard's decisions depend on.
#[derive(Debug, Clone)]
pub struct Policy {
    /// This controller's node id.
    pub node_id: String,
    /// The quotas of each team, by team name.
    pub teams: BTreeMap<String, TeamPolicy>,
    /// The service-level objective for the time from a job's acceptance to its start, by job
    /// class.
    pub start_objectives: HashMap<String, Duration>,
    /// The service-level objective for the time from a job's acceptance to its end, by job class.
    pub finish_objectives: HashMap<String, Duration>,
    /// By job class, the multiples of their deadlines within which jobs are to end, in rising
    /// order.
    pub deadline_multiples: HashMap<String, Vec<f64>>,
    /// The usual time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// The duration of a worker's lease.
    pub worker_lease: Duration,
    /// How long a gang's task waits for the gang's other tasks to be ready.
    pub gang_wait: Duration,
    /// The longest time for which another controller may renew workers' leases by advance
    /// delegation.
    pub advance_delegation: Duration,
    /// The most mutations in one transaction of the key-value store.
    pub txn_ops: usize,
    /// The most bytes in one value of the key-value store.
    pub value_bytes: usize,
    /// The shortest time between the starts of two snapshot rounds.
    pub snapshot_interval: Duration,
    /// No task is started while some change is older than this and not yet in a durable snapshot.
    pub max_staleness: Duration,
    /// The most mutations per second for snapshots.
    pub snapshot_writes_per_s: f64,
    /// The most mutations per second for the shard's own records (roster, rentals, delegations).
    pub record_writes_per_s: f64,
    /// The time without contact after which a machine gets no new tasks.
    pub suspect_after: Duration,
    /// The time without contact after which a machine is declared dead.
    pub dead_after: Duration,
    /// The least number of further tasks of each job class for which capacity is kept free, as a
    /// multiple of the class's live tasks.
    pub headroom: f64,
    /// How long a machine has to be idle before it is deleted.
    pub idle_timeout: Duration,
    /// How long a team's unused quota stays reserved after the team last had work.
    pub quota_hold: Duration,
    /// The backoff before the autoscaler again requests a kind of machine of which the cloud had
    /// too few.
    pub scale_out_retry: Duration,
}

impl Policy {
    /// Derives the policy from the settings.
    pub fn new(settings: &Settings) -> Self {
        let platform = &settings.platform.settings;
        let kv_limits = platform.kv.strictest();
        let operator = &settings.operator;
        Self {
            node_id: settings.platform.node_id.clone(),
            teams: team_policies(&platform.teams),
            start_objectives: objectives_of_kind(&platform.objectives, "wait"),
            finish_objectives: objectives_of_kind(&platform.objectives, "finished"),
            deadline_multiples: deadline_multiples(&platform.objectives),
            heartbeat_interval: platform.workers.heartbeat_interval(),
            worker_lease: platform.workers.lease_duration(),
            gang_wait: platform.workers.gang_wait(),
            advance_delegation: advance_delegation::max_duration(settings),
            txn_ops: kv_limits.txn_ops,
            value_bytes: kv_limits.value_bytes(),
            snapshot_interval: operator.snapshot_interval(),
            max_staleness: operator.staleness(),
            snapshot_writes_per_s: kv_limits.write_rps * operator.snapshot_write_share,
            record_writes_per_s: kv_limits.write_rps * RECORD_WRITE_SHARE,
            suspect_after: platform.workers.max_heartbeat_interval() + operator.suspect_late(),
            dead_after: platform.workers.max_heartbeat_interval() + operator.declare_dead_late(),
            headroom: operator.headroom,
            idle_timeout: operator.max_idle_time(),
            quota_hold: operator.quota_hold(),
            scale_out_retry: operator.scale_out_retry(),
        }
    }

    /// Whether some team has guaranteed cores. Machines for them are then kept even while nothing
    /// runs on them.
    pub fn holds_capacity_for_quota(&self) -> bool {
        self.teams.values().any(|team| team.cores > 0.0)
    }

    /// A team's weight in fair sharing of the capacity beyond all guaranteed quota: its own
    /// guaranteed quota, or the smallest guaranteed quota of any other team if it has none. At
    /// least `MIN_FAIR_SHARE`.
    pub fn fair_share(&self, team: &str) -> f64 {
        let own = self.teams.get(team).map_or(0.0, TeamPolicy::guaranteed);
        if own > 0.0 {
            return own.max(MIN_FAIR_SHARE);
        }
        let quotas = self.teams.values().map(TeamPolicy::guaranteed);
        let smallest = quotas.filter(|quota| *quota > 0.0).min_by(f64::total_cmp);
        smallest.unwrap_or(MIN_FAIR_SHARE).max(MIN_FAIR_SHARE)
    }

    /// How long a worker that still answers commands may go without a periodic heartbeat before
    /// its machine gets no new tasks: [`Self::suspect_after`], but at least half of a worker's
    /// lease, because a worker whose leader has just changed takes a while to find the new one.
    pub fn heartbeat_overdue_after(&self) -> Duration {
        self.suspect_after.max(self.worker_lease / 2)
    }

    /// The time after which a worker's lease has certainly expired, counted from when this
    /// controller last answered the worker's heartbeat. Allows for a worker's clock that runs slow
    /// and a controller's clock that runs fast.
    pub fn worker_lease_bound(&self) -> Duration {
        clock_drift::max_elapsed(self.worker_lease) + LEASE_MARGIN
    }
}

/// The quotas of each team, by team name.
fn team_policies(teams: &[Team]) -> BTreeMap<String, TeamPolicy> {
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

/// The times of the service-level objectives of one kind, by job class.
fn objectives_of_kind(
    objectives: &[ServiceLevelObjective],
    kind: &str,
) -> HashMap<String, Duration> {
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

/// The multiples of deadlines that service-level objectives name, by job class, in rising order.
fn deadline_multiples(objectives: &[ServiceLevelObjective]) -> HashMap<String, Vec<f64>> {
    let mut by_class: HashMap<String, Vec<f64>> = HashMap::new();
    let valid_multiples = MIN_DEADLINE_MULTIPLE..MAX_DEADLINE_MULTIPLE;
    for objective in objectives.iter().filter(|o| o.kind == "deadline") {
        let multiple = objective.deadline_multiple.unwrap_or(1.0);
        if let Some(class) = &objective.class
            && valid_multiples.contains(&multiple)
        {
            by_class.entry(class.clone()).or_default().push(multiple);
        }
    }
    for multiples in by_class.values_mut() {
        multiples.sort_by(f64::total_cmp);
    }
    by_class
}
