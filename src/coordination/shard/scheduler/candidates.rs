//! The candidate machines of one scheduling pass, and what the pass has used of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::quota::Usage;
use super::view::SchedulerView;
use crate::coordination::shard::autoscaler::{costs_extra, is_releasable};
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::{Job, Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::{JobKind, JobSpec};

/// A machine that may get tasks in this pass.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: MachineId,
    pub(super) machine_type: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) spot: bool,
    /// An on-demand machine that scale-in can release once its batch work ends: a
    /// service placed on it would keep it.
    pub(super) releasable: bool,
    /// Releasable, and past the time that is charged for in any case: batch work that
    /// may run on spot instances does not extend its life.
    pub(super) costs_extra: bool,
    /// Resources that no task uses, less what this pass has placed.
    pub(super) free: Resources,
    /// The part of the free resources that is reserved for services being drained from
    /// other machines.
    pub(super) reserved_for_services: Resources,
    /// Closed to batch work in this pass: reserved for a starving job or a waiting gang.
    pub(super) reserved: bool,
}

impl Candidate {
    /// Whether a job's machine types, zone and spot setting allow this machine.
    pub(super) fn allows(&self, spec: &JobSpec) -> bool {
        allowed(spec, &self.machine_type, &self.zone, self.spot)
    }

    /// Whether one more task of a job fits.
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        if spec.kind == JobKind::Service {
            return self.free.fits_task(spec);
        }
        !self.reserved && self.free.minus(&self.reserved_for_services).fits_task(spec)
    }

    /// How many more tasks of a batch job or gang fit.
    pub(super) fn fitting_tasks(&self, spec: &JobSpec) -> u32 {
        if self.fits(spec) {
            self.free
                .minus(&self.reserved_for_services)
                .fitting_tasks(spec)
        } else {
            0
        }
    }

    /// Whether a job may use a machine that scale-in would otherwise release: work that
    /// may run on spot instances waits for those while its deadline allows.
    pub(super) fn cost_acceptable(&self, job: &Job) -> bool {
        !self.costs_extra
            || !job.spec.spot
            || job.spec.kind == JobKind::Service
            || job.accepts_extra_cost
    }
}

/// Whether a job may run on a machine of this type, zone and pricing.
pub(in crate::coordination::shard) fn allowed(
    spec: &JobSpec,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> bool {
    (spec.spot || !spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|types| types.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// How far a machine is with an image; later states are better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageState {
    Absent,
    /// A task that uses it is on the machine: it is pulled, or about to be.
    Pulling,
    Cached,
}

/// The working state of one scheduling pass: what is left of the candidates and quotas
/// after what the pass has placed and reserved.
pub(super) struct SchedulingPass {
    candidates: Vec<Candidate>,
    usage: Usage,
    /// By image, its state on each candidate.
    image_states: HashMap<String, Vec<ImageState>>,
}

impl SchedulingPass {
    pub(super) fn new(candidates: Vec<Candidate>, usage: Usage) -> Self {
        Self {
            candidates,
            usage,
            image_states: HashMap::new(),
        }
    }

    /// The candidates in the order of their ids; an index stays valid for the pass.
    pub(super) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// What the teams use, with the tasks placed in this pass.
    pub(super) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Notes the state of an image on each candidate, once a pass. Needed before the
    /// image's jobs are placed.
    pub(super) fn load_image_states(&mut self, image: &str, view: SchedulerView) {
        if self.image_states.contains_key(image) {
            return;
        }
        let state = |candidate: &Candidate| match view.machines.get(&candidate.id) {
            Some(machine) if machine.has_image(image) => ImageState::Cached,
            Some(machine) if uses_image(machine, image) => ImageState::Pulling,
            _ => ImageState::Absent,
        };
        let states = self.candidates.iter().map(state).collect();
        self.image_states.insert(image.to_owned(), states);
    }

    /// The state of a job's image on each candidate; empty if it was not loaded.
    pub(super) fn image_states(&self, spec: &JobSpec) -> &[ImageState] {
        self.image_states
            .get(&spec.image)
            .map_or(&[], Vec::as_slice)
    }

    /// The state of a job's image on one candidate; absent if it was not loaded.
    pub(super) fn image_state(&self, spec: &JobSpec, index: usize) -> ImageState {
        let state = self.image_states(spec).get(index).copied();
        state.unwrap_or(ImageState::Absent)
    }

    /// Accounts for a task that was placed on a candidate.
    pub(super) fn place_task(&mut self, index: usize, spec: &JobSpec) {
        self.candidates[index].free.subtract_task(spec);
        self.usage.add(spec, 1);
        if let Some(states) = self.image_states.get_mut(&spec.image) {
            states[index] = states[index].max(ImageState::Pulling);
        }
    }

    /// Sets resources on a candidate aside for a task that is not placed yet.
    pub(super) fn set_aside(&mut self, index: usize, spec: &JobSpec) {
        self.candidates[index].free.subtract_task(spec);
    }

    /// Closes a candidate to batch work for the rest of the pass.
    pub(super) fn reserve_machine(&mut self, index: usize) {
        self.candidates[index].reserved = true;
    }
}

impl Shard {
    /// The machines that accept new tasks now.
    pub(super) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let reserved = self.autoscaler_view().reserved_for_moves();
        self.machines
            .values()
            .filter(|machine| machine.is_schedulable(now, &self.policy))
            .filter_map(|machine| {
                let machine_type = self.types.get(&*machine.machine_type)?;
                Some(Candidate {
                    id: machine.id.clone(),
                    machine_type: machine.machine_type.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                    releasable: is_releasable(machine, &self.policy),
                    costs_extra: costs_extra(machine, &self.policy, now),
                    free: machine.free(machine_type),
                    reserved_for_services: reserved.get(&machine.id).copied().unwrap_or_default(),
                    reserved: false,
                })
            })
            .collect()
    }
}

/// Whether a task on a machine uses an image, so that the machine pulls it.
fn uses_image(machine: &Machine, image: &str) -> bool {
    let mut tasks = machine.load.tasks.iter();
    tasks.any(|(spec, _)| spec.image == image)
}
