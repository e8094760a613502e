//! Resources that machines offer and tasks use.

use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

/// Largest rounding error of a sum of resources, in cores, accelerators or GB.
const RESOURCE_ROUNDING: f64 = 1e-9;

/// Upper bound on the number of tasks reported to fit, for jobs that use almost no resources.
const MAX_FITTING_TASKS: f64 = 1e6;

/// Resources that a machine offers, or that tasks use; differences may be negative.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cores: f64,
    /// Accelerators.
    pub accelerators: f64,
    /// Memory in GB.
    pub mem_gb: f64,
}

impl Resources {
    /// The resources of an empty machine of this type.
    pub fn of_machine_type(machine_type: &MachineType) -> Self {
        Self {
            cores: machine_type.cores,
            accelerators: machine_type.accelerators,
            mem_gb: machine_type.mem_gb,
        }
    }

    /// Subtracts the resources that one task of a job uses.
    pub fn subtract_task(&mut self, spec: &JobSpec) {
        self.cores -= spec.cores;
        self.accelerators -= spec.accelerators;
        self.mem_gb -= spec.mem_gb;
    }

    /// Adds the resources that `tasks` tasks of a job use.
    pub fn add_tasks(&mut self, spec: &JobSpec, tasks: u32) {
        let tasks = f64::from(tasks);
        self.cores += spec.cores * tasks;
        self.accelerators += spec.accelerators * tasks;
        self.mem_gb += spec.mem_gb * tasks;
    }

    /// Adds the resources that one task of a job uses.
    pub fn add_task(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.accelerators += spec.accelerators;
        self.mem_gb += spec.mem_gb;
    }

    /// These resources reduced by `other`; amounts may become negative.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores - other.cores,
            accelerators: self.accelerators - other.accelerators,
            mem_gb: self.mem_gb - other.mem_gb,
        }
    }

    /// Whether one task of a job fits into these resources. A resource that the job does not use
    /// never prevents that, even if its amount is negative.
    pub fn fits_task(&self, spec: &JobSpec) -> bool {
        let fits =
            |available: f64, needed: f64| needed <= 0.0 || available + RESOURCE_ROUNDING >= needed;
        fits(self.cores, spec.cores)
            && fits(self.accelerators, spec.accelerators)
            && fits(self.mem_gb, spec.mem_gb)
    }

    /// How many tasks of a job fit into these resources, at most a million.
    pub fn fitting_tasks(&self, spec: &JobSpec) -> u32 {
        let ratio = |available: f64, needed: f64| {
            if needed <= 0.0 {
                f64::INFINITY
            } else {
                ((available + RESOURCE_ROUNDING) / needed).floor()
            }
        };
        let tasks = ratio(self.cores, spec.cores)
            .min(ratio(self.accelerators, spec.accelerators))
            .min(ratio(self.mem_gb, spec.mem_gb));
        tasks.clamp(0.0, MAX_FITTING_TASKS) as u32
    }
}
