//! The read-only view of the shard from which scheduling decisions are made.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::coordination::shard::reconciler::UnreconciledMachines;
use crate::coordination::shard::{Job, Machine, Machines, Policy, Shard};
use crate::protocol::cloud::MachineType;
use crate::protocol::{FencingToken, JobId};

/// The part of the shard's state that scheduling decisions depend on.
///
/// Decisions are functions of this view, the [`SchedulingPass`] and the time. Only the methods of
/// [`Shard`] in [`super`] and its submodules carry them out.
///
/// [`SchedulingPass`]: super::candidates::SchedulingPass
#[derive(Clone, Copy)]
pub(in crate::coordination::shard) struct SchedulerView<'a> {
    pub(super) policy: &'a Policy,
    pub(super) machines: &'a Machines,
    pub(super) machine_types: &'a BTreeMap<String, Arc<MachineType>>,
    pub(super) jobs: &'a BTreeMap<JobId, Job>,
    /// The machines that may run tasks that this leader does not know of.
    unreconciled: &'a UnreconciledMachines,
    fencing_token: FencingToken,
    /// The zone with the most machines among those that have a controller; services are preferably
    /// placed there.
    pub(super) main_zone: Option<&'a str>,
}

impl Shard {
    /// The view for the scheduling decisions of this moment.
    pub(in crate::coordination::shard) fn scheduler_view(&self) -> SchedulerView<'_> {
        SchedulerView {
            policy: &self.policy,
            machines: &self.machines,
            machine_types: &self.machine_types,
            jobs: &self.jobs,
            unreconciled: &self.unreconciled,
            fencing_token: self.fencing_token,
            main_zone: self.main_zone.as_deref(),
        }
    }
}

impl SchedulerView<'_> {
    /// Whether it is certain that none of a job's waiting tasks runs on any machine.
    pub(super) fn placements_reconciled(&self, job: &Job) -> bool {
        // A job accepted after this leader's term began was never scheduled by an
        // earlier leader.
        self.unreconciled.is_empty() || job.mod_revision > self.fencing_token.revision()
    }

    /// How many of a job's waiting tasks may be started now. While machines are unreconciled, these
    /// are only the tasks that were on a machine under this leader: no earlier leader can have
    /// started them on another. A crash-looping job may start fewer tasks.
    pub(super) fn placeable_tasks(&self, job: &Job) -> u32 {
        self.startable_tasks(job).min(job.retry_budget())
    }

    /// How many of a job's waiting tasks certainly run nowhere and may be started, whatever the
    /// job's failures.
    fn startable_tasks(&self, job: &Job) -> u32 {
        if self.placements_reconciled(job) {
            job.waiting()
        } else if job.spec.one_zone && job.unreconciled_tasks() > 0 {
            // The job's other tasks may run in a zone that is not known yet.
            0
        } else {
            job.known_unplaced_tasks()
        }
    }

    /// The machines that may run tasks that this leader does not know of.
    pub(super) fn unreconciled_machines(&self) -> impl Iterator<Item = &Machine> {
        self.unreconciled
            .iter()
            .filter_map(|id| self.machines.get(id))
    }

    /// Whether a machine may run tasks that this leader does not know of.
    pub(super) fn is_unreconciled(&self, machine: &Machine) -> bool {
        self.unreconciled.contains(&machine.id)
    }
}
