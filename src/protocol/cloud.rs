//! Messages of the cloud's HTTP interface: machine types, rentals (scale-out), deletions and the
//! list of rented machines.

use serde::{Deserialize, Serialize};

/// A machine type that the cloud rents out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name.
    #[serde(rename = "Name")]
    pub name: String,
    /// Cores of one machine.
    #[serde(rename = "Cores")]
    pub cores: f64,
    /// Accelerators of one machine.
    #[serde(rename = "Accelerators", default)]
    pub accelerators: f64,
    /// Memory of one machine, in GB.
    #[serde(rename = "MemGb")]
    pub mem_gb: f64,
    /// Space for cached images on one machine, in GB.
    #[serde(rename = "CacheGb", default)]
    pub cache_gb: f64,
    /// Rate at which one machine fetches images, in GB per second.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "Price")]
    pub price: f64,
    /// Price per hour of a spot machine; `None` if the cloud rents no spot machines of this type.
    #[serde(rename = "LowPrice", default)]
    pub spot_price: Option<f64>,
    /// Time that a machine usually takes to start, in seconds.
    #[serde(rename = "StartupS", default)]
    pub startup_s: f64,
    /// The zones in which the cloud rents machines of this type.
    #[serde(rename = "Halls")]
    pub zones: Vec<String>,
}

/// The answer to `/machine_types`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All machine types.
    #[serde(rename = "Instruments")]
    pub types: Vec<MachineType>,
}

/// A scale-out request: rents machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// The idempotency key of the request. Sending a request again with the same key rents no more
    /// machines, and a key is never reused for another request.
    #[serde(rename = "Booking")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "Instrument")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "Hall")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "Borrowed")]
    pub spot: bool,
    /// Maximum number of machines to rent.
    #[serde(rename = "Count")]
    pub count: u32,
}

/// A list of machines by name: the answer to a rental, and the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names of the machines.
    #[serde(rename = "Stands")]
    pub machines: Vec<String>,
}

/// A machine's state in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine is not up yet.
    Starting,
    /// The machine is up.
    Running,
    /// The machine stopped without having been deleted.
    Failed,
    /// A state that this version doesn't know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "NameId")]
    pub id: String,
    /// The address of its worker.
    #[serde(rename = "Addr", default)]
    pub addr: String,
    /// Its type.
    #[serde(rename = "Instrument")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "Hall")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "Borrowed")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "Stage")]
    pub state: MachineState,
    /// Time since its rental was requested, in seconds.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines on this page.
    #[serde(rename = "Stands")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "HasNext", default)]
    pub has_more: bool,
}
