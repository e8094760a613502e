//! What surrounds the controllers, simulated on loopback, and the controllers themselves.

pub mod cloud;
pub mod cluster;
pub mod kv;
pub mod worker;

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// Serves a simulated service on a free port.
pub async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        axum::serve(listener, router).await.expect("serving");
    });
    addr
}
