//! Jobs bound to one zone: scale-out plans for the zone where they can run.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::ScriptedShard;
use super::scripted_workers::run_commands;
use crate::coordination::shard::RentalOutcome;
use crate::protocol::cloud::Rental;
use crate::protocol::users::JobSpec;

/// A machine of eight cores that is up.
fn machine(script: &mut ScriptedShard, id: &str, zone: &str) {
    let mut heartbeat = script.heartbeat_of(id, super::scripted_shard::TOKEN, Vec::new());
    heartbeat.zone = zone.into();
    script.receive(&heartbeat);
    script.reconcile();
}

fn bound(tasks: u32, cores: f64) -> JobSpec {
    JobSpec {
        one_zone: true,
        ..spec("blue", cores, tasks)
    }
}

/// The rentals asked for within a while; none is granted.
fn rentals(script: &mut ScriptedShard) -> Vec<Rental> {
    let mut rentals = Vec::new();
    for _ in 0..4 {
        script.advance(Duration::from_secs(1));
        for rental in script.rentals() {
            let none = RentalOutcome::Rented(Vec::new());
            script
                .shard
                .rental_answered(&rental.request, none, script.now);
            rentals.push(rental);
        }
        for id in ["vm-1", "vm-2"] {
            if script.shard.machines().contains(id) {
                let mut heartbeat = script.running_heartbeat(id);
                heartbeat.zone = script.machine(id).zone.to_string();
                script.shard.heartbeat(&heartbeat, script.now);
            }
        }
    }
    rentals
}

/// Found in review: free capacity for a part of the job in each of two zones counted as capacity for
/// all of it, and the tasks without capacity in the zone where the job had started waited for ever.
#[test]
fn free_capacity_in_another_zone_does_not_serve_a_started_one_zone_array() {
    let mut script = ScriptedShard::without_quotas();
    machine(&mut script, "vm-1", "north");
    script.submit("run-1", bound(3, 4.0));
    run_commands(&mut script, "vm-1");
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
    machine(&mut script, "vm-2", "south");
    let rentals = rentals(&mut script);
    assert!(
        !rentals.is_empty(),
        "there is no capacity for the third task"
    );
    let elsewhere = rentals.iter().find(|rental| rental.zone != "north");
    assert_eq!(elsewhere, None);
    assert!(script.machine("vm-2").load.idle());
}

/// Before the job has started, all of its capacity is planned in one zone.
#[test]
fn a_one_zone_array_is_planned_in_the_zone_with_most_free_capacity() {
    let mut script = ScriptedShard::without_quotas();
    machine(&mut script, "vm-1", "north");
    machine(&mut script, "vm-2", "south");
    script.submit("run-1", spec("blue", 4.0, 1));
    script.submit("run-2", bound(4, 4.0));
    for id in ["vm-1", "vm-2"] {
        run_commands(&mut script, id);
    }
    let zones: std::collections::BTreeSet<String> =
        rentals(&mut script).into_iter().map(|r| r.zone).collect();
    let host = script.shard.jobs()["run-2"].live().values().next().cloned();
    let host = host.expect("it has started");
    let zone = script.machine(&host).zone.to_string();
    assert_eq!(zones.into_iter().collect::<Vec<_>>(), [zone]);
}
