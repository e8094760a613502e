//! The cloud's interface.

use serde::{Deserialize, Serialize};

/// A machine type that can be rented.
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
    /// Room for images, in GB.
    #[serde(rename = "CacheGb", default)]
    pub cache_gb: f64,
    /// How fast images are fetched.
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour of an ordinary machine.
    #[serde(rename = "Price")]
    pub price: f64,
    /// Price an hour of a spot machine, if there are any.
    #[serde(rename = "LowPrice", default)]
    pub spot_price: Option<f64>,
    /// Seconds until a machine is usually up.
    #[serde(rename = "StartupS", default)]
    pub startup_s: f64,
    /// The zones that have machines of it.
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

/// A rental request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// The request's name, which is never used again.
    #[serde(rename = "Booking")]
    pub request: String,
    /// The machine type.
    #[serde(rename = "Instrument")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "Hall")]
    pub zone: String,
    /// Whether spot machines are asked for.
    #[serde(rename = "Borrowed")]
    pub spot: bool,
    /// How many machines, at most.
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

/// A machine's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is not up yet.
    Starting,
    /// It is up.
    Running,
    /// It stopped by itself.
    Failed,
    /// A state that this version doesn't know.
    #[serde(other)]
    Other,
}

/// One entry of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listed {
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
    /// How it is.
    #[serde(rename = "Stage")]
    pub state: ListedState,
    /// Seconds since its rental was requested.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListPage {
    /// The machines on this page.
    #[serde(rename = "Stands")]
    pub machines: Vec<Listed>,
    /// Whether more follow.
    #[serde(rename = "HasNext", default)]
    pub more: bool,
}
