//! Random days in the stand-in simulation, at a fixed set of seeds.

use std::time::Duration;

use rand::Rng;

use super::fixtures::{WORKER_LEASE, spec};
use super::simulation::Simulation;
use crate::protocol::users::{JobKind, Priority};

const SEEDS: u64 = 64;

/// A day of submissions, cancels, crashes, cuts, hangs and deaths.
fn play(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.elect_leader();
    let mut submitted = 0_u32;
    for _ in 0..60 {
        let lucky: f64 = simulation.rng.random();
        if lucky < 0.35 {
            let mut job = spec(
                if simulation.rng.random_bool(0.6) {
                    "red"
                } else {
                    "blue"
                },
                f64::from(simulation.rng.random_range(1_u32..4)),
                simulation.rng.random_range(1..9),
            );
            job.one_zone = simulation.rng.random_bool(0.2);
            job.scatter = !job.one_zone && simulation.rng.random_bool(0.3);
            job.spot = simulation.rng.random_bool(0.5);
            if simulation.rng.random_bool(0.25) {
                job.kind = JobKind::Service;
                job.duration_s = 0.0;
                job.tasks = 1 + job.tasks % 2;
            } else if simulation.rng.random_bool(0.3) {
                job.kind = JobKind::Gang;
                job.tasks = 2 + job.tasks % 3;
                job.cores = 1.0;
            }
            submitted += 1;
            simulation.submit(&format!("run-{submitted:06}"), job);
        } else if lucky < 0.5 {
            let open = simulation.open_jobs();
            if !open.is_empty() {
                let at = simulation.rng.random_range(0..open.len());
                simulation.cancel(&open[at]);
            }
        } else if lucky < 0.62 {
            // Sometimes a quick change, sometimes a while without a leader.
            simulation.crash_leader();
            let gap = if simulation.rng.random_bool(0.5) {
                1
            } else {
                9_000
            };
            simulation.run(Duration::from_millis(gap));
            simulation.elect_leader();
        } else if lucky < 0.9 {
            let machines = simulation.machines();
            if !machines.is_empty() {
                let id = &machines[simulation.rng.random_range(0..machines.len())];
                let time = Duration::from_millis(simulation.rng.random_range(2_000..60_000));
                match simulation.rng.random_range(0..6) {
                    0 => simulation.hang(id, time),
                    1 => simulation.kill(id),
                    2 => simulation.block_inbound(id, time),
                    3 => simulation.block_outbound(id, time),
                    _ => simulation.partition(id, time),
                }
            }
        } else if lucky < 0.93 {
            let time = Duration::from_millis(simulation.rng.random_range(1_000..40_000));
            simulation.start_store_outage(time);
        } else if lucky < 0.96 {
            simulation.cancel_completed_job();
        }
        let pause = Duration::from_millis(simulation.rng.random_range(300..8_000));
        simulation.run(pause);
    }
    simulation
}

#[test]
fn no_rule_breaks_on_random_days() {
    let (mut starts, mut gangs) = (0, 0);
    for seed in 0..SEEDS {
        let simulation = play(seed);
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {:?}",
            simulation.violations
        );
        starts += simulation.counts.task_starts;
        gangs += simulation.counts.gang_starts;
    }
    assert!(
        starts > 500,
        "only {starts} tasks started: the days test nothing"
    );
    assert!(gangs > 100, "only {gangs} gangs started");
}

#[test]
fn all_work_ends_once_the_trouble_is_over() {
    for seed in 100..112 {
        let mut simulation = play(seed);
        simulation.end_faults();
        let standing = simulation.cancel_services();
        simulation.run(Duration::from_secs(600));
        assert_eq!(
            simulation.open_jobs(),
            Vec::<String>::new(),
            "seed {seed}: unfinished after {standing} services were cancelled"
        );
        assert!(
            simulation.violations.is_empty(),
            "seed {seed}: {:?}",
            simulation.violations
        );
    }
}

/// Ends a simulation's troubles and sees that all work in it ends too.
fn settles(mut simulation: Simulation, what: &str) {
    simulation.end_faults();
    simulation.cancel_services();
    simulation.run(Duration::from_secs(600));
    assert_eq!(simulation.open_jobs(), Vec::<String>::new(), "{what}");
    assert!(
        simulation.violations.is_empty(),
        "{what}: {:?}",
        simulation.violations
    );
    assert_eq!(simulation.counts.starts_after_cancellation, 0, "{what}");
}

/// Work for all machines there are, some of it bound to one zone, some spread.
fn burden(simulation: &mut Simulation, jobs: u32) {
    for n in 0..jobs {
        let mut job = spec(if n % 2 == 0 { "red" } else { "blue" }, 2.0, 3 + n % 4);
        job.one_zone = n % 3 == 0;
        job.scatter = n % 3 == 1;
        if n % 4 == 0 {
            job.priority = Priority::High;
        }
        simulation.submit(&format!("run-{n:06}"), job);
    }
}

/// Leaders change ten times in two minutes, also inside an outage, and within a
/// fraction of a second.
#[test]
fn ten_changes_of_leader_in_two_minutes_lose_nothing() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.elect_leader();
        burden(&mut simulation, 12);
        for change in 0..10 {
            simulation.run(Duration::from_secs(9));
            if change == 4 {
                simulation.start_store_outage(Duration::from_secs(20));
            }
            simulation.crash_leader();
            let gap = if change % 2 == 0 { 100 } else { 3_000 };
            simulation.run(Duration::from_millis(gap));
            simulation.elect_leader();
        }
        settles(simulation, &format!("seed {seed}"));
    }
}

/// All controllers are away for longer than the workers' leases.
#[test]
fn all_controllers_away_for_longer_than_a_lease_lose_no_job() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.elect_leader();
        burden(&mut simulation, 8);
        simulation.run(Duration::from_secs(20));
        simulation.crash_leader();
        simulation.run(WORKER_LEASE + Duration::from_secs(13));
        simulation.elect_leader();
        simulation.run(Duration::from_secs(20));
        settles(simulation, &format!("seed {seed}"));
    }
}

/// More work than room, urgent and not, over links that hold messages for
/// seconds, so that commands and answers land late and out of order.
#[test]
fn more_work_than_room_over_slow_links_breaks_no_rule() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(seed);
        simulation.faults.long_delay = 0.3;
        simulation.faults.loss = 0.1;
        simulation.elect_leader();
        burden(&mut simulation, 30);
        for round in 0..12 {
            simulation.run(Duration::from_secs(10));
            if round % 3 == 2 {
                let open = simulation.open_jobs();
                simulation.cancel(&open[round % open.len()]);
            }
        }
        settles(simulation, &format!("seed {seed}"));
    }
}

/// Machines that reach nobody, and machines that nobody reaches, while leaders
/// change and jobs are cancelled.
#[test]
fn deaf_and_mute_machines_outlast_no_cancellation() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.elect_leader();
        burden(&mut simulation, 10);
        for round in 0..6 {
            simulation.run(Duration::from_secs(8));
            let machines = simulation.machines();
            for (n, id) in machines.iter().enumerate() {
                let time = Duration::from_secs(10 + 8 * n as u64);
                match (n + round) % 3 {
                    0 => simulation.block_inbound(id, time),
                    1 => simulation.block_outbound(id, time),
                    _ => {}
                }
            }
            if let Some(id) = simulation.open_jobs().first() {
                simulation.cancel(id);
            }
            if round % 2 == 1 {
                simulation.crash_leader();
                simulation.run(Duration::from_secs(1));
                simulation.elect_leader();
            }
        }
        simulation.run(Duration::from_secs(60));
        settles(simulation, &format!("seed {seed}"));
    }
}
