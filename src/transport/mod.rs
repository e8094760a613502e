//! HTTP transport: a listener with a connection limit, and the HTTP client.
//!
//! This is the lowest layer, which imports no other module of this crate. The client of the
//! key-value store, the coordination layer and the servers use it. It is independent of the
//! messages that it carries and of their routes.

pub mod client;
pub mod connection_limit;
