//! The controller's server: binds the listening addresses, spawns the background loops and serves
//! the HTTP interfaces. Only [`crate::cli`] uses this module.

use std::future::IntoFuture;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpListener;
use tracing::info;

use crate::api;
use crate::clock::SystemClock;
use crate::coordination::cloud::polling;
use crate::coordination::leadership::election;
use crate::coordination::node::Node;
use crate::coordination::peering;
use crate::settings::Settings;
use crate::transport::connection_limit::{ConnectionLimit, LimitedListener};

/// A connection on which no byte is received for this many heartbeat intervals is closed.
const IDLE_HEARTBEAT_INTERVALS: u32 = 5;
/// Percentage of the process's sockets that connections from users, workers and the load balancer
/// may use. The sockets that neither server may use are left for connections that this controller
/// opens itself.
const PUBLIC_CONNECTION_PERCENT: usize = 80;
/// Percentage of the process's sockets that connections from the other controllers and operators
/// may use.
const INTERNAL_CONNECTION_PERCENT: usize = 5;

/// Why the server failed to start, or why it stopped.
#[derive(Debug, Error)]
pub enum RunError {
    /// One of the listening addresses can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address as given in the platform's settings.
        address: SocketAddr,
        /// Why the address can't be bound.
        source: io::Error,
    },
    /// One of the two HTTP servers stopped.
    #[error("a server ended: {0}")]
    Server(#[source] io::Error),
}

/// Runs a controller until the process is killed or a server fails.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let node = Node::new(settings, Arc::new(SystemClock));
    let platform = &node.settings.platform;
    let public_listener = listen(platform.public_addr).await?;
    let internal_listener = listen(platform.internal_addr).await?;
    info!(
        node_id = node.node_id(),
        zone = platform.zone,
        public_address = %platform.public_addr,
        "controller started"
    );
    spawn_background_loops(&node);
    serve(&node, public_listener, internal_listener).await
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RunError::Listen { address, source })
}

/// Spawns the loops that run for the lifetime of the process. None of them returns, since a
/// controller is always stopped by killing its process.
fn spawn_background_loops(node: &Arc<Node>) {
    tokio::spawn(polling::refresh_machine_types(node.clone()));
    tokio::spawn(peering::run(node.clone()));
    tokio::spawn(peering::delegation::serve_delegated_workers(node.clone()));
    tokio::spawn(election::campaign(node.clone()));
}

async fn serve(
    node: &Arc<Node>,
    public_listener: TcpListener,
    internal_listener: TcpListener,
) -> Result<(), RunError> {
    let connection_idle_timeout = idle_timeout(&node.settings);
    let public_limit = connection_limit(&node.settings, PUBLIC_CONNECTION_PERCENT);
    let internal_limit = connection_limit(&node.settings, INTERNAL_CONNECTION_PERCENT);
    let public = axum::serve(
        LimitedListener::new(
            public_listener,
            public_limit.clone(),
            connection_idle_timeout,
        ),
        api::public_router(node.clone(), public_limit),
    );
    let internal = axum::serve(
        LimitedListener::new(internal_listener, internal_limit, connection_idle_timeout),
        api::internal_router(node.clone()),
    );
    tokio::try_join!(public.into_future(), internal.into_future())
        .map(|_| ())
        .map_err(RunError::Server)
}

/// Returns the time without received bytes after which a connection is closed.
fn idle_timeout(settings: &Settings) -> Duration {
    settings.platform.settings.workers.heartbeat_interval() * IDLE_HEARTBEAT_INTERVALS
}

/// Returns a connection limit of this percentage of the process's sockets.
fn connection_limit(settings: &Settings, percent: usize) -> ConnectionLimit {
    let sockets = settings.platform.settings.resources.max_connections;
    ConnectionLimit::new(sockets * percent / 100)
}
