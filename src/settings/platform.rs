//! The settings file (JSON) that the platform hands over.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::SettingsError;

/// Another controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Peer {
    /// Its node id.
    #[serde(rename = "label")]
    pub node_id: String,
    /// Its zone.
    pub area: String,
    /// Its internal address.
    pub address: SocketAddr,
}

/// Where the outside services are.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Services {
    /// The cloud's address.
    pub cloud: SocketAddr,
    /// The key-value store's address.
    #[serde(rename = "state")]
    pub kv: SocketAddr,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Cores that are guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// Cores that may be used at once.
    #[serde(default)]
    pub cpus_max: f64,
    /// Accelerators that are guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// Accelerators that may be used at once.
    #[serde(default)]
    pub gpus_max: f64,
}

/// One of the objectives at start and at finish.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Objective {
    /// What is aimed at.
    pub kind: String,
    /// The class of jobs that it is about.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which it should happen.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share for which it should.
    #[serde(default)]
    pub share: Option<f64>,
    /// A multiple of the deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// How workers behave.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Workers {
    /// The usual pause between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// How long a worker's lease lasts.
    pub lease_s: f64,
    /// How long a cancelled job's tasks have to end.
    pub cancel_s: f64,
    /// How long a gang's task waits for the others.
    #[serde(default = "default_gang_wait")]
    pub gang_wait_s: f64,
    /// How soon a gang's tasks notice that one is gone, and within what time all
    /// have to be told to stop.
    #[serde(default = "default_gang_peer")]
    pub gang_peer_s: f64,
}

fn default_gang_wait() -> f64 {
    30.0
}

fn default_gang_peer() -> f64 {
    5.0
}

impl Workers {
    /// The usual pause between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s)
    }

    /// When the next heartbeat is due at the latest: pauses vary by a quarter.
    pub fn latest_heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s * 1.25)
    }

    /// How long a worker's lease lasts.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// How long a gang's task waits for the others.
    pub fn gang_wait(&self) -> Duration {
        Duration::from_secs_f64(self.gang_wait_s)
    }

    /// How long a cancelled job's tasks have to end.
    pub fn cancel(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

/// The key-value store's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Size of a value in KiB.
    pub value_kb: f64,
    /// Changes of one transaction.
    pub txn_ops: usize,
    /// The limits that it will have from some moment on, without notice.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<UpcomingLimits>,
}

/// Limits to come; what isn't named stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct UpcomingLimits {
    /// Requests a second, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rps: Option<f64>,
    /// Changes a second, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_rps: Option<f64>,
    /// Size of a value in KiB, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value_kb: Option<f64>,
    /// Changes of one transaction, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub txn_ops: Option<usize>,
}

impl KvLimits {
    /// What is planned by: the lesser of the limits now and those to come, since
    /// the change comes without notice.
    pub fn planned(&self) -> Self {
        let next = self.next.clone().unwrap_or_default();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
        Self {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_kb: least(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: None,
        }
    }

    /// The most that a value may take.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// The cloud's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How old the machine list may be.
    pub list_lag_s: f64,
}

/// What this machine gives the process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Resources {
    /// Share of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Sockets.
    pub max_connections: usize,
}

/// The part named `settings`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Parameters {
    /// The zones that have controllers.
    pub zones: Vec<String>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The objectives at start and at finish.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// What applies to workers.
    pub workers: Workers,
    /// The key-value store's limits.
    #[serde(rename = "state")]
    pub kv: KvLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// What each controller has.
    pub resources: Resources,
    /// How far the time of day may be off.
    #[serde(default)]
    pub skew_ms: f64,
}

/// The whole file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Platform {
    /// This controller's node id.
    #[serde(rename = "label")]
    pub node_id: String,
    /// Its zone.
    pub area: String,
    /// The address for users, workers and the balancer.
    #[serde(rename = "front")]
    pub front: SocketAddr,
    /// The address for the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    pub others: Vec<Peer>,
    /// What the controllers depend on.
    pub services: Services,
    /// What is the same for all controllers.
    pub settings: Parameters,
}

impl Platform {
    /// Reads and checks the file's text; `file` is for messages only.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let platform: Self = serde_json::from_str(text).map_err(|error| SettingsError::Syntax {
            file: file.to_owned(),
            why: error.to_string(),
        })?;
        platform.check(file)?;
        Ok(platform)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let broken = self.rules().into_iter().find(|rule| !rule.holds);
        match broken {
            None => Ok(()),
            Some(rule) => Err(SettingsError::Field {
                file: file.to_owned(),
                field: rule.field.to_owned(),
                why: rule.why.to_owned(),
            }),
        }
    }

    /// What has to hold, in the order in which it is checked.
    fn rules(&self) -> Vec<Rule> {
        let named = |field, holds, why| Rule { field, holds, why };
        let settings = &self.settings;
        let itself = self.others.iter().any(|peer| peer.node_id == self.node_id);
        let mut rules = vec![
            named("label", !self.node_id.is_empty(), "must not be empty"),
            named("others", !itself, "names this node itself"),
            named(
                "settings.teams",
                !settings.teams.is_empty(),
                "must not be empty",
            ),
        ];
        rules.extend(settings.positive_numbers().map(|(field, value)| {
            let holds = value.is_finite() && value > 0.0 && value < MOST;
            named(field, holds, "must be a number above 0")
        }));
        let workers = &settings.workers;
        let state = &settings.kv;
        let next_ops = state.next.as_ref().and_then(|next| next.txn_ops);
        let lag = settings.cloud.list_lag_s;
        let amounts = settings.teams.iter().flat_map(Team::amounts);
        rules.extend([
            named(
                "settings.workers.lease_s",
                workers.lease_s > workers.heartbeat_interval_s,
                "must be above report_s",
            ),
            named(
                "settings.state.txn_ops",
                state.txn_ops >= LEAST_CHANGES,
                "must be at least 3",
            ),
            named(
                "settings.state.next.txn_ops",
                next_ops.is_none_or(|mutations| mutations >= LEAST_CHANGES),
                "must be at least 3",
            ),
            named(
                "settings.cloud.list_lag_s",
                is_amount(lag),
                "must be a number of 0 or more",
            ),
            named(
                "settings.teams",
                amounts.into_iter().all(is_amount),
                "amounts must be numbers of 0 or more",
            ),
        ]);
        rules
    }
}

/// Something that has to hold of a field.
struct Rule {
    field: &'static str,
    holds: bool,
    why: &'static str,
}

/// Numbers from here on are not taken as meant.
const MOST: f64 = 1e9;

/// Changes that a transaction has to allow: the sequence number, and a job's two records.
const LEAST_CHANGES: usize = 3;

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

impl Team {
    fn amounts(&self) -> [f64; 4] {
        [self.cpus, self.cpus_max, self.gpus, self.gpus_max]
    }
}

impl Parameters {
    /// The numbers that have to be above 0; what isn't given counts as 1.
    fn positive_numbers(&self) -> impl Iterator<Item = (&'static str, f64)> {
        let next = self.kv.next.clone().unwrap_or_default();
        [
            (
                "settings.workers.report_s",
                self.workers.heartbeat_interval_s,
            ),
            ("settings.workers.lease_s", self.workers.lease_s),
            ("settings.workers.cancel_s", self.workers.cancel_s),
            ("settings.workers.gang_wait_s", self.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", self.workers.gang_peer_s),
            ("settings.state.rps", self.kv.rps),
            ("settings.state.write_rps", self.kv.write_rps),
            ("settings.state.value_kb", self.kv.value_kb),
            ("settings.cloud.rps", self.cloud.rps),
            ("settings.state.next.rps", next.rps.unwrap_or(1.0)),
            (
                "settings.state.next.write_rps",
                next.write_rps.unwrap_or(1.0),
            ),
            ("settings.state.next.value_kb", next.value_kb.unwrap_or(1.0)),
        ]
        .into_iter()
    }
}

#[cfg(test)]
pub(crate) mod tests;
