//! Settings for the controllers of tests, in the format of the settings file that the platform
//! gives to each controller. The `trial` and `upgrade` tests include this module.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// The address of the cloud and the key-value store in tests that have none: nothing listens there.
const UNREACHABLE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Another controller of the cluster, as the settings of a controller list it.
#[derive(Clone)]
pub(crate) struct Peer {
    pub node_id: String,
    pub internal_address: SocketAddr,
}

/// The settings that differ between tests. With the defaults, a controller has no peers, listens on
/// free ports, and reaches neither a cloud nor a key-value store.
#[derive(Clone)]
pub(crate) struct ControllerSettings {
    pub node_id: String,
    /// Where the controller serves its user API and workers' heartbeats.
    pub public_address: SocketAddr,
    /// Where the controller serves its peers and the operators.
    pub internal_address: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddr,
    pub kv: SocketAddr,
    pub heartbeat_interval_s: f64,
    pub worker_lease_s: f64,
    /// How long tasks of a cancelled job may run after the cancellation was confirmed.
    pub max_cancellation_s: f64,
    pub clock_skew_ms: f64,
    /// The most cores that the team `red` may use; 0 is no limit.
    pub max_cores: u32,
    /// The most accelerators that the team `red` may use; 0 is no limit.
    pub max_accelerators: u32,
}

impl ControllerSettings {
    /// The default settings of a controller with this node id.
    pub(crate) fn new(node_id: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            node_id: node_id.to_owned(),
            public_address: any_port,
            internal_address: any_port,
            peers: Vec::new(),
            cloud: UNREACHABLE,
            kv: UNREACHABLE,
            heartbeat_interval_s: 0.5,
            worker_lease_s: 10.0,
            max_cancellation_s: 20.0,
            clock_skew_ms: 0.0,
            max_cores: 0,
            max_accelerators: 0,
        }
    }

    /// The content of the settings file.
    pub(crate) fn to_json(&self) -> Value {
        let peer = |peer: &Peer| {
            json!({ "label": peer.node_id, "area": "north",
                "address": peer.internal_address })
        };
        json!({
            "label": self.node_id, "area": "north", "front": self.public_address,
            "internal_addr": self.internal_address,
            "others": self.peers.iter().map(peer).collect::<Vec<_>>(),
            "services": { "cloud": self.cloud, "state": self.kv },
            "settings": {
                "zones": ["north"],
                "teams": [{ "name": "red", "cpus": 0, "cpus_max": self.max_cores,
                    "gpus": 0, "gpus_max": self.max_accelerators }],
                "objectives": [],
                "workers": { "report_s": self.heartbeat_interval_s,
                    "lease_s": self.worker_lease_s, "cancel_s": self.max_cancellation_s },
                "state": { "rps": 1000, "write_rps": 500, "value_kb": 16, "txn_ops": 16 },
                "cloud": { "rps": 100, "list_lag_s": 0.5 },
                "resources": { "cpu": 1.0, "ram_mb": 200, "max_connections": 1000 },
                "skew_ms": self.clock_skew_ms,
            },
        })
    }
}
