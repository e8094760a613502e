//! Access to the cloud: a client, and the loops that poll the cloud.
//!
//! This module owns the requests to the cloud and the interpretation of its answers. The
//! executor scales out and in through [`client::CloudClient`]. [`crate::server`] spawns
//! [`polling::refresh_machine_types`] once per process; the leader spawns
//! [`polling::poll_machine_list`] once per leadership. Which machines to rent or delete is
//! decided by the shard, not here.

pub mod client;
pub mod polling;
