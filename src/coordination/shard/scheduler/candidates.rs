//! The candidate machines of one scheduling pass, and the working state in which the pass keeps
//! account of the resources and quotas that it has used.

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

/// A machine that may get tasks in the current pass.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: MachineId,
    pub(super) machine_type: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) is_spot: bool,
    /// Whether it is an on-demand machine that scale-in can release once its batch work ends. A
    /// service placed on it would prevent that.
    pub(super) is_releasable: bool,
    /// Whether it is releasable and past the first half of the time that the cloud charges for in
    /// any case. Batch work that may run on spot instances is then not placed on it, so that it can
    /// be released.
    pub(super) costs_extra: bool,
    /// The resources that no task uses, less those of the tasks placed in this pass.
    pub(super) free: Resources,
    /// The part of the free resources that is reserved for services being drained from
    /// other machines.
    pub(super) reserved_for_services: Resources,
    /// How many more tasks the machine's heartbeats may list.
    pub(super) listable_tasks: usize,
    /// Whether it is reserved for a starving job or a waiting gang, and so gets no other batch
    /// work in this pass.
    pub(super) is_reserved: bool,
}

impl Candidate {
    /// Whether a job's constraints on machine type, zone and spot instances allow this machine.
    pub(super) fn allows(&self, spec: &JobSpec) -> bool {
        is_machine_allowed(spec, &self.machine_type, &self.zone, self.is_spot)
    }

    /// Whether one more task of a job fits into the free resources. Batch jobs and gangs may use
    /// neither a reserved machine nor resources reserved for services.
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        if self.listable_tasks == 0 {
            return false;
        }
        if spec.kind == JobKind::Service {
            return self.free.fits_task(spec);
        }
        !self.is_reserved && self.free.minus(&self.reserved_for_services).fits_task(spec)
    }

    /// How many more tasks of a batch job or gang fit into the free resources.
    pub(super) fn fitting_tasks(&self, spec: &JobSpec) -> u32 {
        if self.fits(spec) {
            self.free
                .minus(&self.reserved_for_services)
                .fitting_tasks(spec)
                .min(self.listable_tasks as u32)
        } else {
            0
        }
    }

    /// Whether the machine's cost is acceptable for a job. Batch jobs and gangs that may run on
    /// spot instances don't use a machine that costs extra, but wait for a spot instance while
    /// their due times allow.
    pub(super) fn is_cost_acceptable(&self, job: &Job) -> bool {
        !self.costs_extra
            || !job.spec.spot
            || job.spec.kind == JobKind::Service
            || job.accepts_extra_cost
    }
}

/// Whether a job's constraints allow a machine of this type, zone and pricing (spot or on-demand).
pub(in crate::coordination::shard) fn is_machine_allowed(
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
        && spec.zone.as_ref().is_none_or(|required| required == zone)
}

/// Whether a machine has an image. The states are ordered from worst to best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageState {
    /// The machine does not have the image, and no task on it uses the image.
    Absent,
    /// A task that uses the image is on the machine, which is pulling it or about to do so.
    Pulling,
    /// The machine has the image.
    Cached,
}

/// The working state of one scheduling pass: the candidates with the resources that are still
/// free, and the teams' usage, after the tasks that the pass has placed and the resources that it
/// has reserved.
pub(super) struct SchedulingPass {
    candidates: Vec<Candidate>,
    usage: Usage,
    /// For each image, its state on each candidate, by the candidate's index.
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

    /// The candidates in the order of their ids. The index of a candidate stays the same for the
    /// whole pass.
    pub(super) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// What the teams use, including the tasks placed in this pass.
    pub(super) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Determines the state of an image on each candidate, unless this pass has done so before.
    /// Has to be called before a job that uses the image is placed.
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

    /// The state of a job's image on each candidate, by index; empty if the image's states were
    /// not loaded.
    pub(super) fn image_states(&self, spec: &JobSpec) -> &[ImageState] {
        self.image_states
            .get(&spec.image)
            .map_or(&[], Vec::as_slice)
    }

    /// The state of a job's image on one candidate; [`ImageState::Absent`] if the image's states
    /// were not loaded.
    pub(super) fn image_state(&self, spec: &JobSpec, index: usize) -> ImageState {
        let state = self.image_states(spec).get(index).copied();
        state.unwrap_or(ImageState::Absent)
    }

    /// Subtracts a task that is placed on a candidate from the free resources, and adds it to its
    /// team's usage.
    pub(super) fn record_placement(&mut self, index: usize, spec: &JobSpec) {
        let candidate = &mut self.candidates[index];
        candidate.free.subtract_task(spec);
        candidate.listable_tasks = candidate.listable_tasks.saturating_sub(1);
        self.usage.add(spec, 1);
        if let Some(states) = self.image_states.get_mut(&spec.image) {
            states[index] = states[index].max(ImageState::Pulling);
        }
    }

    /// Reserves resources on a candidate for one task that is not placed yet.
    pub(super) fn reserve_resources(&mut self, index: usize, spec: &JobSpec) {
        self.candidates[index].free.subtract_task(spec);
    }

    /// Reserves a whole candidate: it gets no batch work in the rest of the pass.
    pub(super) fn reserve_machine(&mut self, index: usize) {
        self.candidates[index].is_reserved = true;
    }
}

impl Shard {
    /// The machines that accept new tasks now.
    pub(super) fn candidates(&self, now: Instant) -> Vec<Candidate> {
        let reserved_for_services = self.autoscaler_view().reserved_for_moves();
        self.machines
            .values()
            .filter(|machine| machine.is_schedulable(now, &self.policy))
            .filter_map(|machine| {
                let machine_type = self.machine_types.get(&*machine.machine_type)?;
                Some(Candidate {
                    id: machine.id.clone(),
                    machine_type: machine.machine_type.clone(),
                    zone: machine.zone.clone(),
                    is_spot: machine.spot,
                    is_releasable: is_releasable(machine, &self.policy),
                    costs_extra: costs_extra(machine, &self.policy, now),
                    free: machine.free(machine_type),
                    reserved_for_services: reserved_for_services
                        .get(&machine.id)
                        .copied()
                        .unwrap_or_default(),
                    listable_tasks: machine.listable_attempts(),
                    is_reserved: false,
                })
            })
            .collect()
    }
}

/// Whether a task on a machine uses an image, in which case the machine pulls the image.
fn uses_image(machine: &Machine, image: &str) -> bool {
    let mut tasks = machine.load.tasks.iter();
    tasks.any(|(spec, _)| spec.image == image)
}
