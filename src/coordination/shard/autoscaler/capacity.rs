//! The capacity that a plan counts on: machines that have booted, are booting or are requested.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::release::costs_extra;
use super::view::AutoscalerView;
use crate::coordination::shard::Machine;
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::scheduler::allowed;
use crate::protocol::MachineId;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// How soon a machine can be used. Plans fill machines in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// It has booted and runs tasks.
    Busy,
    /// It has booted and runs none.
    Idle,
    /// It is rented or requested, and has not booted.
    Booting,
    /// It is being drained.
    Draining,
}

/// The capacity of one machine, less what a plan has reserved.
pub(super) struct Capacity {
    /// None for a machine without a name: one that is requested or planned.
    pub machine: Option<MachineId>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub free: Resources,
    /// Batch tasks on it, lowest priority first.
    preemptible: Vec<Preemptible>,
    /// It is an on-demand machine that is kept for batch work alone.
    pub costs_extra: bool,
    /// The plan needs it.
    pub used: bool,
    pub readiness: Readiness,
    /// Seconds until it has booted, by the usual and the recent boot times.
    pub ready_in_s: f64,
    /// Machines like it boot much later than usual.
    pub boots_late: bool,
}

/// Tasks of one job on a machine, which a higher priority may preempt.
struct Preemptible {
    spec: Arc<JobSpec>,
    count: u32,
}

impl Capacity {
    /// The capacity of a machine that is requested, or will be.
    pub(super) fn of_new(kind: &MachineType, zone: &str, spot: bool, ready_in_s: f64) -> Self {
        Self {
            machine: None,
            machine_type: kind.name.as_str().into(),
            zone: zone.into(),
            spot,
            free: Resources::of_machine_type(kind),
            preemptible: Vec::new(),
            costs_extra: !spot,
            used: false,
            readiness: Readiness::Booting,
            ready_in_s,
            boots_late: false,
        }
    }

    /// Whether its machine has booted and is not being drained.
    pub(super) fn is_up(&self) -> bool {
        self.readiness < Readiness::Booting
    }

    /// Whether a job's placement constraints allow its machine.
    pub(super) fn is_allowed_for(&self, spec: &JobSpec) -> bool {
        allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Whether a task may fit, as it is or if something is preempted.
    pub(super) fn may_hold(&self, spec: &JobSpec) -> bool {
        let is_preemptible = |tasks: &Preemptible| tasks.spec.priority < spec.priority;
        self.free.fits_task(spec) || self.preemptible.first().is_some_and(is_preemptible)
    }

    /// Counts lower-priority tasks as preempted, as far as so many tasks of a job need it.
    pub(super) fn preempt_for(&mut self, spec: &JobSpec, tasks: u32) {
        while self.free.fitting_tasks(spec) < tasks {
            match self.preemptible.first_mut() {
                Some(lowest) if lowest.spec.priority < spec.priority => {
                    self.free.add_task(&lowest.spec);
                    lowest.count -= 1;
                    if lowest.count == 0 {
                        self.preemptible.remove(0);
                    }
                }
                _ => break,
            }
        }
    }

    /// Reserves what so many tasks need.
    pub(super) fn reserve(&mut self, spec: &JobSpec, tasks: u32) {
        for _ in 0..tasks {
            self.free.subtract_task(spec);
        }
    }

    /// Cores that a job's tasks can have here, now or once the tasks here that have no higher
    /// priority have ended.
    fn reachable_cores(&self, spec: &JobSpec) -> f64 {
        let running: f64 = self
            .preemptible
            .iter()
            .filter(|tasks| tasks.spec.priority <= spec.priority)
            .map(|tasks| tasks.spec.cores * f64::from(tasks.count))
            .sum();
        self.free.cores.max(0.0) + running
    }
}

impl AutoscalerView<'_> {
    /// The capacities of all machines that can be counted on: the soonest ready first, of
    /// these the fullest.
    pub(super) fn capacities(&self, now: Instant) -> Vec<Capacity> {
        let machines = self.machines.values();
        let mut capacities: Vec<Capacity> = machines
            .filter_map(|machine| self.capacity_of(machine, now))
            .collect();
        self.add_requested(&mut capacities, now);
        capacities.sort_by(|a, b| {
            a.readiness
                .cmp(&b.readiness)
                .then(a.free.cores.total_cmp(&b.free.cores))
                .then(a.machine.cmp(&b.machine))
        });
        capacities
    }

    /// Adds the capacities of the machines in pending rentals.
    fn add_requested(&self, capacities: &mut Vec<Capacity>, now: Instant) {
        for rental in self.autoscaler.rentals.iter() {
            let Some(kind) = self.machine_types.get(&rental.machine_type) else {
                continue;
            };
            let ready_in_s = self.expected_boot_s(kind, &rental.zone, now);
            for _ in 0..rental.count {
                capacities.push(Capacity::of_new(
                    kind,
                    &rental.zone,
                    rental.spot,
                    ready_in_s,
                ));
            }
        }
    }

    /// The capacity of a machine; None if it cannot be counted on.
    fn capacity_of(&self, machine: &Machine, now: Instant) -> Option<Capacity> {
        let kind = self.machine_types.get(&*machine.machine_type)?;
        if !self.can_be_counted_on(machine, kind, now) {
            return None;
        }
        Some(Capacity {
            machine: Some(machine.id.clone()),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free: machine.free(kind),
            preemptible: preemptible(machine),
            costs_extra: costs_extra(machine, self.policy, now),
            used: false,
            readiness: readiness(machine),
            ready_in_s: self.ready_in_s(machine, kind, now),
            boots_late: machine.is_booting() && self.boots_late(machine, now),
        })
    }

    /// Whether tasks can run on a machine now or once it has booted.
    fn can_be_counted_on(&self, machine: &Machine, kind: &MachineType, now: Instant) -> bool {
        if self.is_leaving(machine) {
            return false;
        }
        if machine.is_booting() {
            return self.may_still_boot(machine, kind, now);
        }
        machine.last_contact.is_none()
            || machine.since_last_contact(now) <= self.policy.suspect_after
    }

    /// Seconds until a machine has booted; 0 if it has.
    fn ready_in_s(&self, machine: &Machine, kind: &MachineType, now: Instant) -> f64 {
        if !machine.is_booting() {
            return 0.0;
        }
        let age = now.saturating_duration_since(machine.rented);
        (self.expected_boot_s(kind, &machine.zone, now) - age.as_secs_f64()).max(0.0)
    }

    /// Whether a machine is about to be removed, or is booting in a zone that is partitioned.
    pub(super) fn is_leaving(&self, machine: &Machine) -> bool {
        machine.is_deleting()
            || machine.health.is_cordoned()
            || machine.preemption_notice.is_some()
            || machine.vanished
            || (machine.last_contact.is_none() && self.delegations.is_partitioned(&machine.zone))
    }

    /// The cores on low-cost machines within reach of each priority that has batch work which
    /// tolerates spot machines.
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
                (priority, reachable_cores(spec, low_cost))
            })
            .collect()
    }
}

/// Cores that a job's tasks can have on some machines, now or once the tasks there that have
/// no higher priority have ended.
pub(super) fn reachable_cores<'a>(
    spec: &JobSpec,
    capacities: impl Iterator<Item = &'a Capacity>,
) -> f64 {
    capacities
        .filter(|capacity| capacity.is_allowed_for(spec))
        .map(|capacity| capacity.reachable_cores(spec))
        .sum()
}

fn readiness(machine: &Machine) -> Readiness {
    if machine.draining {
        Readiness::Draining
    } else if machine.is_booting() {
        Readiness::Booting
    } else if machine.load.idle() {
        Readiness::Idle
    } else {
        Readiness::Busy
    }
}

/// The batch tasks on a machine, lowest priority first.
fn preemptible(machine: &Machine) -> Vec<Preemptible> {
    let is_batch = |(spec, _): &&(Arc<JobSpec>, u32)| spec.kind == JobKind::Batch;
    let tasks = machine.load.tasks.iter().filter(is_batch);
    let mut tasks: Vec<Preemptible> = tasks
        .map(|(spec, count)| Preemptible {
            spec: spec.clone(),
            count: *count,
        })
        .collect();
    tasks.sort_by_key(|tasks| tasks.spec.priority);
    tasks
}
