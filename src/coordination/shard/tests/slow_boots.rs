//! Machines that boot slowly, together after they were rented twice, or never.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::RentalOutcome;
use crate::protocol::cloud::Rental;
use crate::protocol::users::{JobSpec, Priority};

/// How long these machines usually take to boot.
const USUAL_BOOT_S: u64 = 10;

/// A machine that was rented, and may not be booted yet.
struct RentedMachine {
    name: String,
    rental: Rental,
}

/// A shard in a cloud that grants all rentals, and whose machines boot when a test says.
struct BootingCluster {
    script: ScriptedShard,
    machines: Vec<RentedMachine>,
    deleted: usize,
}

impl BootingCluster {
    /// Tasks for ten machines, none of which is booted.
    fn with_job() -> Self {
        let mut script = ScriptedShard::without_quotas();
        let urgent = JobSpec {
            spot: false,
            ..spec("blue", 8.0, 10)
        };
        script.submit("run-1", urgent);
        Self {
            script,
            machines: Vec::new(),
            deleted: 0,
        }
    }

    /// Lets time pass, in which the cloud rents all machines that are asked for.
    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.script.advance(Duration::from_secs(1));
            for rental in self.script.rentals() {
                self.grant(rental);
            }
            self.deleted += self.script.deletions();
        }
    }

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
        let rented = RentalOutcome::Rented(names);
        self.script
            .shard
            .rental_answered(&rental.request, rented, self.script.now);
        self.script.reconcile();
    }

    /// A machine boots; its worker sends a heartbeat.
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

/// Before, each machine was deleted after 70 s, and none ever booted.
#[test]
fn machines_that_all_boot_twenty_times_slower_are_awaited_in_the_end() {
    let mut cluster = BootingCluster::with_job();
    let mut booted = std::collections::BTreeSet::new();
    let mut most_rented = 0;
    for _ in 0..60 * USUAL_BOOT_S {
        cluster.advance(1);
        let machines = cluster.script.shard.machines().values();
        let due = |rented: std::time::Instant| rented + Duration::from_secs(20 * USUAL_BOOT_S);
        let now = cluster.script.now;
        let present: Vec<_> = machines.filter(|m| !m.is_deleting()).collect();
        most_rented = most_rented.max(present.len());
        let ready = present.into_iter().filter(|m| due(m.rented) <= now);
        let ready: Vec<String> = ready.map(|m| m.id.to_string()).collect();
        for name in ready {
            cluster.boot(&name);
            booted.insert(name);
        }
    }
    assert_eq!(cluster.script.shard.jobs()["run-1"].live().len(), 10);
    // Ten are wanted, in either of two zones, and as many again at the most.
    assert!(most_rented <= 40, "{most_rented} at a time");
    assert!(
        cluster.machines.len() <= 80,
        "{} in all",
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
    assert_eq!(cluster.machines.len(), 11, "one in its place");
    assert!(cluster.script.machine(&names[0]).last_contact.is_none());
    // The others send heartbeats, so that only the one is unreachable.
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

/// Best-effort jobs use free capacity: full-price machines are rented for their first start only,
/// however long they wait.
#[test]
fn best_effort_jobs_without_deadline_rent_no_full_price_machines_beyond_their_start() {
    let mut script = ScriptedShard::without_quotas();
    let idle_time = JobSpec {
        priority: Priority::BestEffort,
        ..spec("blue", 8.0, 10)
    };
    script.heartbeat("vm-1", Vec::new());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", idle_time);
    let mut ordinary = 0;
    for _ in 0..1000 {
        for batch in script.batches() {
            let heartbeat = script.running_heartbeat(&batch.machine);
            script.answer(
                &batch,
                crate::coordination::shard::CommandOutcome::Executed(heartbeat),
            );
        }
        let heartbeat = script.running_heartbeat("vm-1");
        script.shard.heartbeat(&heartbeat, script.now);
        script.advance(Duration::from_secs(1));
        for rental in script.rentals() {
            ordinary += u32::from(!rental.spot);
            let none = RentalOutcome::NoCapacity;
            script
                .shard
                .rental_answered(&rental.request, none, script.now);
        }
    }
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 1);
    assert_eq!(ordinary, 0);
}

/// A zone is partitioned while machines boot there: these may be booted, and are no measure of how
/// long others take.
#[test]
fn machines_booting_in_an_unreachable_zone_do_not_count_as_slow_boots() {
    let mut cluster = BootingCluster::with_job();
    cluster.advance(1);
    let first: Vec<String> = cluster
        .machines
        .iter()
        .map(|machine| machine.name.clone())
        .collect();
    for name in &first {
        cluster.boot(name);
    }
    let zone = cluster.script.machine(&first[0]).zone.clone();
    let more = JobSpec {
        spot: false,
        ..spec("blue", 8.0, 10)
    };
    cluster.script.submit("run-2", more);
    // Longer than machines take to boot, and shorter than these are awaited.
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
