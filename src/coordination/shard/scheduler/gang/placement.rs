//! Placement of gangs: machines for all tasks at once, or reservations until there are.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::shard::scheduler::candidates::{Candidate, ImageState, SchedulingPass};
use crate::coordination::shard::scheduler::view::SchedulerView;
use crate::coordination::shard::{Job, Machine, Shard};
use crate::protocol::users::JobSpec;
use crate::protocol::{JobId, MachineId};

/// Age at which a waiting gang gets machines reserved.
const GANG_RESERVATION_DELAY: Duration = Duration::from_secs(3);

/// A zone in which a gang may be placed.
enum ZoneChoice {
    /// The gang's tasks need not be in one zone.
    Any,
    Only(Arc<str>),
}

impl ZoneChoice {
    fn includes(&self, zone: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => **only == *zone,
        }
    }
}

/// Free capacity for a gang in one zone.
#[derive(Default)]
struct ZoneCapacity {
    fitting_tasks: u32,
    free_cores: f64,
}

/// A candidate for a gang's tasks; the least is best. The fields stand in the order of their
/// weight: machines with the image, so that the tasks are ready at the same time, and few
/// machines, since losing one loses the gang.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GangCandidate {
    lacks_image: bool,
    costs_extra: bool,
    on_demand: bool,
    fitting_tasks: Reverse<u32>,
    /// Index of the candidate in the pass.
    index: usize,
}

impl Shard {
    /// Places all missing tasks of a gang, or none; returns how many.
    pub(in crate::coordination::shard::scheduler) fn place_gang(
        &mut self,
        id: &JobId,
        pass: &mut SchedulingPass,
        now: Instant,
    ) -> usize {
        let view = self.scheduler_view();
        let Some(job) = view
            .jobs
            .get(id)
            .filter(|job| view.gang_placeable(job, pass))
        else {
            return 0;
        };
        let spec = job.spec.clone();
        pass.load_image_states(&spec.image, view);
        let Some(indices) = view.gang_machines(job, job.waiting(), pass) else {
            return 0;
        };
        // Replacements join the current attempt.
        let attempt_number = match job.gang.attempt_number {
            0 => self.new_attempt_number(),
            current => current,
        };
        for index in &indices {
            let job = self.jobs.get_mut(id);
            let Some(task) = job.and_then(|job| job.next_waiting(true)) else {
                break;
            };
            pass.place_task(*index, &spec);
            let machine = pass.candidates()[*index].id.clone();
            self.launch(id, task, &machine, attempt_number, now);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.gang.attempt_number = attempt_number;
        }
        indices.len()
    }

    /// Reserves resources for a gang that could not be placed: what is free, and for the
    /// rest the emptiest machines. Smaller tasks later in the pass would otherwise take each
    /// resource as it becomes free.
    pub(in crate::coordination::shard::scheduler) fn reserve_for_gang(
        &self,
        id: &JobId,
        pass: &mut SchedulingPass,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let age = Duration::from_millis(self.wall_ms(now).saturating_sub(job.at_ms));
        if age >= GANG_RESERVATION_DELAY {
            self.scheduler_view().reserve_for_gang(job, pass);
        }
    }
}

impl SchedulerView<'_> {
    /// Whether all missing tasks of a gang may be started now.
    fn gang_placeable(&self, job: &Job, pass: &SchedulingPass) -> bool {
        let missing = job.waiting();
        let stops = |machine: &Machine| {
            machine
                .attempts_of(&job.id)
                .any(|(_, a)| a.stop_grace().is_some())
        };
        let mut hosts = job.live().values().filter_map(|id| self.machines.get(id));
        missing > 0
            && self.placeable_tasks(job) >= missing
            && !job.gang.started
            && !hosts.any(stops)
            && pass
                .usage()
                .all_within_limit(self.policy, &job.spec, missing)
    }

    /// Candidates for so many tasks of a gang, one index each; `None` if too few fit.
    fn gang_machines(&self, job: &Job, tasks: u32, pass: &SchedulingPass) -> Option<Vec<usize>> {
        let zones = self.gang_zones(job, pass);
        zones.iter().find_map(|zone| {
            let indices = self.gang_machines_in(job, tasks, zone, pass);
            (indices.len() as u32 == tasks).then_some(indices)
        })
    }

    /// The zones in which a gang's missing tasks may be placed, the best first.
    fn gang_zones(&self, job: &Job, pass: &SchedulingPass) -> Vec<ZoneChoice> {
        let spec = &job.spec;
        if !spec.one_zone {
            return vec![ZoneChoice::Any];
        }
        let constraint = self.zone_constraint(job);
        if !constraint.must_choose_zone() {
            let zones = constraint.zones_in_use().cloned();
            return zones.map(ZoneChoice::Only).collect();
        }
        let mut zones = capacity_by_zone(spec, pass.candidates());
        zones.sort_by(|(_, a), (_, b)| {
            let tasks = |zone: &ZoneCapacity| zone.fitting_tasks.min(spec.tasks);
            tasks(b)
                .cmp(&tasks(a))
                .then(b.free_cores.total_cmp(&a.free_cores))
        });
        let best_first = zones.into_iter().map(|(zone, _)| zone.clone());
        best_first.map(ZoneChoice::Only).collect()
    }

    /// Candidates in a zone for up to so many tasks of a gang, one index each.
    fn gang_machines_in(
        &self,
        job: &Job,
        tasks: u32,
        zone: &ZoneChoice,
        pass: &SchedulingPass,
    ) -> Vec<usize> {
        let mut constraint = self.zone_constraint(job);
        let mut indices = Vec::new();
        for candidate in self.ranked_gang_candidates(job, tasks, zone, pass) {
            let zone = &pass.candidates()[candidate.index].zone;
            let left = tasks - indices.len() as u32;
            let Reverse(fitting) = candidate.fitting_tasks;
            let placed = fitting.min(left).min(constraint.remaining(zone));
            constraint.add(zone, placed);
            indices.extend(std::iter::repeat_n(candidate.index, placed as usize));
        }
        indices
    }

    fn ranked_gang_candidates(
        &self,
        job: &Job,
        tasks: u32,
        zone: &ZoneChoice,
        pass: &SchedulingPass,
    ) -> Vec<GangCandidate> {
        let spec = &job.spec;
        let avoid_failed = job.failures.machine_count() < pass.candidates().len();
        let mut ranked = Vec::new();
        for (index, candidate) in pass.candidates().iter().enumerate() {
            let fitting_tasks = candidate.fitting_tasks(spec);
            let eligible = fitting_tasks > 0
                && candidate.allows(spec)
                && candidate.cost_acceptable(job)
                && zone.includes(&candidate.zone)
                && !(avoid_failed && job.failures.has_failed_on(&candidate.id))
                && !self.ran_current_attempt(job, &candidate.id);
            if eligible {
                ranked.push(GangCandidate {
                    lacks_image: pass.image_state(spec, index) == ImageState::Absent,
                    costs_extra: candidate.costs_extra,
                    on_demand: !candidate.spot,
                    fitting_tasks: Reverse(fitting_tasks.min(tasks)),
                    index,
                });
            }
        }
        ranked.sort();
        ranked
    }

    /// Whether a task of the gang's current attempt has ended on a machine: its worker
    /// starts no other task under that attempt number.
    fn ran_current_attempt(&self, job: &Job, id: &MachineId) -> bool {
        let current = job.gang.attempt_number;
        current != 0
            && self.machines.get(id).is_some_and(|machine| {
                let mut attempts = machine.attempts_of(&job.id);
                attempts.any(|(id, attempt)| id.number == current && attempt.ended())
            })
    }

    fn reserve_for_gang(&self, job: &Job, pass: &mut SchedulingPass) {
        let spec = &job.spec;
        let missing = job.waiting();
        if self.placeable_tasks(job) < missing
            || !pass.usage().all_within_limit(self.policy, spec, missing)
        {
            return;
        }
        let Some(zone) = self.gang_zones(job, pass).into_iter().next() else {
            return;
        };
        let indices = self.gang_machines_in(job, missing, &zone, pass);
        let short = missing as usize - indices.len();
        for index in indices {
            pass.set_aside(index, spec);
        }
        for index in emptiest_for_gang(job, &zone, pass).into_iter().take(short) {
            pass.reserve_machine(index);
        }
    }
}

/// The free capacity for a gang's tasks in each zone, in the order of the zones' names.
fn capacity_by_zone<'a>(
    spec: &JobSpec,
    candidates: &'a [Candidate],
) -> Vec<(&'a Arc<str>, ZoneCapacity)> {
    let mut zones: BTreeMap<&Arc<str>, ZoneCapacity> = BTreeMap::new();
    for candidate in candidates.iter().filter(|c| c.allows(spec)) {
        let capacity = zones.entry(&candidate.zone).or_default();
        capacity.fitting_tasks += candidate.fitting_tasks(spec).min(spec.tasks);
        capacity.free_cores += candidate.free.cores;
    }
    zones.into_iter().collect()
}

/// The candidates in a zone that a gang may use and that are not reserved, by falling free
/// cores.
fn emptiest_for_gang(job: &Job, zone: &ZoneChoice, pass: &SchedulingPass) -> Vec<usize> {
    let free_cores = |index: &usize| pass.candidates()[*index].free.cores;
    let mut indices: Vec<usize> = (0..pass.candidates().len())
        .filter(|index| {
            let candidate = &pass.candidates()[*index];
            !candidate.reserved
                && candidate.allows(&job.spec)
                && candidate.cost_acceptable(job)
                && zone.includes(&candidate.zone)
        })
        .collect();
    indices.sort_by(|a, b| free_cores(b).total_cmp(&free_cores(a)).then(a.cmp(b)));
    indices
}
