//! The settings of test controllers: the file that the platform would give each of them.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// An address at which nothing listens.
const NOBODY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// Another controller, as this one's settings name it.
#[derive(Clone)]
pub(crate) struct Peer {
    pub node_id: String,
    pub internal: SocketAddr,
}

/// What differs from test to test. By default a controller has no peers, listens on free
/// ports, and reaches neither a cloud nor a key-value store.
#[derive(Clone)]
pub(crate) struct ControllerSettings {
    pub node_id: String,
    pub front: SocketAddr,
    pub internal: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddr,
    pub kv: SocketAddr,
    pub worker_lease_s: f64,
    pub clock_skew_ms: f64,
    /// Quota limits of the team `red`; zero is no limit.
    pub cores_max: u32,
    pub accelerators_max: u32,
}

impl ControllerSettings {
    pub(crate) fn new(node_id: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            node_id: node_id.to_owned(),
            front: any_port,
            internal: any_port,
            peers: Vec::new(),
            cloud: NOBODY,
            kv: NOBODY,
            worker_lease_s: 10.0,
            clock_skew_ms: 0.0,
            cores_max: 0,
            accelerators_max: 0,
        }
    }

    pub(crate) fn to_json(&self) -> Value {
        let peer = |peer: &Peer| json!({ "label": peer.node_id, "area": "north", "address": peer.internal });
        json!({
            "label": self.node_id, "area": "north", "front": self.front,
            "internal_addr": self.internal,
            "others": self.peers.iter().map(peer).collect::<Vec<_>>(),
            "services": { "cloud": self.cloud, "state": self.kv },
            "settings": {
                "zones": ["north"],
                "teams": [{ "name": "red", "cpus": 0, "cpus_max": self.cores_max,
                    "gpus": 0, "gpus_max": self.accelerators_max }],
                "objectives": [],
                "workers": { "report_s": 0.5, "lease_s": self.worker_lease_s,
                    "cancel_s": self.worker_lease_s * 2.0 },
                "state": { "rps": 1000, "write_rps": 500, "value_kb": 16, "txn_ops": 16 },
                "cloud": { "rps": 100, "list_lag_s": 0.5 },
                "resources": { "cpu": 1.0, "ram_mb": 200, "max_connections": 1000 },
                "skew_ms": self.clock_skew_ms,
            },
        })
    }
}
