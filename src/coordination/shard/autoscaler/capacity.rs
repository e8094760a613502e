//! Room for tasks that the plan counts on: on machines that are up, coming or asked for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crate::coordination::shard::machines::Amounts;
use crate::coordination::shard::scheduler::allowed;
use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec, Priority};

/// How soon the room of a machine can be used. The order is that in which the plan
/// fills machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// It is up and runs tasks.
    Busy,
    /// It is up and runs none.
    Idle,
    /// It is rented or asked for, and not up yet.
    Coming,
    /// It is being emptied.
    Draining,
}

/// Room that is there or will be.
pub(super) struct Capacity {
    /// None if it has no name yet.
    pub machine: Option<MachineId>,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub free: Amounts,
    /// Batch tasks on it, lowest priority first.
    preemptible: Vec<Preemptible>,
    /// Kept for batch work alone, at the full price.
    pub costly: bool,
    /// The plan needs it.
    pub used: bool,
    pub readiness: Readiness,
    /// Seconds until its machine is up, if it takes as long as it often does.
    pub ready_in_s: f64,
    /// Machines of its kind come much later than usual.
    pub late: bool,
}

/// Tasks of one job that run on a machine and give way to higher priorities.
struct Preemptible {
    spec: Arc<JobSpec>,
    count: u32,
}

impl Capacity {
    /// A machine that is asked for, or will be.
    pub(super) fn to_come(kind: &MachineType, zone: &str, spot: bool, ready_in_s: f64) -> Self {
        Self {
            machine: None,
            machine_type: kind.name.as_str().into(),
            zone: zone.into(),
            spot,
            free: Amounts::of_type(kind),
            preemptible: Vec::new(),
            costly: !spot,
            used: false,
            readiness: Readiness::Coming,
            ready_in_s,
            late: false,
        }
    }

    /// Whether its machine is up and not being emptied.
    pub(super) fn is_up(&self) -> bool {
        self.readiness < Readiness::Coming
    }

    /// Whether a task fits as it is or if something gives way.
    pub(super) fn could_hold(&self, spec: &JobSpec) -> bool {
        let gives_way = |tasks: &Preemptible| tasks.spec.priority < spec.priority;
        self.free.holds(spec) || self.preemptible.first().is_some_and(gives_way)
    }

    /// Counts what gives way as free, as far as some tasks of a job need it.
    pub(super) fn make_room(&mut self, spec: &JobSpec, tasks: u32) {
        while self.free.fits(spec) < tasks {
            match self.preemptible.first_mut() {
                Some(lowest) if lowest.spec.priority < spec.priority => {
                    self.free.give(&lowest.spec);
                    lowest.count -= 1;
                    if lowest.count == 0 {
                        self.preemptible.remove(0);
                    }
                }
                _ => break,
            }
        }
    }

    /// Takes the room of so many tasks.
    pub(super) fn take(&mut self, spec: &JobSpec, tasks: u32) {
        for _ in 0..tasks {
            self.free.take(spec);
        }
    }

    /// Cores that a job's tasks can have here, now or when what runs here without a
    /// higher priority has ended.
    fn cores_for(&self, spec: &JobSpec) -> f64 {
        let running: f64 = self
            .preemptible
            .iter()
            .filter(|tasks| tasks.spec.priority <= spec.priority)
            .map(|tasks| tasks.spec.cores * f64::from(tasks.count))
            .sum();
        self.free.cores.max(0.0) + running
    }
}

impl Shard {
    /// The room on all machines that can be counted on, the fullest first.
    pub(super) fn capacities(&self, now: Instant) -> Vec<Capacity> {
        let machines = self.machines.values();
        let mut capacities: Vec<Capacity> = machines
            .filter_map(|machine| self.capacity_of(machine, now))
            .collect();
        for rental in self.autoscaler.rentals.iter() {
            let Some(kind) = self.types.get(&rental.machine_type) else {
                continue;
            };
            let ready_in_s = self.expected_boot_s(kind, &rental.zone, now);
            for _ in 0..rental.count {
                capacities.push(Capacity::to_come(
                    kind,
                    &rental.zone,
                    rental.spot,
                    ready_in_s,
                ));
            }
        }
        capacities.sort_by(|a, b| {
            a.readiness
                .cmp(&b.readiness)
                .then(a.free.cores.total_cmp(&b.free.cores))
                .then(a.machine.cmp(&b.machine))
        });
        capacities
    }

    /// The room on a machine; None if it can't be counted on.
    fn capacity_of(&self, machine: &Machine, now: Instant) -> Option<Capacity> {
        let kind = self.types.get(&*machine.machine_type)?;
        if self.is_leaving(machine) {
            return None;
        }
        let coming = machine.is_booting();
        if coming {
            if !self.may_still_boot(machine, kind, now) {
                return None;
            }
        } else if machine.last_contact.is_some()
            && machine.since_last_contact(now) > self.policy.suspect_after
        {
            return None;
        }
        let ready_in_s = if coming {
            let age = now.saturating_duration_since(machine.rented);
            (self.expected_boot_s(kind, &machine.zone, now) - age.as_secs_f64()).max(0.0)
        } else {
            0.0
        };
        let readiness = match (coming, machine.load.idle()) {
            _ if machine.draining => Readiness::Draining,
            (true, _) => Readiness::Coming,
            (false, true) => Readiness::Idle,
            (false, false) => Readiness::Busy,
        };
        Some(Capacity {
            machine: Some(machine.id.clone()),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free: machine.free(kind),
            preemptible: preemptible(machine),
            costly: self.costly(machine, now),
            used: false,
            readiness,
            ready_in_s,
            late: coming && self.boots_late(machine, now),
        })
    }

    /// Whether a machine is on its way out, or can't be reached.
    pub(super) fn is_leaving(&self, machine: &Machine) -> bool {
        machine.deleting
            || machine.cordoned
            || machine.preemption_notice.is_some()
            || machine.vanished
            || (machine.last_contact.is_none() && self.delegations.is_partitioned(&machine.zone))
    }

    /// Takes the room of the moment into the averages.
    pub(super) fn note_cores(&mut self, capacities: &[Capacity]) {
        let specs: BTreeMap<Priority, Arc<JobSpec>> = self
            .jobs
            .values()
            .filter(|job| job.spec.kind == JobKind::Batch && job.spec.spot)
            .map(|job| (job.spec.priority, job.spec.clone()))
            .collect();
        for (priority, spec) in specs {
            let cheap = capacities.iter().filter(|capacity| !capacity.costly);
            let cores = cores_for(&spec, cheap);
            self.autoscaler.record_reachable_cores(priority, cores);
        }
    }
}

/// Cores that a job's tasks can have here, now or when what runs there without a
/// higher priority has ended.
pub(super) fn cores_for<'a>(spec: &JobSpec, capacities: impl Iterator<Item = &'a Capacity>) -> f64 {
    capacities
        .filter(|at| allowed(spec, &at.machine_type, &at.zone, at.spot))
        .map(|at| at.cores_for(spec))
        .sum()
}

/// The batch tasks on a machine, lowest priority first.
fn preemptible(machine: &Machine) -> Vec<Preemptible> {
    let batch = |(spec, _): &&(Arc<JobSpec>, u32)| spec.kind == JobKind::Batch;
    let tasks = machine.load.tasks.iter().filter(batch);
    let mut tasks: Vec<Preemptible> = tasks
        .map(|(spec, count)| Preemptible {
            spec: spec.clone(),
            count: *count,
        })
        .collect();
    tasks.sort_by_key(|tasks| tasks.spec.priority);
    tasks
}
