//! The cloud's interface: a client, and the loops that poll the cloud.
//!
//! Owns the requests to the cloud and the meaning of its answers. The executor scales
//! out and in through [`client::CloudClient`]; the controller's process spawns
//! [`polling::refresh_machine_types`], and each leadership
//! [`polling::watch_machine_list`]. It never decides what to rent or to delete.

pub mod client;
pub mod polling;
