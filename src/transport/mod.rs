//! Moving bytes: servers for users, workers and peers, and the HTTP client.

pub mod client;
pub mod front;
pub mod internal;
pub mod limit;
