//! Tests of gang placement: a gang is placed as a whole, within its quota limit and its zone.

use std::collections::BTreeSet;

use super::super::fixtures::{machine_types, spec};
use super::super::scripted_shard::ScriptedShard;
use super::super::scripted_workers::execute_commands;
use super::{gang, seconds};
use crate::coordination::shard::RentalOutcome;
use crate::protocol::MachineId;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, JobStage, Priority};
use crate::protocol::workers::{AttemptOutcome, TaskState};

#[test]
fn a_gang_is_launched_whole_under_one_attempt_number_or_not_at_all() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1"]);
    script.submit("run-1", gang(4, 3.0));
    assert_eq!(
        script.execute_launches(),
        [],
        "there is capacity for two of the four tasks"
    );
    script.add_machines(&["vm-2"]);
    let launches = script.execute_launches();
    let tasks: BTreeSet<u32> = launches.iter().map(|launch| launch.task).collect();
    let attempts: BTreeSet<u64> = launches.iter().map(|launch| launch.attempt).collect();
    assert_eq!((tasks.len(), attempts.len()), (4, 1));
}

#[test]
fn a_gang_counts_as_a_whole_towards_its_teams_quota_limit() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2", "vm-3"]);
    let limited = |tasks| JobSpec {
        team: "red".into(),
        ..gang(tasks, 4.0)
    };
    // The team's limit is 16 cores: a gang of 12 cores leaves too few for a gang of 8.
    script.submit("run-1", limited(3));
    assert_eq!(script.execute_launches().len(), 3);
    script.submit("run-2", limited(2));
    assert_eq!(script.execute_launches(), []);
    script
        .shard
        .job_finished("run-1", Some(JobStage::Cancelled));
    script.reconcile();
    assert_eq!(script.execute_stops().len(), 3);
    for id in ["vm-1", "vm-2", "vm-3"] {
        if !script.machine(id).attempts.is_empty() {
            script.report_all_ended(id, AttemptOutcome::Stopped);
        }
    }
    assert_eq!(script.execute_launches().len(), 2);
}

#[test]
fn a_gang_bound_to_one_zone_is_placed_where_all_of_it_fits() {
    let mut script = ScriptedShard::empty();
    script.add_machine("vm-1", "north");
    script.add_machine("vm-2", "south");
    script.add_machine("vm-3", "south");
    let bound = JobSpec {
        one_zone: true,
        ..gang(3, 5.0)
    };
    script.submit("run-1", bound.clone());
    assert_eq!(
        script.execute_launches(),
        [],
        "only all zones together have capacity for three tasks"
    );
    script.submit("run-2", JobSpec { tasks: 2, ..bound });
    let machines: Vec<String> = script
        .execute_launches()
        .into_iter()
        .map(|launch| launch.machine)
        .collect();
    assert_eq!(machines, ["vm-2", "vm-3"]);
}

/// Two gangs wait, and there is capacity for one. Capacity that is freed is reserved for the first
/// gang, so that small jobs behind it in the queue cannot use it.
#[test]
fn capacity_is_reserved_for_a_gang_that_small_jobs_would_starve() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2"]);
    script.submit("run-1", spec("blue", 4.0, 4));
    execute_commands(&mut script, "vm-1");
    script.submit("run-2", gang(2, 8.0));
    script.submit("run-3", gang(2, 8.0));
    script.submit("run-4", spec("blue", 4.0, 8));
    assert_eq!(script.execute_launches(), []);
    script.advance(seconds(4));
    // One machine becomes free, then the other one.
    for (id, expected) in [("vm-1", 0), ("vm-2", 2)] {
        script.report_all_ended(id, AttemptOutcome::Done);
        let launches = script.execute_launches();
        assert_eq!(launches.len(), expected, "{id}: {launches:?}");
    }
    let placed: Vec<_> = script.shard.jobs()["run-2"].live().machines().collect();
    assert_eq!(placed.len(), 2);
    assert!(script.shard.jobs()["run-3"].live().is_empty());
}

/// Preempting tasks to make room for only a part of a gang would lose their work for nothing.
#[test]
fn tasks_are_preempted_for_a_whole_gang_or_not_at_all() {
    for (machines, preempted) in [(1, 0), (2, 2)] {
        let mut script = ScriptedShard::empty();
        script.add_machines(&["vm-1", "vm-2"][..machines]);
        let lower_priority = JobSpec {
            priority: Priority::BestEffort,
            ..spec("blue", 8.0, machines as u32)
        };
        script.submit("run-1", lower_priority);
        execute_commands(&mut script, "vm-1");
        script.submit("run-2", gang(2, 8.0));
        assert_eq!(script.execute_stops().len(), preempted);
    }
}

/// Two gangs have each lost a task before they started, and there is capacity for one replacement.
/// The gang without a replacement must not keep its machine forever.
#[test]
fn of_two_gangs_waiting_for_the_same_capacity_one_starts_and_one_releases_its_machine() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2", "vm-3", "vm-4"]);
    script.submit("run-1", gang(2, 8.0));
    script.submit("run-2", gang(2, 8.0));
    let launches = script.execute_launches();
    assert_eq!(launches.len(), 4);
    let hosts: Vec<String> = launches
        .iter()
        .map(|launch| launch.machine.clone())
        .collect();
    for id in &hosts {
        script.report_all_in_state(id, TaskState::Waiting);
    }
    // Each gang loses one machine, and one new machine joins.
    let host_of_first = |(index, host): (u32, &MachineId)| (index == 0).then(|| host.clone());
    let lost = ["run-1", "run-2"].map(|job| {
        let mut hosts = script.shard.jobs()[job].live().iter();
        hosts
            .find_map(host_of_first)
            .expect("its first task is live")
    });
    script.shard.deletion_answered(&lost, true, script.now);
    script.advance(seconds(1));
    script.add_machines(&["vm-5"]);
    assert_eq!(script.execute_launches().len(), 1);
    // Waiting tasks wait no longer than a replacement may take to start.
    let remaining: Vec<&String> = hosts
        .iter()
        .filter(|id| !lost.iter().any(|l| **l == ***id))
        .collect();
    for _ in 0..40 {
        script.advance(seconds(1));
        for id in remaining.iter().map(|id| id.as_str()).chain(["vm-5"]) {
            let heartbeat = script.recorded_heartbeat(id);
            script.shard.heartbeat(&heartbeat, script.now);
        }
        script.execute_stops();
    }
    let holds_attempt = |id: &&&String| {
        let mut attempts = script.machine(id).attempts.values();
        attempts.any(|attempt| attempt.stop_grace().is_none())
    };
    assert_eq!(
        remaining.iter().filter(holds_attempt).count(),
        1,
        "one gang has released its machine"
    );
}

/// Found in a run with a failover: machines that needed another 40 s to boot counted as capacity
/// for gangs that had to start within 12 s, so that no machine that boots in 15 s was rented.
#[test]
fn a_gang_does_not_wait_for_a_machine_that_boots_too_late() {
    let quick_booting = MachineType {
        startup_s: 10.0,
        price: 4.0,
        name: "quick".into(),
        ..machine_types().remove(0)
    };
    let slow_booting = MachineType {
        startup_s: 60.0,
        ..machine_types().remove(0)
    };
    let mut script = ScriptedShard::without_quotas();
    let job = gang(1, 8.0);
    script.shard.policy.start_objectives = [(job.class.clone(), seconds(40))].into();
    script
        .shard
        .set_machine_types(std::slice::from_ref(&slow_booting));
    script.submit("run-1", job);
    script.advance(seconds(1));
    let rented = grant_rentals(&mut script);
    assert_eq!(rented, ["m8"], "there is no other type");
    script
        .shard
        .set_machine_types(&[slow_booting, quick_booting]);
    script.advance(seconds(1));
    assert_eq!(grant_rentals(&mut script), ["quick"]);
}

/// Answers all rentals requested since the last call with a machine; returns their machine types.
fn grant_rentals(script: &mut ScriptedShard) -> Vec<String> {
    let mut types = Vec::new();
    for rental in script.take_rentals() {
        let name = format!("vm-{}", rental.request);
        let granted = RentalOutcome::Rented(vec![name]);
        script
            .shard
            .rental_answered(&rental.request, granted, script.now);
        types.push(rental.machine_type);
    }
    types
}
