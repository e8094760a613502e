//! Which machines scale-in could release, and at what point keeping them costs extra.
//!
//! The scheduler uses this to keep batch tasks and services off machines that could be deleted.

use std::time::Instant;

use super::machine_kind::MIN_BILLED_TIME;
use crate::coordination::shard::{Machine, Policy};

/// Whether a service may exist on a machine.
pub(in crate::coordination::shard) fn hosts_services(machine: &Machine) -> bool {
    machine.load.services().next().is_some()
}

/// Whether scale-in can release an on-demand machine once its batch tasks have ended: neither a
/// service nor reserved quota keeps the machine.
pub(in crate::coordination::shard) fn is_releasable(machine: &Machine, policy: &Policy) -> bool {
    !machine.spot && !policy.holds_capacity_for_quota() && !hosts_services(machine)
}

/// Whether a machine is releasable and past the first half of its minimum billed time, which is
/// paid in any case. Tasks that can wait for spot machines are not placed on such a machine, so
/// that it becomes empty and can be deleted.
pub(in crate::coordination::shard) fn costs_extra(
    machine: &Machine,
    policy: &Policy,
    now: Instant,
) -> bool {
    let is_within_minimum_charge =
        now.saturating_duration_since(machine.rented) < MIN_BILLED_TIME / 2;
    !is_within_minimum_charge && is_releasable(machine, policy)
}
