//! Kinds of machines that can be rented: how they are named, billed and booted.

use std::time::Duration;

use crate::coordination::shard::Machine;
use crate::protocol::cloud::{MachineType, Rental};

/// The cloud bills a machine for this long at least.
pub(super) const MINIMUM_BILLED: Duration = Duration::from_secs(60);

/// Pause before an unanswered rental or deletion is requested again.
pub(super) const CLOUD_RETRY: Duration = Duration::from_secs(1);

/// Upper bound of the boot time that is taken over from a machine type, in seconds.
const MAX_STARTUP_S: f64 = 1e6;

/// A machine type in a zone, spot or on-demand: the unit in which machines are rented.
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

/// The usual boot time of a machine type, as the cloud names it.
pub(super) fn usual_boot(kind: &MachineType) -> Duration {
    Duration::from_secs_f64(kind.startup_s.clamp(0.0, MAX_STARTUP_S))
}
