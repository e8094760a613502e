//! Which machines scale-in could release.

use std::time::Instant;

use super::machine_kind::MINIMUM_BILLED;
use crate::coordination::shard::{Machine, Policy};

/// Whether some service may exist on a machine.
pub(in crate::coordination::shard) fn hosts_services(machine: &Machine) -> bool {
    machine.load.services().next().is_some()
}

/// Whether scale-in can release an on-demand machine once its batch work ends: no service and
/// no quota keeps it.
pub(in crate::coordination::shard) fn releasable(machine: &Machine, policy: &Policy) -> bool {
    !machine.spot && !policy.holds_capacity() && !hosts_services(machine)
}

/// Whether a releasable machine costs more than is paid in any case: tasks that can wait for
/// spot machines leave it, so that it can be deleted. In the first half of its minimum charge
/// it does not.
pub(in crate::coordination::shard) fn costs_extra(
    machine: &Machine,
    policy: &Policy,
    now: Instant,
) -> bool {
    let paid = now.saturating_duration_since(machine.rented) < MINIMUM_BILLED / 2;
    !paid && releasable(machine, policy)
}
