//! The platform's settings file, in JSON. Unknown fields in the file are ignored.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::SettingsError;

mod validation;

/// Longest time between two heartbeats of a worker, as a multiple of the usual interval.
const MAX_HEARTBEAT_INTERVAL_FACTOR: f64 = 1.25;
/// Default of [`Workers::gang_wait_s`], in seconds.
const DEFAULT_GANG_WAIT_S: f64 = 30.0;
/// Default of [`Workers::gang_peer_s`], in seconds.
const DEFAULT_GANG_PEER_S: f64 = 5.0;

/// Another controller of the same cluster.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Peer {
    /// Its node id.
    #[serde(rename = "label")]
    pub node_id: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// Its address for the other controllers.
    pub address: SocketAddr,
}

/// The addresses of the external services.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Services {
    /// The cloud's address.
    pub cloud: SocketAddr,
    /// The key-value store's address.
    #[serde(rename = "state")]
    pub kv: SocketAddr,
}

/// A team's quota, which is guaranteed to it, and its quota limit, which is the most that it may
/// use at once. A quota of 0 means that nothing is guaranteed, a limit of 0 means unlimited.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Number of cores that are guaranteed to the team.
    #[serde(rename = "cpus", default)]
    pub quota_cores: f64,
    /// Maximum number of cores in use at once.
    #[serde(rename = "cpus_max", default)]
    pub max_cores: f64,
    /// Number of accelerators that are guaranteed to the team.
    #[serde(rename = "gpus", default)]
    pub quota_accelerators: f64,
    /// Maximum number of accelerators in use at once.
    #[serde(rename = "gpus_max", default)]
    pub max_accelerators: f64,
}

/// A service-level objective for one class of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceLevelObjective {
    /// The measure, such as `wait` (the time until a task starts) or `deadline`.
    pub kind: String,
    /// The class of jobs that the objective applies to.
    #[serde(default)]
    pub class: Option<String>,
    /// The time that the measure should not exceed, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs that should meet the objective.
    #[serde(default)]
    pub share: Option<f64>,
    /// For `deadline`: the multiple of a job's deadline within which the job should be done.
    #[serde(rename = "times", default)]
    pub deadline_multiple: Option<f64>,
}

/// Parameters of the workers' behaviour; times are in seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Workers {
    /// The usual time between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// How long a worker's lease lasts.
    pub lease_s: f64,
    /// The time from the cancellation of a job until none of its tasks may run any more.
    pub cancel_s: f64,
    /// How long a task of a gang waits for the others to start.
    #[serde(default = "default_gang_wait")]
    pub gang_wait_s: f64,
    /// The time within which the tasks of a gang notice that one of them has ended, and also the
    /// time within which all of them have to be commanded to stop.
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
    /// Returns the usual time between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s)
    }

    /// Returns the longest time between two heartbeats of a worker.
    pub fn max_heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s * MAX_HEARTBEAT_INTERVAL_FACTOR)
    }

    /// Returns how long a worker's lease lasts.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Returns how long a task of a gang waits for the others to start.
    pub fn gang_wait(&self) -> Duration {
        Duration::from_secs_f64(self.gang_wait_s)
    }

    /// Returns the time from the cancellation of a job until none of its tasks may run any more.
    pub fn max_cancellation_time(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
}

/// The key-value store's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KvLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// Maximum mutations per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of mutations in one transaction.
    pub txn_ops: usize,
    /// The limits that will apply later. The time of the change is not announced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<UpcomingLimits>,
}

/// The upcoming limits of the key-value store. A limit that is `None` doesn't change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct UpcomingLimits {
    /// Maximum requests per second, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rps: Option<f64>,
    /// Maximum mutations per second, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value_kb: Option<f64>,
    /// Maximum number of mutations in one transaction, if that changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub txn_ops: Option<usize>,
}

impl KvLimits {
    /// Returns the limits to comply with: the lower of the current and the upcoming value of each,
    /// since the time of the change is not announced.
    pub fn strictest(&self) -> Self {
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

    /// Returns the maximum size of a value, in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// The cloud's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second.
    pub rps: f64,
    /// How far the machine list may lag behind rentals and deletions, in seconds.
    pub list_lag_s: f64,
}

/// The resources available to a controller's process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, as a fraction of a core.
    pub cpu: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

/// The part `settings` of the file, which is the same for all controllers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Parameters {
    /// The zones that have controllers.
    pub zones: Vec<String>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Parameters of the workers' behaviour.
    pub workers: Workers,
    /// The key-value store's limits.
    #[serde(rename = "state")]
    pub kv: KvLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// The resources of each controller.
    pub resources: Resources,
    /// Maximum difference between the wall clocks of the controllers, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
}

/// The content of the platform's settings file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Platform {
    /// This controller's node id.
    #[serde(rename = "label")]
    pub node_id: String,
    /// This controller's zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// The address for users, workers and the load balancer.
    #[serde(rename = "front")]
    pub public_addr: SocketAddr,
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
    /// Parses and validates the file's text. `file` is the file's name for error messages.
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
