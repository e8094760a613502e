//! Kinds of machines that can be rented: how they are named, billed and booted.

use std::time::Duration;

use crate::protocol::cloud::{MachineType, Rental};

/// A machine is charged for this long at least.
pub(super) const LEAST_CHARGE: Duration = Duration::from_secs(60);

/// Pause before a rental or a deletion is tried again.
pub(super) const CLOUD_RETRY: Duration = Duration::from_secs(1);

/// Pause between two plans.
pub(super) const PLAN_EVERY: Duration = Duration::from_millis(500);

/// Machines are often up later than usual by this much.
pub(super) const BOOT_MARGIN: f64 = 1.2;

/// Longest start that is taken as meant.
const LONGEST_STARTUP_S: f64 = 1e6;

/// A machine type in a zone, spot or not.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct MachineKind {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl MachineKind {
    pub(super) fn of(rental: &Rental) -> Self {
        Self {
            machine_type: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        }
    }
}

/// The usual time until a new machine is up.
pub(super) fn startup(kind: &MachineType) -> Duration {
    Duration::from_secs_f64(kind.startup_s.clamp(0.0, LONGEST_STARTUP_S))
}
