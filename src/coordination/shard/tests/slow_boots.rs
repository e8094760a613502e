//! Machines that boot slowly, that boot together after replacements for them were rented, or that
//! never boot.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::RentalOutcome;
use crate::protocol::cloud::Rental;
use crate::protocol::users::{JobSpec, Priority};

/// How long machines of the test type usually take to boot, from rental to first heartbeat.
const USUAL_BOOT_S: u64 = 10;

/// A rented machine, booted or not, and the request that rented it.
struct RentedMachine {
    name: String,
    rental: Rental,
}

/// A shard in a cloud that grants all rentals. Machines boot only when a test boots them.
struct BootingCluster {
    script: ScriptedShard,
    machines: Vec<RentedMachine>,
    /// The number of deletions that the shard has decided.
    deleted: usize,
}

impl BootingCluster {
    /// A cluster without machines, and a job of ten tasks that each fill a machine.
    fn with_job() -> Self {
        let mut script = ScriptedShard::without_quotas();
        let job = JobSpec {
            spot: false,
            ..spec("blue", 8.0, 10)
        };
        script.submit("run-1", job);
        Self {
            script,
            machines: Vec::new(),
            deleted: 0,
        }
    }

    /// Advances the clock second by second; the cloud grants all rentals that the shard requests.
    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.script.advance(Duration::from_secs(1));
            for rental in self.script.take_rentals() {
                self.grant(rental);
            }
            self.deleted += self.script.take_deletions();
        }
    }

    /// Adds the machines of a rental and answers the request.
    fn grant(&mut self, rental: Rental) {
        let first = self.machines.len();
        let names: Vec<String> = (first..first + rental.count as usize)
            .map(|n| format!("vm-{n:03}"))
            .collect();
        for name in &names {
            self.machines.push(RentedMachine {
                name: name.clone(),
                rental: rental.clone(),
            });
        }
        let outcome = RentalOutcome::Rented(names);
        self.script
            .shard
            .rental_answered(&rental.request, outcome, self.script.now);
        self.script.reconcile();
    }

    /// Boots a machine: its worker sends a first heartbeat.
    fn boot(&mut self, name: &str) {
        let mut machines = self.machines.iter();
        let machine = machines.find(|machine| machine.name == name);
        let rental = &machine.expect("a rented machine").rental;
        let mut heartbeat = self.script.heartbeat_of(name, TOKEN, Vec::new());
        heartbeat.zone = rental.zone.clone();
        heartbeat.spot = rental.spot;
        self.script.receive(&heartbeat);
    }
}

/// A fault of the past: each machine was deleted 70 s after its rental, so that none ever booted.
#[test]
fn machines_that_all_boot_twenty_times_slower_are_eventually_awaited() {
    let mut cluster = BootingCluster::with_job();
    let mut booted = std::collections::BTreeSet::new();
    let mut max_present = 0;
    for _ in 0..60 * USUAL_BOOT_S {
        cluster.advance(1);
        let machines = cluster.script.shard.machines().values();
        let booted_at =
            |rented: std::time::Instant| rented + Duration::from_secs(20 * USUAL_BOOT_S);
        let now = cluster.script.now;
        let present: Vec<_> = machines.filter(|m| !m.is_deleting()).collect();
        max_present = max_present.max(present.len());
        let ready = present.into_iter().filter(|m| booted_at(m.rented) <= now);
        let ready: Vec<String> = ready.map(|m| m.id.to_string()).collect();
        for name in ready {
            cluster.boot(&name);
            booted.insert(name);
        }
    }
    assert_eq!(cluster.script.shard.jobs()["run-1"].live().len(), 10);
    // At most ten machines are rented in each of two zones, and as many again to replace them.
    assert!(max_present <= 40, "{max_present} machines at a time");
    assert!(
        cluster.machines.len() <= 80,
        "{} machines in total",
        cluster.machines.len()
    );
}

#[test]
fn machines_that_never_boot_are_deleted() {
    let mut cluster = BootingCluster::with_job();
    cluster.advance(1200);
    assert!(cluster.deleted > 0);
}

#[test]
fn a_single_machine_that_does_not_boot_is_replaced_and_deleted() {
    let mut cluster = BootingCluster::with_job();
    cluster.advance(1);
    let names: Vec<String> = cluster
        .machines
        .iter()
        .map(|machine| machine.name.clone())
        .collect();
    cluster.advance(USUAL_BOOT_S);
    for name in &names[1..] {
        cluster.boot(name);
    }
    cluster.advance(2 * USUAL_BOOT_S);
    assert_eq!(cluster.machines.len(), 11, "one machine replaces vm-000");
    assert!(cluster.script.machine(&names[0]).last_contact.is_none());
    // The other machines send heartbeats, so that only the first one is unreachable.
    for _ in 0..5 * USUAL_BOOT_S {
        for name in &names[1..] {
            let heartbeat = cluster.script.running_heartbeat(name);
            cluster
                .script
                .shard
                .heartbeat(&heartbeat, cluster.script.now);
        }
        cluster.advance(1);
    }
    let first = cluster.script.shard.machines().get(&names[0]);
    assert!(first.is_none_or(|machine| machine.is_deleting()));
}

/// Best-effort jobs without a deadline use free capacity: on-demand machines are rented only for
/// the first start of such a job, however long its other tasks wait.
#[test]
fn best_effort_jobs_without_deadline_rent_no_on_demand_machines_beyond_their_start() {
    let mut script = ScriptedShard::without_quotas();
    let best_effort = JobSpec {
        priority: Priority::BestEffort,
        ..spec("blue", 8.0, 10)
    };
    script.heartbeat("vm-1", Vec::new());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", best_effort);
    let mut on_demand_rented = 0;
    for _ in 0..1000 {
        for batch in script.take_batches() {
            let heartbeat = script.running_heartbeat(&batch.machine);
            script.answer(
                &batch,
                crate::coordination::shard::CommandOutcome::Executed(heartbeat),
            );
        }
        let heartbeat = script.running_heartbeat("vm-1");
        script.shard.heartbeat(&heartbeat, script.now);
        script.advance(Duration::from_secs(1));
        for rental in script.take_rentals() {
            on_demand_rented += u32::from(!rental.spot);
            let no_capacity = RentalOutcome::NoCapacity;
            script
                .shard
                .rental_answered(&rental.request, no_capacity, script.now);
        }
    }
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 1);
    assert_eq!(on_demand_rented, 0);
}

/// A zone is partitioned while machines boot there. These machines may have booted unseen, so that
/// their missing heartbeats do not count as slow boots.
#[test]
fn machines_booting_in_an_unreachable_zone_do_not_count_as_slow_boots() {
    let mut cluster = BootingCluster::with_job();
    cluster.advance(1);
    let names: Vec<String> = cluster
        .machines
        .iter()
        .map(|machine| machine.name.clone())
        .collect();
    for name in &names {
        cluster.boot(name);
    }
    let zone = cluster.script.machine(&names[0]).zone.clone();
    let second_job = JobSpec {
        spot: false,
        ..spec("blue", 8.0, 10)
    };
    cluster.script.submit("run-2", second_job);
    // 65 s is longer than machines take to boot, and shorter than the shard waits for these
    // machines.
    for _ in 0..65 {
        cluster.advance(1);
        let machines = cluster.script.shard.machines().values();
        let reachable = machines.filter(|machine| machine.zone != zone);
        let reachable: Vec<String> = reachable.map(|machine| machine.id.to_string()).collect();
        for name in reachable {
            let mut heartbeat = cluster.script.running_heartbeat(&name);
            heartbeat.zone = cluster.script.machine(&name).zone.to_string();
            cluster
                .script
                .shard
                .heartbeat(&heartbeat, cluster.script.now);
        }
    }
    let now = cluster.script.now;
    let shard = &cluster.script.shard;
    let awaited = shard.machines().values();
    let awaited = awaited.filter(|m| m.zone == zone && m.last_contact.is_none());
    assert!(awaited.count() >= 3);
    assert!(shard.unreachable_zones(now).contains(&zone));
    assert_eq!(shard.autoscaler.boot_slowness("m8", &zone, now), 1.0);
}
