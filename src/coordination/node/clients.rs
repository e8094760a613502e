//! The clients by which a controller reaches others.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::coordination::cloud::client::CloudClient;
use crate::settings::Settings;
use crate::storage::kv_client::KvClient;
use crate::transport::client::HttpClient;

/// How long an unused connection to a worker is kept: there are many workers, each of
/// which has a connection of its own to this controller as well.
const WORKER_IDLE: Duration = Duration::from_secs(5);
/// Sockets reckoned for each worker when connections to it are kept: ours to it and its
/// own to us, with some to spare.
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

/// The clients for workers: one keeps its connections, the other doesn't.
pub struct WorkerClients {
    pooled: HttpClient,
    unpooled: HttpClient,
    /// The sockets that this process may hold.
    max_sockets: usize,
}

impl WorkerClients {
    fn new(max_sockets: usize) -> Self {
        Self {
            pooled: HttpClient::with_idle_timeout(WORKER_IDLE),
            unpooled: HttpClient::with_idle_timeout(Duration::ZERO),
            max_sockets,
        }
    }

    /// The client for so many workers: connections are kept as long as those of all
    /// workers, in both directions, fit the process's sockets.
    pub fn for_workers(&self, workers: usize) -> &HttpClient {
        if workers * SOCKETS_PER_WORKER > self.max_sockets {
            &self.unpooled
        } else {
            &self.pooled
        }
    }
}
