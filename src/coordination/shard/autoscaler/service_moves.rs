//! Moving services to other machines: off machines being drained, and into the main zone.
//!
//! A service is moved by stopping its attempt; the scheduler then places the next attempt. Only
//! consolidation (`drain`) moves services; the scheduler reads what is reserved for them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::capacity::Capacity;
use super::release::hosts_services;
use super::view::AutoscalerView;
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::scheduler::is_machine_allowed;
use crate::coordination::shard::{Attempt, Job, Machine, Phase, Shard};
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::{AttemptId, MachineId};

/// A machine to which services could move.
pub(super) struct ServiceHost<'a> {
    pub machine: &'a Machine,
    /// Resources that services can use on the machine.
    pub free: Resources,
}

impl ServiceHost<'_> {
    /// Whether the machine caches the service's image and has capacity for it.
    fn has_image_and_capacity(&self, spec: &JobSpec) -> bool {
        self.free.fitting_tasks(spec) > 0 && self.machine.has_image(&spec.image)
    }

    /// Whether the machine caches the service's image, has capacity for it and satisfies its
    /// placement constraints.
    pub(super) fn can_host(&self, spec: &JobSpec) -> bool {
        let machine = self.machine;
        self.has_image_and_capacity(spec)
            && is_machine_allowed(spec, &machine.machine_type, &machine.zone, machine.spot)
    }
}

/// An attempt of a service that may exist on a machine.
pub(super) struct LiveService<'a> {
    id: &'a AttemptId,
    attempt: &'a Attempt,
    pub spec: &'a Arc<JobSpec>,
}

/// An attempt of a service that is to be stopped so that the service moves.
pub(super) struct ServiceMove {
    machine: MachineId,
    attempt: AttemptId,
}

impl Shard {
    /// Stops a service so that it moves. The scheduler places it again as soon as the worker
    /// reports that the attempt has ended.
    pub(super) fn stop_service(&mut self, service: &ServiceMove) {
        if let Some(attempt) = self
            .machines
            .get_mut(&service.machine)
            .and_then(|machine| machine.attempts.get_mut(&service.attempt))
        {
            attempt.request_stop(Duration::ZERO);
            self.needs_pass = true;
        }
    }
}

impl<'a> AutoscalerView<'a> {
    /// Picks, for each machine being drained, the next service that fits on another machine which
    /// caches its image. Picks none while any service waits, and only so many that at most
    /// `max_at_once` machines have a service that is stopping.
    pub(super) fn next_moves(
        &self,
        sources: &[MachineId],
        max_at_once: usize,
        capacities: &[Capacity],
    ) -> Vec<ServiceMove> {
        let is_waiting_service = |job: &Job| job.spec.kind == JobKind::Service && job.waiting() > 0;
        let moving_machines = self.count_machines_with_stopping_services();
        if sources.is_empty()
            || moving_machines >= max_at_once
            || self.jobs.values().any(is_waiting_service)
        {
            return Vec::new();
        }
        let mut hosts = self.hosts_by_readiness(capacities);
        let mut moves = Vec::new();
        for machine in sources.iter().filter_map(|id| self.machines.get(id)) {
            if moving_machines + moves.len() >= max_at_once {
                break;
            }
            moves.extend(next_move(machine, &mut hosts));
        }
        moves
    }

    fn count_machines_with_stopping_services(&self) -> usize {
        self.machines
            .values()
            .filter(|machine| machine.load.has_stopping_attempt)
            .filter(|machine| live_services(machine).any(|s| s.attempt.stop_grace().is_some()))
            .count()
    }

    /// The machines that have booted and are not being drained, ordered by readiness, with the
    /// resources that are free on them now.
    fn hosts_by_readiness(&self, capacities: &[Capacity]) -> Vec<ServiceHost<'a>> {
        capacities
            .iter()
            .filter(|capacity| capacity.is_in_service())
            .filter_map(|capacity| {
                let machine = self.machines.get(capacity.machine.as_ref()?)?;
                let machine_type = self.machine_types.get(&*machine.machine_type)?;
                let free = machine.free(machine_type);
                (!machine.draining).then_some(ServiceHost { machine, free })
            })
            .collect()
    }

    /// A single-task service that can move to the main zone, if a machine there caches its image
    /// and has capacity. In the main zone a controller reaches the service whatever zones are
    /// partitioned. Services move there one at a time: None while any service starts or stops.
    pub(super) fn next_move_to_main_zone(&self, capacities: &[Capacity]) -> Option<ServiceMove> {
        let main_zone = self.main_zone?;
        let starts_or_stops =
            |s: LiveService| s.attempt.stop_grace().is_some() || s.attempt.phase != Phase::Running;
        if self
            .machines
            .values()
            .any(|machine| live_services(machine).any(starts_or_stops))
        {
            return None;
        }
        self.machines
            .values()
            .filter(|m| *m.zone != *main_zone && m.token_acknowledged && !m.is_deleting())
            .find_map(|machine| self.move_to_zone(machine, main_zone, capacities))
    }

    /// A single-task service on a machine that fits on another machine in a zone.
    fn move_to_zone(
        &self,
        machine: &Machine,
        zone: &str,
        capacities: &[Capacity],
    ) -> Option<ServiceMove> {
        let fits_in_zone = |spec: &JobSpec| {
            capacities.iter().any(|capacity| {
                *capacity.zone == *zone
                    && capacity.free.fitting_tasks(spec) > 0
                    && capacity.is_allowed_for(spec)
                    && self.is_in_service_with_image(capacity, &spec.image)
            })
        };
        let service = live_services(machine).find(|s| s.spec.tasks == 1 && fits_in_zone(s.spec))?;
        Some(ServiceMove {
            machine: machine.id.clone(),
            attempt: service.id.clone(),
        })
    }

    fn is_in_service_with_image(&self, capacity: &Capacity, image: &str) -> bool {
        capacity.is_in_service()
            && capacity
                .machine
                .as_ref()
                .and_then(|id| self.machines.get(id))
                .is_some_and(|m| m.has_image(image) && !m.draining)
    }

    /// Resources of a machine that its services do not use, on the assumption that its batch tasks
    /// end; None if its type or any task on it is unknown.
    pub(super) fn free_beside_services(&self, machine: &Machine) -> Option<Resources> {
        if machine.load.unknown_attempts > 0 {
            return None;
        }
        let mut free = Resources::of_machine_type(self.machine_types.get(&*machine.machine_type)?);
        for (spec, count) in machine.load.services() {
            for _ in 0..*count {
                free.subtract_task(spec);
            }
        }
        Some(free)
    }

    /// Resources that batch tasks must leave free on each machine for the services of machines
    /// being drained. They are reserved first on the machines with the fewest cores beside
    /// services.
    pub(in crate::coordination::shard) fn reserved_for_moves(
        &self,
    ) -> HashMap<MachineId, Resources> {
        let mut reserved = HashMap::new();
        let mut sources = self
            .machines
            .values()
            .filter(|m| m.draining && !m.is_deleting() && hosts_services(m))
            .peekable();
        if sources.peek().is_none() {
            return reserved;
        }
        let mut hosts = self.hosts_by_free_cores();
        for service in sources.flat_map(live_services) {
            let host = hosts
                .iter_mut()
                .find(|host| host.has_image_and_capacity(service.spec));
            if let Some(host) = host {
                host.free.subtract_task(service.spec);
                reserved
                    .entry(host.machine.id.clone())
                    .or_insert_with(Resources::default)
                    .add_task(service.spec);
            }
        }
        reserved
    }

    /// The machines with services that are not being drained, ordered by the cores that services
    /// leave free, fewest first.
    fn hosts_by_free_cores(&self) -> Vec<ServiceHost<'a>> {
        let mut hosts: Vec<ServiceHost> = self
            .machines
            .values()
            .filter(|m| !m.draining && !m.is_deleting() && hosts_services(m))
            .filter_map(|machine| {
                let free = self.free_beside_services(machine)?;
                Some(ServiceHost { machine, free })
            })
            .collect();
        hosts.sort_by(|a, b| {
            let by_cores = a.free.cores.total_cmp(&b.free.cores);
            by_cores.then(a.machine.id.cmp(&b.machine.id))
        });
        hosts
    }
}

/// The first service of a machine that fits on a host; its resources are reserved there.
fn next_move(source: &Machine, hosts: &mut [ServiceHost]) -> Option<ServiceMove> {
    live_services(source).find_map(|service| {
        let host = hosts.iter_mut().find(|host| host.can_host(service.spec))?;
        host.free.subtract_task(service.spec);
        Some(ServiceMove {
            machine: source.id.clone(),
            attempt: service.id.clone(),
        })
    })
}

/// The attempts of services that may exist on a machine.
pub(super) fn live_services(machine: &Machine) -> impl Iterator<Item = LiveService<'_>> {
    machine
        .attempts
        .iter()
        .filter(|(_, attempt)| !attempt.ended())
        .filter_map(|(id, attempt)| {
            let spec = attempt.spec.as_ref()?;
            Some(LiveService { id, attempt, spec })
        })
        .filter(|service| service.spec.kind == JobKind::Service)
}
