//! Amounts of resources that machines offer and tasks use.

use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

/// Rounding error that sums of amounts may have, in cores, accelerators or GB.
const AMOUNT_ROUNDING: f64 = 1e-9;

/// Most tasks that are said to fit, where a job uses next to nothing.
const MOST_FITTING_TASKS: f64 = 1e6;

/// Amounts of the resources that a machine offers, or that tasks use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Amounts {
    /// CPU cores.
    pub cores: f64,
    /// Accelerators.
    pub accelerators: f64,
    /// Memory in GB.
    pub mem_gb: f64,
}

impl Amounts {
    /// What one task of a job uses.
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            cores: spec.cores,
            accelerators: spec.accelerators,
            mem_gb: spec.mem_gb,
        }
    }

    /// What an empty machine of a type offers.
    pub fn of_type(kind: &MachineType) -> Self {
        Self {
            cores: kind.cores,
            accelerators: kind.accelerators,
            mem_gb: kind.mem_gb,
        }
    }

    /// Subtracts what one task of a job uses.
    pub fn take(&mut self, spec: &JobSpec) {
        self.cores -= spec.cores;
        self.accelerators -= spec.accelerators;
        self.mem_gb -= spec.mem_gb;
    }

    /// Adds what several tasks of a job use.
    pub fn give_many(&mut self, spec: &JobSpec, tasks: u32) {
        let tasks = f64::from(tasks);
        self.cores += spec.cores * tasks;
        self.accelerators += spec.accelerators * tasks;
        self.mem_gb += spec.mem_gb * tasks;
    }

    /// Adds what one task of a job uses.
    pub fn give(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.accelerators += spec.accelerators;
        self.mem_gb += spec.mem_gb;
    }

    /// The difference of two amounts.
    pub fn less(&self, taken: &Self) -> Self {
        Self {
            cores: self.cores - taken.cores,
            accelerators: self.accelerators - taken.accelerators,
            mem_gb: self.mem_gb - taken.mem_gb,
        }
    }

    /// Whether one task of a job fits.
    pub fn holds(&self, spec: &JobSpec) -> bool {
        let fits = |have: f64, need: f64| need <= 0.0 || have + AMOUNT_ROUNDING >= need;
        fits(self.cores, spec.cores)
            && fits(self.accelerators, spec.accelerators)
            && fits(self.mem_gb, spec.mem_gb)
    }

    /// How many tasks of a job fit.
    pub fn fits(&self, spec: &JobSpec) -> u32 {
        let ratio = |have: f64, need: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + AMOUNT_ROUNDING) / need).floor()
            }
        };
        let n = ratio(self.cores, spec.cores)
            .min(ratio(self.accelerators, spec.accelerators))
            .min(ratio(self.mem_gb, spec.mem_gb));
        n.clamp(0.0, MOST_FITTING_TASKS) as u32
    }
}
