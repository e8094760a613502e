//! Machines that boot slowly, together after they were rented twice, or never.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::{Action, RentalOutcome};
use crate::protocol::cloud::Rental;
use crate::protocol::users::{JobSpec, Priority};

/// The usual boot of these machines takes 10 s.
const USUAL_S: u64 = 10;

struct Rented {
    script: ScriptedShard,
    machines: Vec<(String, Rental)>,
    deleted: usize,
}

impl Rented {
    /// Tasks for ten machines, none of which is booted.
    fn for_work() -> Self {
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
    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.script.advance(Duration::from_secs(1));
            for rental in self.script.rentals() {
                self.grant(rental);
            }
            let all = self.script.actions.len();
            self.script
                .actions
                .retain(|a| !matches!(a, Action::Delete(_)));
            self.deleted += all - self.script.actions.len();
        }
    }

    fn grant(&mut self, rental: Rental) {
        let first = self.machines.len();
        let names: Vec<String> = (first..first + rental.count as usize)
            .map(|n| format!("vm-{n:03}"))
            .collect();
        for name in &names {
            self.machines.push((name.clone(), rental.clone()));
        }
        let rented = RentalOutcome::Rented(names);
        self.script
            .shard
            .rental_answered(&rental.request, rented, self.script.now);
        self.script.reconcile();
    }

    /// A machine boots; its worker sends a heartbeat.
    fn boot(&mut self, name: &str) {
        let (_, rental) = self
            .machines
            .iter()
            .find(|(id, _)| id == name)
            .expect("rented");
        let (zone, spot) = (rental.zone.clone(), rental.spot);
        let mut heartbeat = self.script.heartbeat_of(name, TOKEN, Vec::new());
        heartbeat.zone = zone;
        heartbeat.spot = spot;
        self.script.shard.heartbeat(&heartbeat, self.script.now);
        self.script.reconcile();
    }
}

/// Before, each machine was deleted after 70 s, and none ever booted.
#[test]
fn machines_that_all_boot_twenty_times_slower_are_awaited_in_the_end() {
    let mut rented = Rented::for_work();
    let mut booted = std::collections::BTreeSet::new();
    let mut most_rented = 0;
    for _ in 0..60 * USUAL_S {
        rented.pass(1);
        let machines = rented.script.shard.machines().values();
        let due = |rented: std::time::Instant| rented + Duration::from_secs(20 * USUAL_S);
        let now = rented.script.now;
        let present: Vec<_> = machines.filter(|m| !m.deleting).collect();
        most_rented = most_rented.max(present.len());
        let ready = present.into_iter().filter(|m| due(m.rented) <= now);
        let ready: Vec<String> = ready.map(|m| m.id.to_string()).collect();
        for name in ready {
            rented.boot(&name);
            booted.insert(name);
        }
    }
    assert_eq!(rented.script.shard.jobs()["run-1"].live().len(), 10);
    // Ten are wanted, in either of two zones, and as many again at the most.
    assert!(most_rented <= 40, "{most_rented} at a time");
    assert!(
        rented.machines.len() <= 80,
        "{} in all",
        rented.machines.len()
    );
}

#[test]
fn machines_that_never_boot_are_deleted() {
    let mut rented = Rented::for_work();
    rented.pass(1200);
    assert!(rented.deleted > 0);
}

#[test]
fn a_single_machine_that_does_not_boot_is_replaced_and_deleted() {
    let mut rented = Rented::for_work();
    rented.pass(1);
    let names: Vec<String> = rented
        .machines
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    rented.pass(USUAL_S);
    for name in &names[1..] {
        rented.boot(name);
    }
    rented.pass(2 * USUAL_S);
    assert_eq!(rented.machines.len(), 11, "one in its place");
    assert!(rented.script.machine(&names[0]).last_contact.is_none());
    // The others send heartbeats, so that only the one is unreachable.
    for _ in 0..5 * USUAL_S {
        for name in &names[1..] {
            let heartbeat = rented.script.running_heartbeat(name);
            rented.script.shard.heartbeat(&heartbeat, rented.script.now);
        }
        rented.pass(1);
    }
    let first = rented.script.shard.machines().get(&names[0]);
    assert!(first.is_none_or(|machine| machine.deleting));
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
    let mut rented = Rented::for_work();
    rented.pass(1);
    let first: Vec<String> = rented.machines.iter().map(|(n, _)| n.clone()).collect();
    for name in &first {
        rented.boot(name);
    }
    let zone = rented.script.machine(&first[0]).zone.clone();
    let more = JobSpec {
        spot: false,
        ..spec("blue", 8.0, 10)
    };
    rented.script.submit("run-2", more);
    // Longer than machines take to boot, and shorter than these are awaited.
    for _ in 0..65 {
        rented.pass(1);
        let machines = rented.script.shard.machines().values();
        let reachable = machines.filter(|machine| machine.zone != zone);
        let reachable: Vec<String> = reachable.map(|machine| machine.id.to_string()).collect();
        for name in reachable {
            let mut heartbeat = rented.script.running_heartbeat(&name);
            heartbeat.zone = rented.script.machine(&name).zone.to_string();
            rented.script.shard.heartbeat(&heartbeat, rented.script.now);
        }
    }
    let now = rented.script.now;
    let shard = &rented.script.shard;
    let awaited = shard.machines().values();
    let awaited = awaited.filter(|m| m.zone == zone && m.last_contact.is_none());
    assert!(awaited.count() >= 3);
    assert!(shard.unreachable_zones(now).contains(&zone));
    assert_eq!(shard.autoscaler.boot_slowness("m8", &zone, now), 1.0);
}
