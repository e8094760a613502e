//! Admission control: rejects well-formed submissions of jobs that can never run on this cluster.

use std::fmt;

use thiserror::Error;

use crate::coordination::shard::Policy;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec, field};

/// Tolerance when a job's need is compared with a quota limit. Both are sums of floating-point
/// amounts, which are inexact.
const QUOTA_TOLERANCE: f64 = 1e-9;

/// Why a job can never run. The messages are part of the answers to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Inadmissible {
    /// The settings don't contain the job's team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job may use is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
    /// The amount of this resource that the job needs at once exceeds its team's quota limit.
    #[error("more than the team's limit")]
    OverQuotaLimit(LimitedResource),
    /// The job's record exceeds the largest value that the key-value store accepts.
    #[error("the job's description is too long to be kept")]
    RecordTooLarge,
}

/// A resource that has a quota limit. It is displayed by the name of its field in a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimitedResource {
    Cores,
    Accelerators,
}

impl fmt::Display for LimitedResource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.field())
    }
}

impl LimitedResource {
    fn field(self) -> &'static str {
        match self {
            Self::Cores => field::CORES,
            Self::Accelerators => field::ACCELERATORS,
        }
    }
}

impl Inadmissible {
    /// The name of the submission's field that caused the rejection.
    pub(super) fn field(self) -> &'static str {
        match self {
            Self::UnknownTeam => field::TEAM,
            Self::NoMachineTypeFits | Self::RecordTooLarge => field::MACHINE_TYPES,
            Self::OverQuotaLimit(resource) => resource.field(),
        }
    }
}

/// Checks that a job can run at some time on one of these machine types and within its team's
/// quota limit.
pub(super) fn check(
    policy: &Policy,
    types: &[MachineType],
    spec: &JobSpec,
) -> Result<(), Inadmissible> {
    let team = policy
        .teams
        .get(&spec.team)
        .ok_or(Inadmissible::UnknownTeam)?;
    if !types
        .iter()
        .any(|machine_type| fits_machine_type(spec, machine_type))
    {
        return Err(Inadmissible::NoMachineTypeFits);
    }
    check_quota_limit(spec, spec.cores, team.cores_max, LimitedResource::Cores)?;
    check_quota_limit(
        spec,
        spec.accelerators,
        team.accelerators_max,
        LimitedResource::Accelerators,
    )
}

/// Whether the job may use this machine type, and an empty machine of it has room for one task.
fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let is_type_allowed = spec
        .machine_types
        .as_ref()
        .is_none_or(|types| types.contains(&machine_type.name));
    let is_zone_available = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.contains(zone));
    is_type_allowed
        && is_zone_available
        && machine_type.cores >= spec.cores
        && machine_type.accelerators >= spec.accelerators
        && machine_type.mem_gb >= spec.mem_gb
}

/// Checks that the amount of a resource that the job needs at once is within its team's quota
/// limit. A limit of 0 means unlimited.
fn check_quota_limit(
    spec: &JobSpec,
    need_per_task: f64,
    limit: f64,
    resource: LimitedResource,
) -> Result<(), Inadmissible> {
    let need = need_per_task * concurrent_tasks(spec);
    if limit > 0.0 && need > limit + QUOTA_TOLERANCE {
        return Err(Inadmissible::OverQuotaLimit(resource));
    }
    Ok(())
}

/// How many of the job's tasks have to run at the same time for the job to run at all.
fn concurrent_tasks(spec: &JobSpec) -> f64 {
    match spec.kind {
        JobKind::Batch => 1.0,
        JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
    }
}
