//! The cloud's interface.

use serde::{Deserialize, Serialize};

/// A machine type that can be rented.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "Name")]
    pub name: String,
    #[serde(rename = "Cores")]
    pub cores: f64,
    #[serde(rename = "Accelerators", default)]
    pub accelerators: f64,
    #[serde(rename = "MemGb")]
    pub mem_gb: f64,
    #[serde(rename = "CacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "FetchGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "Price")]
    pub price: f64,
    #[serde(rename = "LowPrice", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "StartupS", default)]
    pub startup_s: f64,
    #[serde(rename = "Halls")]
    pub zones: Vec<String>,
}

/// The answer to `/machine_types`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "Instruments")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    #[serde(rename = "Booking")]
    pub request: String,
    #[serde(rename = "Instrument")]
    pub machine_type: String,
    #[serde(rename = "Hall")]
    pub zone: String,
    #[serde(rename = "Borrowed")]
    pub spot: bool,
    #[serde(rename = "Count")]
    pub count: u32,
}

/// Machines by name: the answer to a rental, the body of a deletion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "Stands")]
    pub machines: Vec<String>,
}

/// A machine's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    Starting,
    Running,
    Failed,
    #[serde(other)]
    Other,
}

/// One entry of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listed {
    #[serde(rename = "NameId")]
    pub id: String,
    #[serde(rename = "Addr", default)]
    pub addr: String,
    #[serde(rename = "Instrument")]
    pub machine_type: String,
    #[serde(rename = "Hall")]
    pub zone: String,
    #[serde(rename = "Borrowed")]
    pub spot: bool,
    #[serde(rename = "Stage")]
    pub state: ListedState,
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// A page of the machine list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListPage {
    #[serde(rename = "Stands")]
    pub machines: Vec<Listed>,
    #[serde(rename = "HasNext", default)]
    pub more: bool,
}
