//! Jobs bound to one zone: their room is planned in the zone where they can run.

use std::time::Duration;

use super::fixtures::spec;
use super::script::{Script, obey};
use crate::coordination::shard::RentalOutcome;
use crate::protocol::cloud::Rental;
use crate::protocol::users::JobSpec;

/// A machine of eight cores that is up.
fn machine(script: &mut Script, id: &str, zone: &str) {
    let mut heartbeat = script.heartbeat_of(id, super::script::TOKEN, Vec::new());
    heartbeat.zone = zone.into();
    script.shard.heartbeat(&heartbeat, script.now);
    script.reconcile();
    script.reconcile();
}

fn bound(tasks: u32, cores: f64) -> JobSpec {
    JobSpec {
        one_zone: true,
        ..spec("blue", cores, tasks)
    }
}

/// The rentals asked for within a while; none is granted.
fn rentals(script: &mut Script) -> Vec<Rental> {
    let mut rentals = Vec::new();
    for _ in 0..4 {
        script.pass(Duration::from_secs(1));
        for rental in script.rentals() {
            let none = RentalOutcome::Rented(Vec::new());
            script
                .shard
                .rental_answered(&rental.request, none, script.now);
            rentals.push(rental);
        }
        for id in ["vm-1", "vm-2"] {
            if script.shard.machines().contains(id) {
                let mut heartbeat = script.running(id);
                heartbeat.zone = script.machine(id).zone.to_string();
                script.shard.heartbeat(&heartbeat, script.now);
            }
        }
    }
    rentals
}

/// Found by reading: room for a part of the job in each of two zones counted as room
/// for all of it, and what had none where the job had begun waited for ever.
#[test]
fn room_in_another_zone_is_no_room_for_an_array_that_has_begun() {
    let mut script = Script::without_guarantees();
    machine(&mut script, "vm-1", "north");
    script.submit("run-1", bound(3, 4.0));
    obey(&mut script, "vm-1");
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
    machine(&mut script, "vm-2", "south");
    let rentals = rentals(&mut script);
    assert!(!rentals.is_empty(), "the third task has no room");
    let elsewhere = rentals.iter().find(|rental| rental.zone != "north");
    assert_eq!(elsewhere, None);
    assert!(script.machine("vm-2").load.idle());
}

/// Before it has begun, all of its room is planned in one zone: the one that has most
/// of it.
#[test]
fn an_array_bound_to_one_zone_is_planned_for_where_most_room_is() {
    let mut script = Script::without_guarantees();
    machine(&mut script, "vm-1", "north");
    machine(&mut script, "vm-2", "south");
    script.submit("run-1", spec("blue", 4.0, 1));
    script.submit("run-2", bound(4, 4.0));
    for id in ["vm-1", "vm-2"] {
        obey(&mut script, id);
    }
    let zones: std::collections::BTreeSet<String> =
        rentals(&mut script).into_iter().map(|r| r.zone).collect();
    let begun = script.shard.jobs()["run-2"].live().values().next().cloned();
    let begun = begun.expect("it has begun");
    let zone = script.machine(&begun).zone.to_string();
    assert_eq!(zones.into_iter().collect::<Vec<_>>(), [zone]);
}
