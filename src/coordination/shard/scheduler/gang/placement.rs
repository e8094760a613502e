//! Placement of gangs: finds machines for all tasks of a gang at once, or reserves machines until
//! there are enough.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::shard::scheduler::candidates::{Candidate, ImageState, SchedulingPass};
use crate::coordination::shard::scheduler::view::SchedulerView;
use crate::coordination::shard::{Job, Machine, Shard};
use crate::protocol::users::JobSpec;
use crate::protocol::{JobId, MachineId};

/// The time since its acceptance after which a gang that could not be placed gets machines
/// reserved.
const GANG_RESERVATION_DELAY: Duration = Duration::from_secs(3);

/// The zone or zones in which a gang may be placed.
enum ZoneChoice {
    /// The gang's tasks need not be in one zone.
    Any,
    /// All tasks have to be in this zone.
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

/// The free capacity for a gang in one zone.
#[derive(Default)]
struct ZoneCapacity {
    fitting_tasks: u32,
    free_cores: f64,
}

/// The rank of a candidate for a gang's tasks; the smallest is the best. The fields are in the
/// order of their weight. Machines with the image come first, so that the tasks are ready at the
/// same time. Machines for many tasks are preferred, so that the gang uses few: the loss of one
/// machine stops the whole gang.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GangCandidate {
    lacks_image: bool,
    costs_extra: bool,
    on_demand: bool,
    fitting_tasks: Reverse<u32>,
    /// The index of the candidate in the pass.
    index: usize,
}

impl Shard {
    /// Places all waiting tasks of a gang, or none. Returns how many tasks it placed.
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
            .filter(|job| view.is_gang_placeable(job, pass))
        else {
            return 0;
        };
        let spec = job.spec.clone();
        pass.load_image_states(&spec.image, view);
        let Some(indices) = view.gang_machines(job, job.waiting(), pass) else {
            return 0;
        };
        // Tasks that replace lost ones join the current attempt.
        let attempt_number = match job.gang.attempt_number {
            0 => self.new_attempt_number(),
            current => current,
        };
        for index in &indices {
            let job = self.jobs.get_mut(id);
            let Some(task) = job.and_then(|job| job.next_waiting(true)) else {
                break;
            };
            pass.record_placement(*index, &spec);
            let machine = pass.candidates()[*index].id.clone();
            self.launch(id, task, &machine, attempt_number, now);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.gang.attempt_number = attempt_number;
        }
        indices.len()
    }

    /// Reserves resources for a gang that could not be placed, once it has waited for
    /// [`GANG_RESERVATION_DELAY`]: the free resources for as many tasks as fit, and for each
    /// further task one of the emptiest machines. Smaller tasks later in the pass would otherwise
    /// take each resource as it becomes free.
    pub(in crate::coordination::shard::scheduler) fn reserve_for_gang(
        &self,
        id: &JobId,
        pass: &mut SchedulingPass,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let age = Duration::from_millis(self.wall_ms(now).saturating_sub(job.accepted_at_ms));
        if age >= GANG_RESERVATION_DELAY {
            self.scheduler_view().reserve_for_gang(job, pass);
        }
    }
}

impl SchedulerView<'_> {
    /// Whether all waiting tasks of a gang may be started now, if machines are found for them: the
    /// gang has not started, none of its tasks is stopping, no earlier leader can have started one
    /// elsewhere, and its team stays within its quota limit.
    fn is_gang_placeable(&self, job: &Job, pass: &SchedulingPass) -> bool {
        let waiting = job.waiting();
        let has_stopping_task = |machine: &Machine| {
            machine
                .attempts_of(&job.id)
                .any(|(_, a)| !a.ended() && a.stop_grace().is_some())
        };
        let mut hosts = job.live().machines().filter_map(|id| self.machines.get(id));
        waiting > 0
            && self.placeable_tasks(job) >= waiting
            && !job.gang.started
            && !hosts.any(has_stopping_task)
            && pass
                .usage()
                .all_within_limit(self.policy, &job.spec, waiting)
    }

    /// The candidates for this number of a gang's tasks: one candidate index for each task.
    /// `None` if fewer tasks fit.
    fn gang_machines(&self, job: &Job, tasks: u32, pass: &SchedulingPass) -> Option<Vec<usize>> {
        let zones = self.gang_zones(job, pass);
        zones.iter().find_map(|zone| {
            let indices = self.gang_machines_in(job, tasks, zone, pass);
            (indices.len() as u32 == tasks).then_some(indices)
        })
    }

    /// The zones in which a gang's waiting tasks may be placed, the best first.
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

    /// The candidates in a zone for up to this number of a gang's tasks: one candidate index for
    /// each task that fits.
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
            let unassigned = tasks - indices.len() as u32;
            let Reverse(fitting) = candidate.fitting_tasks;
            let placed = fitting.min(unassigned).min(constraint.remaining(zone));
            constraint.add(zone, placed);
            indices.extend(std::iter::repeat_n(candidate.index, placed as usize));
        }
        indices
    }

    /// The candidates in a zone on which at least one task of a gang fits, the best first.
    fn ranked_gang_candidates(
        &self,
        job: &Job,
        tasks: u32,
        zone: &ZoneChoice,
        pass: &SchedulingPass,
    ) -> Vec<GangCandidate> {
        let spec = &job.spec;
        // If the gang's tasks have failed on as many machines as there are, none is avoided.
        let avoid_failed = job.failures.machine_count() < pass.candidates().len();
        let mut ranked = Vec::new();
        for (index, candidate) in pass.candidates().iter().enumerate() {
            let fitting_tasks = candidate.fitting_tasks(spec);
            let eligible = fitting_tasks > 0
                && candidate.allows(spec)
                && candidate.is_cost_acceptable(job)
                && zone.includes(&candidate.zone)
                && !(avoid_failed && job.failures.has_failed_on(&candidate.id))
                && !self.ran_current_attempt(job, &candidate.id);
            if eligible {
                ranked.push(GangCandidate {
                    lacks_image: pass.image_state(spec, index) == ImageState::Absent,
                    costs_extra: candidate.costs_extra,
                    on_demand: !candidate.is_spot,
                    fitting_tasks: Reverse(fitting_tasks.min(tasks)),
                    index,
                });
            }
        }
        ranked.sort();
        ranked
    }

    /// Whether a task of the gang's current attempt has ended on a machine. The machine's worker
    /// then starts no other task of the gang with that attempt number.
    fn ran_current_attempt(&self, job: &Job, id: &MachineId) -> bool {
        let current = job.gang.attempt_number;
        current != 0
            && self.machines.get(id).is_some_and(|machine| {
                let mut attempts = machine.attempts_of(&job.id);
                attempts.any(|(id, attempt)| id.number == current && attempt.ended())
            })
    }

    /// Reserves free resources for as many of a gang's waiting tasks as fit, and one of the
    /// emptiest machines for each of the others.
    fn reserve_for_gang(&self, job: &Job, pass: &mut SchedulingPass) {
        let spec = &job.spec;
        let waiting = job.waiting();
        if self.placeable_tasks(job) < waiting
            || !pass.usage().all_within_limit(self.policy, spec, waiting)
        {
            return;
        }
        let Some(zone) = self.gang_zones(job, pass).into_iter().next() else {
            return;
        };
        let indices = self.gang_machines_in(job, waiting, &zone, pass);
        let unassigned = waiting as usize - indices.len();
        for index in indices {
            pass.reserve_resources(index, spec);
        }
        for index in emptiest_for_gang(job, &zone, pass)
            .into_iter()
            .take(unassigned)
        {
            pass.reserve_machine(index);
        }
    }
}

/// The free capacity for a gang's tasks in each zone, sorted by the zones' names.
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

/// The indices of the candidates in a zone that a gang may use and that are not reserved, those
/// with the most free cores first.
fn emptiest_for_gang(job: &Job, zone: &ZoneChoice, pass: &SchedulingPass) -> Vec<usize> {
    let free_cores = |index: &usize| pass.candidates()[*index].free.cores;
    let mut indices: Vec<usize> = (0..pass.candidates().len())
        .filter(|index| {
            let candidate = &pass.candidates()[*index];
            !candidate.is_reserved
                && candidate.allows(&job.spec)
                && candidate.is_cost_acceptable(job)
                && zone.includes(&candidate.zone)
        })
        .collect();
    indices.sort_by(|a, b| free_cores(b).total_cmp(&free_cores(a)).then(a.cmp(b)));
    indices
}
