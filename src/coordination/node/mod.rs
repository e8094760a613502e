//! One controller: its settings, its clients, its admission limits, and its state behind
//! one lock.
//!
//! Everything in [`super`] that acts for the controller takes the [`Node`] it acts for.
//! This module itself sends nothing, spawns nothing, and imports neither routers nor loops nor the
//! executor. [`crate::server::run`] creates the node.

pub mod admission;
pub mod clients;
pub mod counters;
mod reachability;
pub mod state;
mod status;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;

use self::admission::AdmissionLimits;
use self::clients::Clients;
use self::state::NodeState;
use crate::clock::Clock;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::shard::Policy;
use crate::settings::Settings;
use crate::storage::job_index::JobIndex;
use crate::transport::client::HttpClient;

/// Deadline of ordinary requests to the store.
pub const KV_DEADLINE: Duration = Duration::from_millis(2500);

/// A controller.
pub struct Node {
    /// The settings from both files.
    pub settings: Settings,
    /// The settings that the shard's decisions depend on.
    pub policy: Policy,
    /// The monotonic clock and the wall clock.
    pub clock: Arc<dyn Clock>,
    /// Distinguishes this process from this controller's earlier ones.
    pub incarnation: u64,
    /// When this process started.
    pub started: Instant,
    /// The clients for the store, the cloud, the workers and the other controllers.
    pub clients: Clients,
    /// Limits on the requests that this controller has in flight at once.
    pub admission: AdmissionLimits,
    /// Index of all known jobs, behind a lock of its own.
    pub job_index: JobIndex,
    state: Mutex<NodeState>,
}

impl Node {
    /// Creates a controller with these settings. The node runs no tasks of its own.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Arc<Self> {
        Arc::new(Self {
            policy: Policy::new(&settings),
            incarnation: random_id(),
            started: clock.now(),
            clients: Clients::new(&settings, clock.clone()),
            admission: AdmissionLimits::new(&settings),
            job_index: JobIndex::new(admission::catch_up_interval(&settings)),
            state: Mutex::new(NodeState::default()),
            settings,
            clock,
        })
    }

    /// Locks the controller's state. The guard is never held across an await: it isn't `Send`, so
    /// a task that did so could not be spawned. While a caller holds the guard, it must not call
    /// a method of `Node` that locks as well: the lock isn't reentrant.
    ///
    /// Poisoning is ignored: a panic ends the task in which it happens, not the others.
    pub fn lock(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The monotonic clock's time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// This controller's node id.
    pub fn node_id(&self) -> &str {
        &self.settings.platform.node_id
    }

    /// How long ago this process started.
    pub fn up_time(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    /// The largest value, in bytes, that the store accepts under its current limits and under the
    /// announced ones.
    pub fn value_bytes(&self) -> usize {
        self.settings.platform.settings.kv.strictest().value_bytes()
    }

    /// The client for workers that suits the number of workers which send heartbeats to this
    /// controller.
    pub fn workers_http(&self) -> &HttpClient {
        let workers = self.lock().worker_heartbeats.len();
        self.clients.workers.for_workers(workers)
    }

    /// The lease under which this node may act as the leader now, if there is one.
    pub fn live_lease(&self) -> Option<Arc<ShardLease>> {
        let state = self.lock();
        let lease = &state.leadership.as_ref()?.lease;
        lease.is_live(self.now()).then(|| lease.clone())
    }

    /// The lease under which this node leads the shard, even if it is past its deadline.
    pub fn lease(&self) -> Option<Arc<ShardLease>> {
        self.lock()
            .leadership
            .as_ref()
            .map(|leadership| leadership.lease.clone())
    }
}

/// Returns a random id, which no other process is likely ever to choose. It is below 2^52, since
/// numbers in JSON are exact only below 2^53.
pub fn random_id() -> u64 {
    rand::rng().random::<u64>() >> 12
}
