//! Sockets and HTTP exchanges: listeners with connection limits, and the HTTP client.
//!
//! The lowest layer: it imports no other module of this crate. The key-value store's client, the
//! controllers' coordination and the servers are built on it. It knows neither the messages that
//! it carries nor their routes.

pub mod client;
pub mod connection_limit;
