//! Jobs bound to one zone: their tasks run, and scale-out rents machines for them, in one zone
//! only.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::{ScriptedShard, TOKEN};
use super::scripted_workers::execute_commands;
use crate::coordination::shard::{CommandOutcome, HeartbeatOutcome, RentalOutcome};
use crate::protocol::cloud::Rental;
use crate::protocol::users::JobSpec;
use crate::protocol::workers::WorkerHeartbeat;

/// A batch job bound to one zone.
fn one_zone_job(tasks: u32, cores: f64) -> JobSpec {
    JobSpec {
        one_zone: true,
        ..spec("blue", cores, tasks)
    }
}

/// The rentals that the shard requests within four seconds; none is granted.
fn request_rentals(script: &mut ScriptedShard) -> Vec<Rental> {
    let mut rentals = Vec::new();
    for _ in 0..4 {
        script.advance(Duration::from_secs(1));
        for rental in script.take_rentals() {
            let no_machines = RentalOutcome::Rented(Vec::new());
            script
                .shard
                .rental_answered(&rental.request, no_machines, script.now);
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

/// Found in review: two zones each had free capacity for some tasks of the job, and together these
/// counted as capacity for the whole job. Tasks that did not fit into the zone where the job had
/// started waited forever.
#[test]
fn free_capacity_in_another_zone_does_not_serve_a_started_one_zone_job() {
    let mut script = ScriptedShard::without_quotas();
    script.add_machine("vm-1", "north");
    script.submit("run-1", one_zone_job(3, 4.0));
    execute_commands(&mut script, "vm-1");
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
    script.add_machine("vm-2", "south");
    let rentals = request_rentals(&mut script);
    assert!(
        !rentals.is_empty(),
        "there is no capacity for the third task"
    );
    let elsewhere = rentals.iter().find(|rental| rental.zone != "north");
    assert_eq!(elsewhere, None);
    assert!(script.machine("vm-2").load.is_idle());
}

/// Before the job has started, all of its capacity is planned in one zone.
#[test]
fn a_one_zone_job_is_planned_in_the_zone_with_most_free_capacity() {
    let mut script = ScriptedShard::without_quotas();
    script.add_machine("vm-1", "north");
    script.add_machine("vm-2", "south");
    script.submit("run-1", spec("blue", 4.0, 1));
    script.submit("run-2", one_zone_job(4, 4.0));
    for id in ["vm-1", "vm-2"] {
        execute_commands(&mut script, id);
    }
    let rental_zones: std::collections::BTreeSet<String> = request_rentals(&mut script)
        .into_iter()
        .map(|r| r.zone)
        .collect();
    let machine = script.shard.jobs()["run-2"]
        .live()
        .machines()
        .next()
        .cloned();
    let machine = machine.expect("run-2 has started");
    let job_zone = script.machine(&machine).zone.to_string();
    assert_eq!(rental_zones.into_iter().collect::<Vec<_>>(), [job_zone]);
}

/// A job bound to one zone loses the machine for which its zone was chosen, while other tasks of
/// the job run: the lost tasks restart in the same zone only.
#[test]
fn lost_tasks_of_a_one_zone_job_restart_in_its_zone_only() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    script.heartbeat("vm-2", Vec::new());
    script.submit("run-1", one_zone_job(3, 4.0));
    execute_commands(&mut script, "vm-1");
    let tasks_on = |script: &ScriptedShard, id: &str| script.machine(id).attempts.len();
    let (lost, other) = match tasks_on(&script, "vm-1") {
        1 => ("vm-1", "vm-2"),
        _ => ("vm-2", "vm-1"),
    };
    assert_eq!((tasks_on(&script, lost), tasks_on(&script, other)), (1, 2));
    // The zone `south` has free capacity.
    let mut south = script.heartbeat_of("vm-9", TOKEN, Vec::new());
    south.zone = "south".into();
    heartbeat_again(&mut script, &south);
    let tasks = script.running_heartbeat(other).tasks;
    script.heartbeat(other, tasks);
    // The machine with one task begins a new agent epoch.
    let mut restarted = script.heartbeat_of(lost, TOKEN, Vec::new());
    restarted.agent_epoch = 2;
    script.receive(&restarted);
    let launches = script.take_launches();
    assert!(
        launches.iter().all(|batch| &*batch.machine != "vm-9"),
        "two tasks of run-1 run in the zone north"
    );
    for batch in &launches {
        let heartbeat = script.heartbeat_of(&batch.machine, TOKEN, Vec::new());
        script.answer(batch, CommandOutcome::Refused(heartbeat));
    }
    script.advance(Duration::from_secs(1));
    heartbeat_again(&mut script, &south);
    assert_eq!(tasks_on(&script, "vm-9"), 0);
}

/// Delivers a heartbeat again with the next sequence number.
fn heartbeat_again(script: &mut ScriptedShard, heartbeat: &WorkerHeartbeat) {
    let mut heartbeat = heartbeat.clone();
    script.sequence += 1;
    heartbeat.sequence = script.sequence;
    let outcome = script.shard.heartbeat(&heartbeat, script.now);
    assert!(matches!(outcome, HeartbeatOutcome::Renew(_)));
    script.reconcile();
}
