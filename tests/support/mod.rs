//! Simulations of the services around the controllers (cloud, key-value store and workers), served
//! on loopback, a cluster of controller processes that uses them, and a proxy that injects faults.
//! Several test crates include this module, and each uses a part of it.

#![allow(dead_code, reason = "each test crate uses a part")]

pub(crate) mod cloud;
pub(crate) mod cluster;
pub(crate) mod kv;
pub(crate) mod proxy;
pub(crate) mod refusal;
pub(crate) mod worker;

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;

/// Serves the routes of a simulated service on a free port of loopback; returns the address.
pub(crate) async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        axum::serve(listener, router).await.expect("serving");
    });
    addr
}
