//! The read-only view of the shard from which the autoscaler makes its plans.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use super::Autoscaler;
use crate::coordination::shard::delegations::Delegations;
use crate::coordination::shard::scheduler::SchedulerView;
use crate::coordination::shard::{Job, Machines, Policy, Shard};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;

/// The part of the shard's state that the autoscaler's decisions depend on.
///
/// Decisions are functions of this view and the time; only `impl Shard` carries them out.
#[derive(Clone, Copy)]
pub(in crate::coordination::shard) struct AutoscalerView<'a> {
    pub(super) policy: &'a Policy,
    pub(super) machines: &'a Machines,
    pub(super) machine_types: &'a BTreeMap<String, Arc<MachineType>>,
    pub(super) jobs: &'a BTreeMap<JobId, Job>,
    pub(super) autoscaler: &'a Autoscaler,
    pub(super) scheduler: SchedulerView<'a>,
    pub(super) delegations: &'a Delegations,
    /// The zone with the most machines among those that have a controller; services are preferably
    /// placed there.
    pub(super) main_zone: Option<&'a str>,
    /// When this leader's term began.
    pub(super) term_began: Instant,
    /// Whether every machine is reconciled, so that this leader knows of all running tasks.
    pub(super) all_reconciled: bool,
}

impl Shard {
    pub(in crate::coordination::shard) fn autoscaler_view(&self) -> AutoscalerView<'_> {
        AutoscalerView {
            policy: &self.policy,
            machines: &self.machines,
            machine_types: &self.machine_types,
            jobs: &self.jobs,
            autoscaler: &self.autoscaler,
            scheduler: self.scheduler_view(),
            delegations: &self.delegations,
            main_zone: self.main_zone.as_deref(),
            term_began: self.term_began,
            all_reconciled: self.unreconciled.is_empty(),
        }
    }
}
