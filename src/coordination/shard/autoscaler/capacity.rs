//! Capacity that a plan counts on: machines that have booted, are booting or are requested.
//!
//! Each plan begins with [`AutoscalerView::capacities`]; it then reserves resources and assumes
//! preemptions on the [`Capacity`] values only, never on the machines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::release::costs_extra;
use super::view::AutoscalerView;
use crate::coordination::shard::Machine;
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::scheduler::is_machine_allowed;
use crate::protocol::MachineId;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// How soon a machine can run tasks. Plans fill machines in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// The machine has booted and runs tasks.
    Busy,
    /// The machine has booted and runs no tasks.
    Idle,
    /// The machine is rented or requested, and has not booted.
    Booting,
    /// The machine is being drained.
    Draining,
}

/// The resources of one machine, less what the plan has reserved on it.
pub(super) struct Capacity {
    /// The machine's id; None for a machine that is only requested or planned.
    pub machine: Option<MachineId>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub free: Resources,
    /// Batch tasks on the machine, lowest priority first.
    preemptible_tasks: Vec<PreemptibleTasks>,
    /// Whether the machine is an on-demand machine that only batch work keeps. Work that can wait
    /// for spot machines is not planned on it.
    pub costs_extra: bool,
    /// Whether the plan needs the machine, so that it is neither drained nor deleted.
    pub is_used: bool,
    pub readiness: Readiness,
    /// Expected seconds until the machine has booted, by its usual and the recent boot times.
    pub ready_in_s: f64,
    /// Whether the machine is booting, and machines of its type in its zone boot much later than
    /// usual.
    pub is_boot_pool_slow: bool,
}

/// Tasks of one job on a machine that a job of higher priority may preempt.
struct PreemptibleTasks {
    spec: Arc<JobSpec>,
    count: u32,
}

impl Capacity {
    /// Creates the capacity of an empty machine that is requested or will be.
    pub(super) fn for_new_machine(
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        ready_in_s: f64,
    ) -> Self {
        Self {
            machine: None,
            machine_type: machine_type.name.as_str().into(),
            zone: zone.into(),
            spot,
            free: Resources::of_machine_type(machine_type),
            preemptible_tasks: Vec::new(),
            costs_extra: !spot,
            is_used: false,
            readiness: Readiness::Booting,
            ready_in_s,
            is_boot_pool_slow: false,
        }
    }

    /// Whether the machine has booted and is not being drained.
    pub(super) fn is_in_service(&self) -> bool {
        self.readiness < Readiness::Booting
    }

    /// Whether a job's placement constraints allow the machine's type, zone and pricing.
    pub(super) fn is_allowed_for(&self, spec: &JobSpec) -> bool {
        is_machine_allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Whether a task of a job may fit on the machine, possibly after preemption.
    pub(super) fn may_fit_task(&self, spec: &JobSpec) -> bool {
        let is_preemptible = |tasks: &PreemptibleTasks| tasks.spec.priority < spec.priority;
        self.free.fits_task(spec) || self.preemptible_tasks.first().is_some_and(is_preemptible)
    }

    /// Frees the resources of lower-priority tasks, lowest priority first, until `tasks` tasks of a
    /// job fit or no such task is left. Nothing is preempted on the machine itself.
    pub(super) fn assume_preemption(&mut self, spec: &JobSpec, tasks: u32) {
        while self.free.fitting_tasks(spec) < tasks {
            match self.preemptible_tasks.first_mut() {
                Some(lowest) if lowest.spec.priority < spec.priority => {
                    self.free.add_task(&lowest.spec);
                    lowest.count -= 1;
                    if lowest.count == 0 {
                        self.preemptible_tasks.remove(0);
                    }
                }
                _ => break,
            }
        }
    }

    /// Subtracts the resources of `tasks` tasks of a job from the free resources.
    pub(super) fn reserve(&mut self, spec: &JobSpec, tasks: u32) {
        for _ in 0..tasks {
            self.free.subtract_task(spec);
        }
    }

    /// Cores that a job's tasks can use on the machine: those that are free now, and those that
    /// become free when batch tasks of the same or a lower priority end.
    fn obtainable_cores(&self, spec: &JobSpec) -> f64 {
        let running: f64 = self
            .preemptible_tasks
            .iter()
            .filter(|tasks| tasks.spec.priority <= spec.priority)
            .map(|tasks| tasks.spec.cores * f64::from(tasks.count))
            .sum();
        self.free.cores.max(0.0) + running
    }
}

impl AutoscalerView<'_> {
    /// The capacities of all machines that can be counted on, ordered by readiness, then by free
    /// cores with the fullest machine first.
    pub(super) fn capacities(&self, now: Instant) -> Vec<Capacity> {
        let machines = self.machines.values();
        let mut capacities: Vec<Capacity> = machines
            .filter_map(|machine| self.capacity_of(machine, now))
            .collect();
        self.add_pending_rentals(&mut capacities, now);
        capacities.sort_by(|a, b| {
            a.readiness
                .cmp(&b.readiness)
                .then(a.free.cores.total_cmp(&b.free.cores))
                .then(a.machine.cmp(&b.machine))
        });
        capacities
    }

    /// Adds one capacity for each machine of the pending rentals.
    fn add_pending_rentals(&self, capacities: &mut Vec<Capacity>, now: Instant) {
        for rental in self.autoscaler.rentals.iter() {
            let Some(machine_type) = self.machine_types.get(&rental.machine_type) else {
                continue;
            };
            let ready_in_s = self.expected_boot_s(machine_type, &rental.zone, now);
            for _ in 0..rental.count {
                capacities.push(Capacity::for_new_machine(
                    machine_type,
                    &rental.zone,
                    rental.spot,
                    ready_in_s,
                ));
            }
        }
    }

    /// The capacity of a machine; None if the plan cannot count on it.
    fn capacity_of(&self, machine: &Machine, now: Instant) -> Option<Capacity> {
        let machine_type = self.machine_types.get(&*machine.machine_type)?;
        if !self.can_be_counted_on(machine, machine_type, now) {
            return None;
        }
        Some(Capacity {
            machine: Some(machine.id.clone()),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free: machine.free(machine_type),
            preemptible_tasks: preemptible_tasks(machine),
            costs_extra: costs_extra(machine, self.policy, now),
            is_used: false,
            readiness: readiness(machine),
            ready_in_s: self.ready_in_s(machine, machine_type, now),
            is_boot_pool_slow: machine.is_booting() && self.is_boot_pool_slow(machine, now),
        })
    }

    /// Whether a machine can run tasks now, or is expected to once it has booted.
    fn can_be_counted_on(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        now: Instant,
    ) -> bool {
        if self.is_excluded_from_plans(machine) {
            return false;
        }
        if machine.is_booting() {
            return self.may_still_boot(machine, machine_type, now);
        }
        machine.last_contact.is_none()
            || machine.since_last_contact(now) <= self.policy.suspect_after
    }

    /// Expected seconds until a machine has booted; 0 if it has booted.
    fn ready_in_s(&self, machine: &Machine, machine_type: &MachineType, now: Instant) -> f64 {
        if !machine.is_booting() {
            return 0.0;
        }
        let age = now.saturating_duration_since(machine.rented);
        (self.expected_boot_s(machine_type, &machine.zone, now) - age.as_secs_f64()).max(0.0)
    }

    /// Whether plans ignore a machine because it is about to be removed, or because it is booting
    /// in a partitioned zone.
    pub(super) fn is_excluded_from_plans(&self, machine: &Machine) -> bool {
        machine.is_deleting()
            || machine.health.is_cordoned()
            || machine.preemption_notice.is_some()
            || machine.is_missing_from_list
            || (machine.last_contact.is_none() && self.delegations.is_partitioned(&machine.zone))
    }

    /// For each priority that has batch jobs which accept spot machines: the cores that one of
    /// these jobs, the last by id, can obtain on machines that cost nothing extra.
    pub(super) fn low_cost_cores_by_priority(
        &self,
        capacities: &[Capacity],
    ) -> BTreeMap<Priority, f64> {
        let specs: BTreeMap<Priority, &JobSpec> = self
            .jobs
            .values()
            .filter(|job| job.spec.kind == JobKind::Batch && job.spec.spot)
            .map(|job| (job.spec.priority, &*job.spec))
            .collect();
        specs
            .into_iter()
            .map(|(priority, spec)| {
                let low_cost = capacities.iter().filter(|capacity| !capacity.costs_extra);
                (priority, obtainable_cores(spec, low_cost))
            })
            .collect()
    }
}

/// Cores that a job's tasks can use on the given machines: those that are free now, and those that
/// become free when batch tasks of the same or a lower priority end.
pub(super) fn obtainable_cores<'a>(
    spec: &JobSpec,
    capacities: impl Iterator<Item = &'a Capacity>,
) -> f64 {
    capacities
        .filter(|capacity| capacity.is_allowed_for(spec))
        .map(|capacity| capacity.obtainable_cores(spec))
        .sum()
}

fn readiness(machine: &Machine) -> Readiness {
    if machine.draining {
        Readiness::Draining
    } else if machine.is_booting() {
        Readiness::Booting
    } else if machine.load.is_idle() {
        Readiness::Idle
    } else {
        Readiness::Busy
    }
}

/// The batch tasks on a machine, lowest priority first.
fn preemptible_tasks(machine: &Machine) -> Vec<PreemptibleTasks> {
    let is_batch = |(spec, _): &&(Arc<JobSpec>, u32)| spec.kind == JobKind::Batch;
    let tasks = machine.load.tasks.iter().filter(is_batch);
    let mut tasks: Vec<PreemptibleTasks> = tasks
        .map(|(spec, count)| PreemptibleTasks {
            spec: spec.clone(),
            count: *count,
        })
        .collect();
    tasks.sort_by_key(|tasks| tasks.spec.priority);
    tasks
}
