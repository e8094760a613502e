//! Consolidation: draining machines on which services use only part of the cores.
//!
//! The services of a machine being drained move one at a time to machines that already cache their
//! image; once the machine is empty, scale-in deletes it. Called by each plan while no machine is
//! unreconciled.

use std::time::{Duration, Instant};

use super::capacity::{Capacity, Readiness};
use super::release::hosts_services;
use super::service_moves::{ServiceHost, live_services};
use super::view::AutoscalerView;
use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::JobSpec;

/// Minimum time since rental before a machine is drained.
const MIN_DRAIN_AGE: Duration = Duration::from_secs(60);

/// A machine is drained only if its services use at most this share of its cores.
const MAX_SERVICE_CORE_SHARE: f64 = 0.6;

/// At most one machine per this many is drained at the same time, in addition to one that always
/// may be. A wider search that drained four of about thirty machines at once improved neither the
/// price nor the score.
const MACHINES_PER_DRAIN: usize = 40;

/// Number of candidates tried in addition to the number of machines that may be drained, since the
/// services of some candidates fit nowhere else.
const EXTRA_DRAIN_CANDIDATES: usize = 8;

/// A machine whose drain would save money.
struct DrainCandidate<'a> {
    machine: &'a Machine,
    cores: f64,
    /// The part of the machine's hourly price that its services do not use.
    saved_price: f64,
}

impl Shard {
    /// Moves services off the machines being drained and, if `may_start_drains`, drains further
    /// machines. Batch tasks on them end by themselves. When there is nothing to drain and capacity
    /// is held for quota, moves a service into the main zone instead. Does nothing while no task
    /// may be started, since a service that is stopped then could not start elsewhere.
    pub(super) fn consolidate(
        &mut self,
        capacities: &[Capacity],
        may_start_drains: bool,
        now: Instant,
    ) {
        if !self.may_start_tasks(now) {
            return;
        }
        let max_at_once = self.autoscaler_view().max_drained_at_once();
        let draining = self.machines.ids(|m| m.draining && !m.is_deleting());
        let mut sources: Vec<MachineId> = draining
            .iter()
            .filter(|id| self.machines.get(id).is_some_and(hosts_services))
            .cloned()
            .collect();
        let had_no_sources = sources.is_empty();
        let max_new_drains = if may_start_drains {
            max_at_once.saturating_sub(draining.len())
        } else {
            0
        };
        for id in self
            .autoscaler_view()
            .machines_to_drain(capacities, max_new_drains, now)
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
        if had_no_sources
            && sources.is_empty()
            && self.policy.holds_capacity_for_quota()
            && let Some(next) = self.autoscaler_view().next_move_to_main_zone(capacities)
        {
            self.stop_service(&next);
        }
    }

    /// Ends the drain of each machine that the plan needs.
    pub(super) fn cancel_drains_of_used_machines(&mut self, capacities: &[Capacity]) {
        let used = capacities.iter().filter(|capacity| capacity.is_used);
        for id in used.filter_map(|capacity| capacity.machine.as_ref()) {
            let is_draining = |m: &Machine| m.draining && !m.is_deleting();
            if self.machines.get(id).is_some_and(is_draining)
                && let Some(machine) = self.machines.get_mut(id)
            {
                machine.draining = false;
                self.needs_pass = true;
            }
        }
    }
}

impl<'a> AutoscalerView<'a> {
    /// Most machines that are drained at the same time. If capacity is held for quota anyway,
    /// moving few services is worth more than saving one machine.
    fn max_drained_at_once(&self) -> usize {
        if self.policy.holds_capacity_for_quota() {
            1
        } else {
            1 + self.machines.len() / MACHINES_PER_DRAIN
        }
    }

    /// Up to `max_drains` machines whose drain saves most and whose services fit on other machines,
    /// without using the cores that forecast services need.
    fn machines_to_drain(
        &self,
        capacities: &[Capacity],
        max_drains: usize,
        now: Instant,
    ) -> Vec<MachineId> {
        if max_drains == 0 {
            return Vec::new();
        }
        let mut candidates: Vec<DrainCandidate> = capacities
            .iter()
            .filter(|capacity| !capacity.is_used && capacity.is_in_service())
            .filter_map(|capacity| self.drain_candidate(capacity, now))
            .collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        candidates.sort_by(|a, b| b.saved_price.total_cmp(&a.saved_price));
        let mut hosts = self.service_hosts(capacities);
        let free_cores: f64 = hosts.iter().map(|host| host.free.cores.max(0.0)).sum();
        let mut spare_cores = free_cores - self.forecast_service_cores(now);
        let mut picked = Vec::new();
        for candidate in candidates
            .into_iter()
            .take(max_drains + EXTRA_DRAIN_CANDIDATES)
        {
            if picked.len() < max_drains
                && spare_cores >= candidate.cores
                && try_reserve_hosts(candidate.machine, &mut hosts)
            {
                spare_cores -= candidate.cores;
                picked.push(candidate.machine.id.clone());
            }
        }
        picked
    }

    /// Describes a machine as a drain candidate; None if it is too new, a spot machine, empty, too
    /// full or not accepting tasks.
    fn drain_candidate(&self, capacity: &Capacity, now: Instant) -> Option<DrainCandidate<'a>> {
        let machine = self.machines.get(capacity.machine.as_ref()?)?;
        let machine_type = self.machine_types.get(&*machine.machine_type)?;
        let free = self.free_beside_services(machine)?;
        let service_core_share = 1.0 - free.cores / machine_type.cores.max(1e-9);
        let is_settled = machine.is_schedulable(now, self.policy)
            && now.saturating_duration_since(machine.rented) >= MIN_DRAIN_AGE;
        let is_eligible = is_settled
            && !machine.spot
            && !machine.load.is_idle()
            && service_core_share <= MAX_SERVICE_CORE_SHARE;
        is_eligible.then(|| DrainCandidate {
            machine,
            cores: machine_type.cores,
            saved_price: machine_type.price * (1.0 - service_core_share),
        })
    }

    /// The machines to which the services of drained machines could move, with the resources that
    /// are free for them.
    fn service_hosts(&self, capacities: &[Capacity]) -> Vec<ServiceHost<'a>> {
        capacities
            .iter()
            .filter(|capacity| capacity.readiness == Readiness::Busy)
            .filter_map(|capacity| {
                let machine = self.machines.get(capacity.machine.as_ref()?)?;
                // If capacity is held for quota, batch tasks beside services stay, so only what is
                // free now counts.
                let free = if self.policy.holds_capacity_for_quota() {
                    capacity.free
                } else {
                    self.free_beside_services(machine)?
                };
                let can_host = hosts_services(machine) && !machine.draining;
                can_host.then_some(ServiceHost { machine, free })
            })
            .collect()
    }
}

/// Reserves capacity for all services of a machine on the hosts, and removes the machine itself
/// from the hosts. If a service fits on no host, nothing is reserved and the result is false.
fn try_reserve_hosts(source: &Machine, hosts: &mut Vec<ServiceHost>) -> bool {
    let mut reserved: Vec<(usize, &JobSpec)> = Vec::new();
    for service in live_services(source) {
        let host = hosts
            .iter()
            .position(|host| host.machine.id != source.id && host.can_host(service.spec));
        let Some(host_index) = host else {
            for (host_index, spec) in reserved {
                hosts[host_index].free.add_task(spec);
            }
            return false;
        };
        hosts[host_index].free.subtract_task(service.spec);
        reserved.push((host_index, service.spec));
    }
    hosts.retain(|host| host.machine.id != source.id);
    true
}
