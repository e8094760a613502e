//! The simulated cloud, which rents out, boots, lists and deletes machines.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::Simulation;
use super::network::{Boot, Message};
use super::worker::Worker;
use crate::coordination::shard::RentalOutcome;
use crate::protocol::MachineId;
use crate::protocol::cloud::{ListedMachine, MachineState, Rental};

/// The total number of machines that the cloud can rent out.
const MACHINE_CAPACITY: usize = 6;
/// How long a machine takes to boot, in milliseconds.
const BOOT_TIME_MS: std::ops::Range<u64> = 1000..15_000;

#[derive(Default)]
pub(super) struct Cloud {
    /// By request name, the machines rented for it, so that a repeated request rents no more.
    rented: BTreeMap<String, Vec<String>>,
    last_machine_number: u64,
}

impl Cloud {
    fn next_machine_name(&mut self) -> String {
        self.last_machine_number += 1;
        format!("vm-{:06}", self.last_machine_number)
    }
}

impl Simulation {
    pub(super) fn rent_machines(&mut self, leader: u64, rental: Rental) {
        let names = match self.cloud.rented.get(&rental.request) {
            Some(names) => names.clone(),
            None => self.rent_new_machines(&rental),
        };
        let outcome = if self.rng.random_bool(self.faults.loss) {
            RentalOutcome::Unknown
        } else if names.is_empty() {
            RentalOutcome::NoCapacity
        } else {
            RentalOutcome::Rented(names)
        };
        self.send(Message::RentalAnswer {
            leader,
            request: rental.request,
            outcome,
        });
    }

    fn rent_new_machines(&mut self, rental: &Rental) -> Vec<String> {
        let free = MACHINE_CAPACITY.saturating_sub(self.workers.len());
        let count = rental.count.min(free as u32);
        let names: Vec<String> = (0..count).map(|_| self.cloud.next_machine_name()).collect();
        for id in &names {
            let boot_time = Duration::from_millis(self.rng.random_range(BOOT_TIME_MS));
            let boot = Boot {
                id: id.clone(),
                zone: rental.zone.clone(),
                spot: rental.spot,
            };
            self.send_after(boot_time, Message::Boot(boot));
        }
        if !names.is_empty() {
            let request = rental.request.clone();
            self.cloud.rented.insert(request, names.clone());
        }
        names
    }

    pub(super) fn boot_machine(&mut self, boot: &Boot) {
        let worker = Worker::boot(boot, self.now);
        self.workers.insert(boot.id.clone(), worker);
    }

    pub(super) fn delete_machines(&mut self, leader: u64, machines: Vec<MachineId>) {
        for id in &machines {
            self.workers.remove(&**id);
        }
        self.send(Message::Deleted { leader, machines });
    }

    /// Hands the leader a list of the cloud's machines.
    pub(super) fn list_machines(&mut self) {
        let to_listed = |worker: &Worker| ListedMachine {
            id: worker.id.clone(),
            addr: "10.0.0.1:9000".into(),
            machine_type: "m8".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            state: MachineState::Running,
            age_s: 60.0,
        };
        let list: Vec<ListedMachine> = self.workers.values().map(to_listed).collect();
        let now = self.now;
        self.apply_to_leader(|shard| shard.apply_machine_list(&list, now));
    }

    /// The machines that have booted and are not deleted.
    pub(crate) fn machines(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }
}
