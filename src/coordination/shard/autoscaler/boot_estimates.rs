//! When machines are expected to have booted, and which are overdue.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::boot_times::{BootPool, OverdueBoot};
use super::machine_kind::usual_boot;
use super::view::AutoscalerView;
use crate::coordination::shard::Machine;
use crate::protocol::cloud::MachineType;

/// Multiple of the usual boot time after which a machine is overdue; the margin is added.
const OVERDUE_BOOTS: f64 = 2.0;
const BOOT_OVERDUE_MARGIN: Duration = Duration::from_secs(3);

/// Multiple of the usual boot time that a boot often takes.
pub(super) const BOOT_MARGIN: f64 = 1.2;

/// Whether a machine of this age should have booted.
fn is_overdue(age: Duration, usual: Duration) -> bool {
    age > usual.mul_f64(OVERDUE_BOOTS) + BOOT_OVERDUE_MARGIN
}

impl AutoscalerView<'_> {
    /// How many times longer than usual a booting machine is expected to take.
    fn boot_slowness(&self, machine: &Machine, now: Instant) -> f64 {
        self.autoscaler
            .boot_slowness(&machine.machine_type, &machine.zone, now)
    }

    /// How many times longer than usual to wait for a booting machine.
    pub(super) fn boot_wait_factor(&self, machine: &Machine, now: Instant) -> f64 {
        let boots = &self.autoscaler.boot_times;
        boots.wait_factor(&machine.machine_type, &machine.zone, now)
    }

    /// Seconds until a machine that is rented now has booted, if it takes as long as boots
    /// often do and did recently.
    pub(super) fn expected_boot_s(&self, kind: &MachineType, zone: &str, now: Instant) -> f64 {
        let slowness = self.autoscaler.boot_slowness(&kind.name, zone, now);
        usual_boot(kind).as_secs_f64() * BOOT_MARGIN * slowness
    }

    /// The shortest usual boot time of all machine types.
    pub(super) fn fastest_boot(&self) -> Duration {
        self.machine_types
            .values()
            .map(|kind| usual_boot(kind))
            .min()
            .unwrap_or_default()
    }

    /// Whether machines like this one boot much later than usual.
    pub(super) fn boots_late(&self, machine: &Machine, now: Instant) -> bool {
        self.boot_slowness(machine, now) > OVERDUE_BOOTS
    }

    /// Whether the plan still counts on a booting machine. Where all machines are late, every
    /// other overdue one counts all the same: so at most as many again are ordered.
    pub(super) fn may_still_boot(
        &self,
        machine: &Machine,
        kind: &MachineType,
        now: Instant,
    ) -> bool {
        let age = now.saturating_duration_since(machine.rented);
        let usual = usual_boot(kind).mul_f64(self.boot_wait_factor(machine, now));
        if !is_overdue(age, usual) {
            return true;
        }
        let last_digit = machine.id.bytes().last();
        self.boots_late(machine, now) && last_digit.is_some_and(|digit| digit % 2 == 0)
    }

    /// The machines that should have booted and have not. Those in an unreachable zone are
    /// left out: they may well have booted.
    pub(super) fn overdue_boots(
        &self,
        unreachable_zones: &HashSet<Arc<str>>,
        now: Instant,
    ) -> Vec<OverdueBoot> {
        self.machines
            .values()
            .filter(|machine| machine.is_booting() && !self.is_leaving(machine))
            .filter(|machine| !unreachable_zones.contains(&machine.zone))
            .filter_map(|machine| self.overdue_boot(machine, now))
            .collect()
    }

    /// A booting machine as an overdue one; None if it is not.
    fn overdue_boot(&self, machine: &Machine, now: Instant) -> Option<OverdueBoot> {
        let usual = usual_boot(self.machine_types.get(&*machine.machine_type)?);
        let age = now.saturating_duration_since(machine.rented);
        is_overdue(age, usual).then(|| OverdueBoot {
            pool: BootPool::from(machine),
            rented: machine.rented,
            ratio: age.as_secs_f64() / usual.as_secs_f64().max(1.0),
        })
    }
}
