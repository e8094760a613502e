//! Moving services to other machines: off those being drained, and into the main zone.
//!
//! To move a service is to stop its attempt; the scheduler places the next one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::capacity::Capacity;
use super::release::hosts_services;
use super::view::AutoscalerView;
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::scheduler::allowed;
use crate::coordination::shard::{Attempt, Job, Machine, Phase, Shard};
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::{AttemptId, MachineId};

/// A machine that services could move to.
pub(super) struct ServiceHost<'a> {
    pub machine: &'a Machine,
    /// What is left on it for services.
    pub free: Resources,
}

impl ServiceHost<'_> {
    /// Whether it holds a service's image and has capacity for it.
    fn has_capacity(&self, spec: &JobSpec) -> bool {
        self.free.fitting_tasks(spec) > 0 && self.machine.has_image(&spec.image)
    }

    /// The same, and the service's placement constraints allow it.
    pub(super) fn can_host(&self, spec: &JobSpec) -> bool {
        let machine = self.machine;
        self.has_capacity(spec) && allowed(spec, &machine.machine_type, &machine.zone, machine.spot)
    }
}

/// A service's attempt that may exist on a machine.
pub(super) struct LiveService<'a> {
    id: &'a AttemptId,
    attempt: &'a Attempt,
    pub spec: &'a Arc<JobSpec>,
}

/// A service's attempt that is to be stopped, so that it moves.
pub(super) struct ServiceMove {
    machine: MachineId,
    attempt: AttemptId,
}

impl Shard {
    /// Stops a service that is to move. The scheduler finds its new machine as soon as the
    /// worker reports that it has ended.
    pub(super) fn stop_service(&mut self, service: &ServiceMove) {
        if let Some(attempt) = self
            .machines
            .get_mut(&service.machine)
            .and_then(|machine| machine.attempts.get_mut(&service.attempt))
        {
            attempt.want_stop(Duration::ZERO);
            self.needs_pass = true;
        }
    }
}

impl<'a> AutoscalerView<'a> {
    /// The next service of each machine being drained that fits on another machine with its
    /// image; none while services wait, and at most so many at once.
    pub(super) fn next_moves(
        &self,
        sources: &[MachineId],
        max_at_once: usize,
        capacities: &[Capacity],
    ) -> Vec<ServiceMove> {
        let waits = |job: &Job| job.spec.kind == JobKind::Service && job.waiting() > 0;
        let moving = self.machines_with_stopping_services();
        if sources.is_empty() || moving >= max_at_once || self.jobs.values().any(waits) {
            return Vec::new();
        }
        let mut hosts = self.move_targets(capacities);
        let mut moves = Vec::new();
        for machine in sources.iter().filter_map(|id| self.machines.get(id)) {
            if moving + moves.len() >= max_at_once {
                break;
            }
            moves.extend(next_move(machine, &mut hosts));
        }
        moves
    }

    fn machines_with_stopping_services(&self) -> usize {
        self.machines
            .values()
            .filter(|machine| machine.load.stopping)
            .filter(|machine| live_services(machine).any(|s| s.attempt.stop().is_some()))
            .count()
    }

    /// The machines with what is free on them now.
    fn move_targets(&self, capacities: &[Capacity]) -> Vec<ServiceHost<'a>> {
        capacities
            .iter()
            .filter(|capacity| capacity.is_up())
            .filter_map(|capacity| {
                let machine = self.machines.get(capacity.machine.as_ref()?)?;
                let kind = self.machine_types.get(&*machine.machine_type)?;
                let free = machine.free(kind);
                (!machine.draining).then_some(ServiceHost { machine, free })
            })
            .collect()
    }

    /// A service of one task that can move to the main zone, where a controller reaches it whatever
    /// zones are partitioned, if a machine with its image has capacity there. One at a time.
    pub(super) fn next_move_to_main_zone(&self, capacities: &[Capacity]) -> Option<ServiceMove> {
        let main_zone = self.main_zone?;
        let starts_or_stops =
            |s: LiveService| s.attempt.stop().is_some() || s.attempt.phase != Phase::Running;
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

    /// A service of one task on a machine that fits on another machine in a zone.
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
                    && self.is_up_with_image(capacity, &spec.image)
            })
        };
        let service = live_services(machine).find(|s| s.spec.tasks == 1 && fits_in_zone(s.spec))?;
        Some(ServiceMove {
            machine: machine.id.clone(),
            attempt: service.id.clone(),
        })
    }

    fn is_up_with_image(&self, capacity: &Capacity, image: &str) -> bool {
        capacity.is_up()
            && capacity
                .machine
                .as_ref()
                .and_then(|id| self.machines.get(id))
                .is_some_and(|m| m.has_image(image) && !m.draining)
    }

    /// What a machine has beside its services, since batch work on it ends; None if that is
    /// not known.
    pub(super) fn free_beside_services(&self, machine: &Machine) -> Option<Resources> {
        if machine.load.unknown > 0 {
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

    /// What batch work must leave free on each machine for the services of those being
    /// drained. They are reserved on the machines with the least left beside services first.
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
                .find(|host| host.has_capacity(service.spec));
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

    /// The machines with services that are not being drained, those with the fewest cores
    /// beside services first.
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

/// The first service of a machine that fits on a host, where its capacity is reserved.
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

/// The services that may exist on a machine.
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
