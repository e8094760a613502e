//! Estimates of when booting machines become ready, and which of them are overdue.
//!
//! Combines the usual boot time of each machine type with the slowness that `boot_times` observed.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::boot_times::{BootPool, OverdueBoot};
use super::machine_kind::usual_boot_time;
use super::view::AutoscalerView;
use crate::coordination::shard::Machine;
use crate::protocol::cloud::MachineType;

/// A machine is overdue once its age exceeds this multiple of the usual boot time plus
/// [`BOOT_OVERDUE_MARGIN`].
const OVERDUE_BOOT_FACTOR: f64 = 2.0;
const BOOT_OVERDUE_MARGIN: Duration = Duration::from_secs(3);

/// Multiple of the usual boot time that many boots take.
pub(super) const BOOT_MARGIN_FACTOR: f64 = 1.2;

/// Whether a machine that has not booted at this age is overdue.
fn is_overdue(age: Duration, usual: Duration) -> bool {
    age > usual.mul_f64(OVERDUE_BOOT_FACTOR) + BOOT_OVERDUE_MARGIN
}

impl AutoscalerView<'_> {
    /// How many times longer than usual the boot of this machine is expected to take.
    fn boot_slowness(&self, machine: &Machine, now: Instant) -> f64 {
        self.autoscaler
            .boot_slowness(&machine.machine_type, &machine.zone, now)
    }

    /// The factor by which the usual wait for a booting machine is extended.
    pub(super) fn boot_wait_factor(&self, machine: &Machine, now: Instant) -> f64 {
        let boots = &self.autoscaler.boot_times;
        boots.wait_factor(&machine.machine_type, &machine.zone, now)
    }

    /// Seconds until a machine rented now has booted: the usual boot time with a margin, times the
    /// recent slowness of its machine type in the zone.
    pub(super) fn expected_boot_s(
        &self,
        machine_type: &MachineType,
        zone: &str,
        now: Instant,
    ) -> f64 {
        let slowness = self.autoscaler.boot_slowness(&machine_type.name, zone, now);
        usual_boot_time(machine_type).as_secs_f64() * BOOT_MARGIN_FACTOR * slowness
    }

    /// The shortest usual boot time of all machine types, without recent slowness.
    pub(super) fn shortest_usual_boot(&self) -> Duration {
        self.machine_types
            .values()
            .map(|machine_type| usual_boot_time(machine_type))
            .min()
            .unwrap_or_default()
    }

    /// Whether machines of the same type in the same zone are expected to take more than
    /// [`OVERDUE_BOOT_FACTOR`] times the usual boot time.
    pub(super) fn is_boot_pool_slow(&self, machine: &Machine, now: Instant) -> bool {
        self.boot_slowness(machine, now) > OVERDUE_BOOT_FACTOR
    }

    /// Whether the plan still counts on a booting machine. Overdue machines are not counted, with
    /// one exception: if boots are slow for the whole type in the zone, half of the overdue
    /// machines (by the last byte of their id) still count. Even if the replacements become
    /// overdue too and are replaced in turn, the replacements are then together at most as many as
    /// the machines that were overdue first.
    pub(super) fn may_still_boot(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        now: Instant,
    ) -> bool {
        let age = now.saturating_duration_since(machine.rented);
        let usual = usual_boot_time(machine_type).mul_f64(self.boot_wait_factor(machine, now));
        if !is_overdue(age, usual) {
            return true;
        }
        let last_byte = machine.id.bytes().last();
        self.is_boot_pool_slow(machine, now) && last_byte.is_some_and(|byte| byte % 2 == 0)
    }

    /// The machines whose boot is overdue. Machines in an unreachable zone are left out, because
    /// they may have booted without this controller noticing.
    pub(super) fn overdue_boots(
        &self,
        unreachable_zones: &HashSet<Arc<str>>,
        now: Instant,
    ) -> Vec<OverdueBoot> {
        self.machines
            .values()
            .filter(|machine| machine.is_booting() && !self.is_excluded_from_plans(machine))
            .filter(|machine| !unreachable_zones.contains(&machine.zone))
            .filter_map(|machine| self.overdue_boot(machine, now))
            .collect()
    }

    /// Describes a booting machine as overdue; None if it is not overdue or its type is unknown.
    fn overdue_boot(&self, machine: &Machine, now: Instant) -> Option<OverdueBoot> {
        let usual = usual_boot_time(self.machine_types.get(&*machine.machine_type)?);
        let age = now.saturating_duration_since(machine.rented);
        is_overdue(age, usual).then(|| OverdueBoot {
            pool: BootPool::from(machine),
            rented: machine.rented,
            ratio: age.as_secs_f64() / usual.as_secs_f64().max(1.0),
        })
    }
}
