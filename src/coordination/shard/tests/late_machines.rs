//! New machines come late, all at once after being ordered twice, or never.

use std::time::Duration;

use super::fixtures::spec;
use super::script::{Script, TOKEN};
use crate::coordination::shard::{Action, RentalOutcome};
use crate::protocol::cloud::Rental;
use crate::protocol::users::{JobSpec, Priority};

/// The usual boot of these machines takes 10 s.
const USUAL_S: u64 = 10;

struct Rented {
    script: Script,
    machines: Vec<(String, Rental)>,
    deleted: usize,
}

impl Rented {
    /// Work for ten machines, of which none is up.
    fn for_work() -> Self {
        let mut script = Script::without_guarantees();
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

    /// Time passes in which the cloud grants all that is asked for.
    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.script.pass(Duration::from_secs(1));
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

    /// A machine comes up; its worker heartbeats.
    fn come_up(&mut self, name: &str) {
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

/// Before, each machine was given back after 70 s, and none ever came up.
#[test]
fn machines_that_all_come_twenty_times_as_late_are_waited_for_at_last() {
    let mut rented = Rented::for_work();
    let mut up = std::collections::BTreeSet::new();
    let mut most_out = 0;
    for _ in 0..60 * USUAL_S {
        rented.pass(1);
        let machines = rented.script.shard.machines().values();
        let due = |rented: std::time::Instant| rented + Duration::from_secs(20 * USUAL_S);
        let now = rented.script.now;
        let out: Vec<_> = machines.filter(|m| !m.deleting).collect();
        most_out = most_out.max(out.len());
        let ready = out.into_iter().filter(|m| due(m.rented) <= now);
        let ready: Vec<String> = ready.map(|m| m.id.to_string()).collect();
        for name in ready {
            rented.come_up(&name);
            up.insert(name);
        }
    }
    assert_eq!(rented.script.shard.jobs()["run-1"].live().len(), 10);
    // Ten are wanted, in either of two zones, and as many again at the most.
    assert!(most_out <= 40, "{most_out} at a time");
    assert!(
        rented.machines.len() <= 80,
        "{} in all",
        rented.machines.len()
    );
}

#[test]
fn machines_that_never_come_up_are_given_back_at_last() {
    let mut rented = Rented::for_work();
    rented.pass(1200);
    assert!(rented.deleted > 0);
}

#[test]
fn a_machine_that_alone_does_not_come_up_is_soon_replaced_and_given_back() {
    let mut rented = Rented::for_work();
    rented.pass(1);
    let names: Vec<String> = rented
        .machines
        .iter()
        .map(|(name, _)| name.clone())
        .collect();
    rented.pass(USUAL_S);
    for name in &names[1..] {
        rented.come_up(name);
    }
    rented.pass(2 * USUAL_S);
    assert_eq!(rented.machines.len(), 11, "one in its place");
    assert!(rented.script.machine(&names[0]).last_contact.is_none());
    // Heartbeats of the others go on, so that only the one is silent.
    for _ in 0..5 * USUAL_S {
        for name in &names[1..] {
            let heartbeat = rented.script.running(name);
            rented.script.shard.heartbeat(&heartbeat, rented.script.now);
        }
        rented.pass(1);
    }
    let first = rented.script.shard.machines().get(&names[0]);
    assert!(first.is_none_or(|machine| machine.deleting));
}

/// Best-effort work fills what is there: full-price machines wait for its first start
/// alone, though hours have passed.
#[test]
fn best_effort_work_without_a_time_rents_no_full_price_machines_beyond_its_start() {
    let mut script = Script::without_guarantees();
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
            let heartbeat = script.running(&batch.0);
            script.answered(
                &batch,
                crate::coordination::shard::CommandOutcome::Executed(heartbeat),
            );
        }
        let heartbeat = script.running("vm-1");
        script.shard.heartbeat(&heartbeat, script.now);
        script.pass(Duration::from_secs(1));
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

/// A zone is cut off just as machines boot there: these may be up, and say nothing of how
/// long others attempt_number.
#[test]
fn machines_that_are_awaited_in_a_silent_zone_are_no_trouble_with_boots() {
    let mut rented = Rented::for_work();
    rented.pass(1);
    let first: Vec<String> = rented.machines.iter().map(|(n, _)| n.clone()).collect();
    for name in &first {
        rented.come_up(name);
    }
    let zone = rented.script.machine(&first[0]).zone.clone();
    let more = JobSpec {
        spot: false,
        ..spec("blue", 8.0, 10)
    };
    rented.script.submit("run-2", more);
    // Longer than arrivals show that machines come up, and less than these are waited for.
    for _ in 0..65 {
        rented.pass(1);
        let machines = rented.script.shard.machines().values();
        let last_contact = machines.filter(|machine| machine.zone != zone);
        let last_contact: Vec<String> =
            last_contact.map(|machine| machine.id.to_string()).collect();
        for name in last_contact {
            let mut heartbeat = rented.script.running(&name);
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
