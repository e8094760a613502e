//! The controller's process: it binds the listeners, spawns the background loops and
//! serves the routers.
//!
//! The top of the layers: nothing but the command line imports it.

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;
use tokio::net::TcpListener;
use tracing::info;

use crate::clock::SteadyClock;
use crate::coordination::leadership::election;
use crate::coordination::node::{Node, connection_places};
use crate::coordination::{executor, peering};
use crate::settings::Settings;
use crate::transport::limit::Limited;
use crate::transport::{front, internal};

/// Connections that the listener for other controllers accepts at once, in percent of
/// the process's sockets.
const INTERNAL_SHARE: usize = 5;
/// Worker heartbeat intervals without a byte read after which an accepted connection
/// is closed.
const IDLE_HEARTBEATS: u32 = 5;

/// Why the process ends.
#[derive(Debug, Error)]
pub enum RunError {
    /// An address can't be listened on.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// A server ended by itself.
    #[error("a server ended: {0}")]
    Server(std::io::Error),
}

/// Runs a controller until it is killed.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let node = Node::new(settings, Arc::new(SteadyClock));
    let platform = &node.settings.platform;
    let front_listener = listen(platform.front).await?;
    let internal_listener = listen(platform.internal_addr).await?;
    info!(
        node_id = node.node_id(),
        area = platform.area,
        front = %platform.front,
        "valegap starts"
    );
    spawn_loops(&node);
    let idle = platform.settings.workers.heartbeat_interval() * IDLE_HEARTBEATS;
    let front_listener = Limited::new(front_listener, node.front_places.clone(), idle);
    let internal_places = connection_places(&node.settings, INTERNAL_SHARE);
    let internal_listener = Limited::new(internal_listener, internal_places, idle);
    let front = axum::serve(front_listener, front::router(node.clone()));
    let internal = axum::serve(internal_listener, internal::router(node.clone()));
    tokio::try_join!(front.into_future(), internal.into_future())
        .map(|_| ())
        .map_err(RunError::Server)
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| RunError::Listen(addr, error))
}

/// Spawns the loops that last as long as the process; none of them returns, and a
/// controller is always stopped by killing it.
fn spawn_loops(node: &Arc<Node>) {
    tokio::spawn(executor::refresh_machine_types(node.clone()));
    tokio::spawn(peering::run(node.clone()));
    tokio::spawn(peering::delegation::serve_delegated_workers(node.clone()));
    tokio::spawn(election::campaign(node.clone()));
}
