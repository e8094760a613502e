//! Admission of jobs: which well-formed submissions can never run here.

use std::fmt;

use thiserror::Error;

use crate::coordination::shard::Policy;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec, field};

/// Slack with which a need is compared with a quota limit: both are sums of floating-point
/// amounts.
const QUOTA_TOLERANCE: f64 = 1e-9;

/// Why a job can never run. The texts are those of the answers to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum Inadmissible {
    /// The operators' settings don't name its team.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that it may use holds one of its tasks.
    #[error("a task fits no allowed machine type")]
    NoMachineTypeFits,
    /// What it needs at the same time exceeds its team's quota limit of this resource.
    #[error("more than the team's limit")]
    OverQuotaLimit(LimitedResource),
    /// Its record exceeds what the key-value store holds in a value.
    #[error("the job's description is too long to be kept")]
    RecordTooLarge,
}

/// A resource that has a quota limit, written as the submission's field.
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
    /// The submission's field at fault.
    pub(super) fn field(self) -> &'static str {
        match self {
            Self::UnknownTeam => field::TEAM,
            Self::NoMachineTypeFits | Self::RecordTooLarge => field::MACHINE_TYPES,
            Self::OverQuotaLimit(resource) => resource.field(),
        }
    }
}

/// Checks that a job can run some time, on these machine types and within its team's quota.
pub(super) fn check(
    policy: &Policy,
    types: &[MachineType],
    spec: &JobSpec,
) -> Result<(), Inadmissible> {
    let team = policy
        .teams
        .get(&spec.team)
        .ok_or(Inadmissible::UnknownTeam)?;
    if !types.iter().any(|machine_type| fits(spec, machine_type)) {
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

/// Whether a machine of this type, empty, holds one task of the job and may be used by it.
fn fits(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let type_allowed = spec
        .machine_types
        .as_ref()
        .is_none_or(|types| types.contains(&machine_type.name));
    let zone_offered = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.contains(zone));
    type_allowed
        && zone_offered
        && machine_type.cores >= spec.cores
        && machine_type.accelerators >= spec.accelerators
        && machine_type.mem_gb >= spec.mem_gb
}

/// Compares what the job needs of a resource at the same time with its team's quota limit; a
/// limit of 0 means none.
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

/// How many tasks have to run at the same time for the job to run at all.
fn concurrent_tasks(spec: &JobSpec) -> f64 {
    match spec.kind {
        JobKind::Batch => 1.0,
        JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
    }
}
