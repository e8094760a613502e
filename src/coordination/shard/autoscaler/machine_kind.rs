//! Machine kinds, the units in which machines are rented, and constants and conversions for
//! billing, retries and boot times.

use std::time::Duration;

use crate::coordination::shard::Machine;
use crate::protocol::cloud::{MachineType, Rental};

/// Minimum charge: the cloud bills each machine for at least this long.
pub(super) const MIN_BILLED_TIME: Duration = Duration::from_secs(60);

/// Pause before a rental or deletion that the cloud did not answer is requested again.
pub(super) const CLOUD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Upper bound in seconds of the boot time that is accepted from a machine type.
const MAX_BOOT_TIME_S: f64 = 1e6;

/// A machine type in a zone, spot or on-demand. Machines are rented by kind, and the cloud runs out
/// of each kind separately.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct MachineKind {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl From<&Rental> for MachineKind {
    fn from(rental: &Rental) -> Self {
        Self {
            machine_type: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        }
    }
}

impl From<&Machine> for MachineKind {
    fn from(machine: &Machine) -> Self {
        Self {
            machine_type: machine.machine_type.to_string(),
            zone: machine.zone.to_string(),
            spot: machine.spot,
        }
    }
}

/// The usual boot time that the cloud states for a machine type.
pub(super) fn usual_boot_time(machine_type: &MachineType) -> Duration {
    Duration::from_secs_f64(machine_type.startup_s.clamp(0.0, MAX_BOOT_TIME_S))
}
