//! The cloud's interface: machine types, rentals (scale-out) and the list of machines.

use serde::{Deserialize, Serialize};

/// A machine type.
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
    /// Space for images of one machine, in GB.
    #[serde(rename = "CacheGb", default)]
    pub cache_gb: f64,
    /// How fast images are fetched, in GB per second.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour of an on-demand machine.
    #[serde(rename = "Price")]
    pub price: f64,
    /// Price per hour of a spot machine, if there are any.
    #[serde(rename = "LowPrice", default)]
    pub spot_price: Option<f64>,
    /// Seconds that a machine usually takes to start.
    #[serde(rename = "StartupS", default)]
    pub startup_s: f64,
    /// The zones that have machines of this type.
    #[serde(rename = "Halls")]
    pub zones: Vec<String>,
}

/// The answer to `/machine_types`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    /// All types.
    #[serde(rename = "Instruments")]
    pub types: Vec<MachineType>,
}

/// A scale-out request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// The request's name. A repeated request with the same name rents no more machines, and a
    /// name is never used again for another.
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
    /// Most machines to rent.
    #[serde(rename = "Count")]
    pub count: u32,
}

/// Machines by name: the answer to a rental, the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    /// Their names.
    #[serde(rename = "Stands")]
    pub machines: Vec<String>,
}

/// A machine's state in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// Not up yet.
    Starting,
    /// Up.
    Running,
    /// Stopped without having been deleted.
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
    /// Its worker's address.
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
    /// Seconds since its rental was requested.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachinePage {
    /// The page's machines.
    #[serde(rename = "Stands")]
    pub machines: Vec<ListedMachine>,
    /// Whether more follow.
    #[serde(rename = "HasNext", default)]
    pub more: bool,
}
