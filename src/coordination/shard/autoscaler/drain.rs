//! Consolidation: draining little used machines. Their services move one by one to machines
//! that hold the image already; a machine that is empty then is deleted.

use std::time::{Duration, Instant};

use super::capacity::{Capacity, Readiness};
use super::release::hosts_services;
use super::service_moves::{ServiceHost, live_services};
use super::view::AutoscalerView;
use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::JobSpec;

/// A machine is drained at this age at the earliest.
const MIN_AGE: Duration = Duration::from_secs(60);

/// Share of a machine's cores that its services may use at the most if it is to be drained.
const MAX_FILL: f64 = 0.6;

/// One machine in so many is drained at once, and one at the least. With four machines in some
/// thirty, wider searches improved neither the price nor the score.
const DRAIN_ONE_IN: usize = 40;

/// Candidates that are tried beyond the number of machines that may be drained.
const EXTRA_CANDIDATES: usize = 8;

/// A machine that is worth draining.
struct DrainCandidate<'a> {
    machine: &'a Machine,
    cores: f64,
    /// The part of its price that its services do not use.
    saving: f64,
}

impl Shard {
    /// Goes on with the machines being drained and, if `pick`, drains further ones. Batch work
    /// on them ends by itself.
    pub(super) fn consolidate(&mut self, capacities: &[Capacity], pick: bool, now: Instant) {
        let max_at_once = self.autoscaler_view().max_drained_at_once();
        let draining = self.machines.ids(|m| m.draining && !m.is_deleting());
        let mut sources: Vec<MachineId> = draining
            .iter()
            .filter(|id| self.machines.get(id).is_some_and(hosts_services))
            .cloned()
            .collect();
        let had_none = sources.is_empty();
        let max_new = if pick {
            max_at_once.saturating_sub(draining.len())
        } else {
            0
        };
        for id in self
            .autoscaler_view()
            .pick_for_drain(capacities, max_new, now)
        {
            if let Some(machine) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, "machine drain started");
                machine.draining = true;
                sources.push(id);
            }
        }
        for next in self
            .autoscaler_view()
            .next_moves(&sources, max_at_once, capacities)
        {
            self.stop_service(&next);
        }
        if had_none
            && sources.is_empty()
            && self.policy.holds_capacity()
            && let Some(next) = self.autoscaler_view().next_move_to_main_zone(capacities)
        {
            self.stop_service(&next);
        }
    }

    /// Ends the drain of machines that the plan uses.
    pub(super) fn undrain_used(&mut self, capacities: &[Capacity]) {
        let used = capacities.iter().filter(|capacity| capacity.used);
        for id in used.filter_map(|capacity| capacity.machine.as_ref()) {
            let drains = |m: &Machine| m.draining && !m.is_deleting();
            if self.machines.get(id).is_some_and(drains)
                && let Some(machine) = self.machines.get_mut(id)
            {
                machine.draining = false;
                self.needs_pass = true;
            }
        }
    }
}

impl<'a> AutoscalerView<'a> {
    /// How many machines are drained at once. Where capacity is held for quota anyway, moving
    /// few services is worth more than one machine less.
    fn max_drained_at_once(&self) -> usize {
        if self.policy.holds_capacity() {
            1
        } else {
            1 + self.machines.len() / DRAIN_ONE_IN
        }
    }

    /// Up to `max` machines whose drain saves most and whose services fit on other machines.
    fn pick_for_drain(&self, capacities: &[Capacity], max: usize, now: Instant) -> Vec<MachineId> {
        if max == 0 {
            return Vec::new();
        }
        let mut candidates: Vec<DrainCandidate> = capacities
            .iter()
            .filter(|capacity| !capacity.used && capacity.is_up())
            .filter_map(|capacity| self.drain_candidate(capacity, now))
            .collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        candidates.sort_by(|a, b| b.saving.total_cmp(&a.saving));
        let mut hosts = self.service_hosts(capacities);
        let free: f64 = hosts.iter().map(|host| host.free.cores.max(0.0)).sum();
        let mut spare = free - self.foreseen_service_cores(now);
        let mut picked = Vec::new();
        for candidate in candidates.into_iter().take(max + EXTRA_CANDIDATES) {
            if picked.len() < max
                && spare >= candidate.cores
                && reserve_hosts(candidate.machine, &mut hosts)
            {
                spare -= candidate.cores;
                picked.push(candidate.machine.id.clone());
            }
        }
        picked
    }

    /// A machine as a candidate to be drained; None if it is not worth it.
    fn drain_candidate(&self, capacity: &Capacity, now: Instant) -> Option<DrainCandidate<'a>> {
        let machine = self.machines.get(capacity.machine.as_ref()?)?;
        let kind = self.machine_types.get(&*machine.machine_type)?;
        let free = self.free_beside_services(machine)?;
        let fill = 1.0 - free.cores / kind.cores.max(1e-9);
        let settled = machine.open(now, self.policy)
            && now.saturating_duration_since(machine.rented) >= MIN_AGE;
        let eligible = settled && !machine.spot && !machine.load.idle() && fill <= MAX_FILL;
        eligible.then(|| DrainCandidate {
            machine,
            cores: kind.cores,
            saving: kind.price * (1.0 - fill),
        })
    }

    /// The machines that services of drained ones could move to.
    fn service_hosts(&self, capacities: &[Capacity]) -> Vec<ServiceHost<'a>> {
        capacities
            .iter()
            .filter(|capacity| capacity.readiness == Readiness::Busy)
            .filter_map(|capacity| {
                let machine = self.machines.get(capacity.machine.as_ref()?)?;
                // Where capacity is held for quota, batch work beside services stays.
                let free = if self.policy.holds_capacity() {
                    capacity.free
                } else {
                    self.free_beside_services(machine)?
                };
                let hosts = hosts_services(machine) && !machine.draining;
                hosts.then_some(ServiceHost { machine, free })
            })
            .collect()
    }
}

/// Reserves hosts for all services of a machine, which then is no host itself; false, and
/// nothing reserved, if they do not all fit.
fn reserve_hosts(source: &Machine, hosts: &mut Vec<ServiceHost>) -> bool {
    let mut reserved: Vec<(usize, &JobSpec)> = Vec::new();
    for service in live_services(source) {
        let host = hosts
            .iter()
            .position(|host| host.machine.id != source.id && host.can_host(service.spec));
        let Some(at) = host else {
            for (at, spec) in reserved {
                hosts[at].free.add_task(spec);
            }
            return false;
        };
        hosts[at].free.subtract_task(service.spec);
        reserved.push((at, service.spec));
    }
    hosts.retain(|host| host.machine.id != source.id);
    true
}
