//! A controller's clients for the store, the cloud, the other controllers and the workers.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::coordination::cloud::client::CloudClient;
use crate::settings::Settings;
use crate::storage::kv_client::KvClient;
use crate::transport::client::HttpClient;

/// How long an idle connection to a worker is kept open. Short, since there are many workers, and
/// each of them also has a connection of its own to this controller.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Sockets counted for each worker when idle connections are kept: one for this controller's
/// connection to the worker, one for the worker's connection to this controller, and one to spare.
const SOCKETS_PER_WORKER: usize = 3;

/// The clients of one controller.
pub struct Clients {
    /// The consensus-backed key-value store.
    pub kv: KvClient,
    /// The cloud.
    pub cloud: CloudClient,
    /// The other controllers.
    pub peers: HttpClient,
    /// The workers.
    pub workers: WorkerClients,
}

impl Clients {
    pub(super) fn new(settings: &Settings, clock: Arc<dyn Clock>) -> Self {
        let platform = &settings.platform;
        Self {
            kv: KvClient::new(platform.services.kv, clock),
            cloud: CloudClient::new(platform.services.cloud),
            peers: HttpClient::new(),
            workers: WorkerClients::new(platform.settings.resources.max_connections),
        }
    }
}

/// The clients for workers: `pooled` keeps idle connections, `unpooled` closes them.
pub struct WorkerClients {
    pooled: HttpClient,
    unpooled: HttpClient,
    /// The sockets that this process may hold.
    max_sockets: usize,
}

impl WorkerClients {
    fn new(max_sockets: usize) -> Self {
        Self {
            pooled: HttpClient::with_idle_timeout(WORKER_IDLE_TIMEOUT),
            unpooled: HttpClient::with_idle_timeout(Duration::ZERO),
            max_sockets,
        }
    }

    /// The client to use when there are this many workers. Idle connections are kept only if the
    /// connections of all workers, in both directions, fit the process's sockets.
    pub fn for_workers(&self, workers: usize) -> &HttpClient {
        if workers * SOCKETS_PER_WORKER > self.max_sockets {
            &self.unpooled
        } else {
            &self.pooled
        }
    }
}
