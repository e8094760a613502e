//! The settings file (JSON) that the platform hands over. Fields that it doesn't know are ignored.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::SettingsError;

mod validation;

/// Longest time between two heartbeats of a worker, as a multiple of the usual one.
const MAX_HEARTBEAT_INTERVAL: f64 = 1.25;
/// How long a gang's task waits for the others if the file doesn't say, in seconds.
const DEFAULT_GANG_WAIT_S: f64 = 30.0;
/// How soon a gang's tasks notice the end of another if the file doesn't say, in seconds.
const DEFAULT_GANG_PEER_S: f64 = 5.0;

/// Another controller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Peer {
    /// Its node id.
    #[serde(rename = "label")]
    pub node_id: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
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

/// A team's quota and its limit: what it is guaranteed, and the most that it may use at once.
/// 0 means none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Cores that are guaranteed.
    #[serde(rename = "cpus", default)]
    pub quota_cores: f64,
    /// Most cores in use at once.
    #[serde(rename = "cpus_max", default)]
    pub max_cores: f64,
    /// Accelerators that are guaranteed.
    #[serde(rename = "gpus", default)]
    pub quota_accelerators: f64,
    /// Most accelerators in use at once.
    #[serde(rename = "gpus_max", default)]
    pub max_accelerators: f64,
}

/// A service-level objective for one class of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceLevelObjective {
    /// What is measured, such as `wait` (the time until a task starts) or `deadline`.
    pub kind: String,
    /// The class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which it should happen, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs for which it should.
    #[serde(default)]
    pub share: Option<f64>,
    /// For deadlines: the multiple of the deadline within which jobs should be done.
    #[serde(rename = "times", default)]
    pub deadline_multiple: Option<f64>,
}

/// How workers behave; times are in seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Workers {
    /// The usual time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// How long a worker's lease lasts.
    pub lease_s: f64,
    /// How long after its cancellation a job's last task may still run.
    pub cancel_s: f64,
    /// How long a gang's task waits for the others.
    #[serde(default = "default_gang_wait")]
    pub gang_wait_s: f64,
    /// How soon a gang's tasks notice that one of them has ended, and within what time all have
    /// to be commanded to stop.
    #[serde(default = "default_gang_peer")]
    pub gang_peer_s: f64,
}

fn default_gang_wait() -> f64 {
    DEFAULT_GANG_WAIT_S
}

fn default_gang_peer() -> f64 {
    DEFAULT_GANG_PEER_S
}

impl Workers {
    /// The usual time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s)
    }

    /// The longest time between two heartbeats.
    pub fn latest_heartbeat(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s * MAX_HEARTBEAT_INTERVAL)
    }

    /// How long a worker's lease lasts.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// How long a gang's task waits for the others.
    pub fn gang_wait(&self) -> Duration {
        Duration::from_secs_f64(self.gang_wait_s)
    }

    /// How long after its cancellation a job's last task may still run.
    pub fn cancel(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

/// The key-value store's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvLimits {
    /// Requests per second.
    pub rps: f64,
    /// Mutations per second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most mutations of one transaction.
    pub txn_ops: usize,
    /// The limits that will apply from some moment on, which isn't announced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<UpcomingLimits>,
}

/// Limits to come; what isn't named stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct UpcomingLimits {
    /// Requests per second, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rps: Option<f64>,
    /// Mutations per second, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_rps: Option<f64>,
    /// Largest value in KiB, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value_kb: Option<f64>,
    /// Most mutations of one transaction, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub txn_ops: Option<usize>,
}

impl KvLimits {
    /// The limits to keep: the lower of each now and to come, since the change isn't announced.
    pub fn planned(&self) -> Self {
        let next = self.next.clone().unwrap_or_default();
        let lower = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
        Self {
            rps: lower(self.rps, next.rps),
            write_rps: lower(self.write_rps, next.write_rps),
            value_kb: lower(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |n| n.min(self.txn_ops)),
            next: None,
        }
    }

    /// Largest value, in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// The cloud's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How old the machine list may be, in seconds.
    pub list_lag_s: f64,
}

/// The resources that a controller's process has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Resources {
    /// Share of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Most open connections.
    pub max_connections: usize,
}

/// The part named `settings`: what is the same for all controllers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Parameters {
    /// The zones that have controllers.
    pub zones: Vec<String>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// How workers behave.
    pub workers: Workers,
    /// The key-value store's limits.
    #[serde(rename = "state")]
    pub kv: KvLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// The resources of each controller.
    pub resources: Resources,
    /// How far the controllers' times of day may differ, in milliseconds.
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
    #[serde(rename = "area")]
    pub zone: String,
    /// The address for users, workers and the load balancer.
    #[serde(rename = "front")]
    pub front: SocketAddr,
    /// The address for the other controllers.
    pub internal_addr: SocketAddr,
    /// The other controllers.
    pub others: Vec<Peer>,
    /// The services that the controllers depend on.
    pub services: Services,
    /// The settings that are the same for all controllers.
    pub settings: Parameters,
}

impl Platform {
    /// Reads and checks the file's text; `file` is for messages only.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let platform: Self = serde_json::from_str(text).map_err(|source| SettingsError::Json {
            file: file.to_owned(),
            source,
        })?;
        validation::check(&platform, file)?;
        Ok(platform)
    }
}

#[cfg(test)]
pub(crate) mod tests;
