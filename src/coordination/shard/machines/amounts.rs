//! Amounts of resources.

use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

/// What sums of amounts may be off by.
const AMOUNT_ROUNDING: f64 = 1e-9;

/// What a machine can hold or what is held on it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Amounts {
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
}

impl Amounts {
    pub fn of(spec: &JobSpec) -> Self {
        Self {
            cores: spec.cores,
            accelerators: spec.accelerators,
            mem_gb: spec.mem_gb,
        }
    }

    pub fn of_type(kind: &MachineType) -> Self {
        Self {
            cores: kind.cores,
            accelerators: kind.accelerators,
            mem_gb: kind.mem_gb,
        }
    }

    pub fn take(&mut self, spec: &JobSpec) {
        self.cores -= spec.cores;
        self.accelerators -= spec.accelerators;
        self.mem_gb -= spec.mem_gb;
    }

    pub fn give_many(&mut self, spec: &JobSpec, tasks: u32) {
        let tasks = f64::from(tasks);
        self.cores += spec.cores * tasks;
        self.accelerators += spec.accelerators * tasks;
        self.mem_gb += spec.mem_gb * tasks;
    }

    pub fn give(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.accelerators += spec.accelerators;
        self.mem_gb += spec.mem_gb;
    }

    /// What is left when so much is taken.
    pub fn less(&self, taken: &Self) -> Self {
        Self {
            cores: self.cores - taken.cores,
            accelerators: self.accelerators - taken.accelerators,
            mem_gb: self.mem_gb - taken.mem_gb,
        }
    }

    /// Whether a task of a job fits.
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
        n.clamp(0.0, 1e6) as u32
    }
}
