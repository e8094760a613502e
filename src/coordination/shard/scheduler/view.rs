//! The read-only view of the shard from which one scheduling decision is made.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::coordination::shard::reconciler::UnreconciledMachines;
use crate::coordination::shard::{Job, Machine, Machines, Policy, Shard};
use crate::protocol::cloud::MachineType;
use crate::protocol::{FencingToken, JobId};

/// The part of the shard's state that scheduling decisions depend on.
///
/// Decisions are functions of this view, the [`SchedulingPass`] and the time; only
/// `impl Shard` in [`super`] carries them out.
///
/// [`SchedulingPass`]: super::candidates::SchedulingPass
#[derive(Clone, Copy)]
pub(in crate::coordination::shard) struct SchedulerView<'a> {
    pub(super) policy: &'a Policy,
    pub(super) machines: &'a Machines,
    pub(super) machine_types: &'a BTreeMap<String, Arc<MachineType>>,
    pub(super) jobs: &'a BTreeMap<JobId, Job>,
    /// Machines that may run tasks this leader does not know of.
    unreconciled: &'a UnreconciledMachines,
    fencing_token: FencingToken,
    /// The zone with most machines among those that have a controller; services prefer it.
    pub(super) main_zone: Option<&'a str>,
}

impl Shard {
    pub(in crate::coordination::shard) fn scheduler_view(&self) -> SchedulerView<'_> {
        SchedulerView {
            policy: &self.policy,
            machines: &self.machines,
            machine_types: &self.types,
            jobs: &self.jobs,
            unreconciled: &self.unreconciled,
            fencing_token: self.fencing_token,
            main_zone: self.main_zone.as_deref(),
        }
    }
}

impl SchedulerView<'_> {
    /// Whether it is certain that none of a job's waiting tasks runs anywhere.
    pub(super) fn placements_reconciled(&self, job: &Job) -> bool {
        // A job accepted after this leader's term began was never scheduled by an
        // earlier leader.
        self.unreconciled.is_empty() || job.mod_revision > self.fencing_token.revision()
    }

    /// How many of a job's waiting tasks may be started now. While machines are
    /// unreconciled, only those that were on a machine this leader knew of: no
    /// earlier leader can have started them elsewhere.
    pub(super) fn placeable_tasks(&self, job: &Job) -> u32 {
        self.startable_tasks(job).min(job.retry_budget())
    }

    fn startable_tasks(&self, job: &Job) -> u32 {
        if self.placements_reconciled(job) {
            job.waiting()
        } else if job.spec.one_zone && job.unreconciled_tasks() > 0 {
            // The zone of the other tasks is not known yet.
            0
        } else {
            job.known_unplaced()
        }
    }

    /// The machines that may run tasks of which this leader does not know.
    pub(super) fn unreconciled_machines(&self) -> impl Iterator<Item = &Machine> {
        self.unreconciled
            .iter()
            .filter_map(|id| self.machines.get(id))
    }

    pub(super) fn is_unreconciled(&self, machine: &Machine) -> bool {
        self.unreconciled.contains(&machine.id)
    }
}
