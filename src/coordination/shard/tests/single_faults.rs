//! Simulated runs with fixed seeds and one kind of fault each.

use std::time::Duration;

use super::fixtures::{CANCELLATION_BOUND, WORKER_LEASE, spec};
use super::simulation::Simulation;
use crate::protocol::users::{JobKind, Priority};

/// Ends all faults, cancels all services, and checks that all jobs finish and no rule is violated.
/// Failure messages begin with `context`.
fn assert_all_jobs_finish(mut simulation: Simulation, context: &str) {
    simulation.end_faults();
    simulation.cancel_services();
    simulation.run(Duration::from_secs(600));
    assert_eq!(simulation.open_jobs(), Vec::<String>::new(), "{context}");
    assert!(
        simulation.violations.is_empty(),
        "{context}: {:?}",
        simulation.violations
    );
    assert_eq!(simulation.counts.starts_after_cancellation, 0, "{context}");
}

/// Submits jobs of which every third is bound to one zone, every third is scattered over zones, and
/// every fourth has a high priority.
fn submit_jobs(simulation: &mut Simulation, jobs: u32) {
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

/// Jobs are cancelled just before an outage of the key-value store that is longer than the
/// cancellation bound. If the controller that confirmed the cancellations restarts, the leader
/// can't learn of them; it lets all tasks end and starts none until the outage is over.
#[test]
fn cancellations_before_a_long_outage_hold_while_a_controller_restarts() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.elect_leader();
        submit_services(&mut simulation, 4);
        simulation.run(Duration::from_secs(60));
        simulation.refuse_leader(Duration::from_secs(1));
        for id in simulation.open_jobs().iter().take(2) {
            simulation.cancel(id);
        }
        simulation.start_store_outage(CANCELLATION_BOUND * 3);
        simulation.restart_peer();
        let starts = simulation.counts.task_starts;
        simulation.run(CANCELLATION_BOUND * 3);
        let restarts = simulation.counts.task_starts - starts;
        assert_eq!(restarts, 0, "seed {seed}: tasks started in the outage");
        assert_all_jobs_finish(simulation, &format!("seed {seed}"));
    }
}

/// In an outage in which all controllers live, the leader learns from the others that it knows of
/// all cancellations: work that was accepted before the outage starts in it.
#[test]
fn accepted_work_starts_in_an_outage_in_which_all_controllers_live() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.end_faults();
        simulation.elect_leader();
        submit_services(&mut simulation, 3);
        simulation.run(Duration::from_secs(60));
        let starts = simulation.counts.task_starts;
        simulation.submit("run-000100", spec("blue", 1.0, 2));
        simulation.start_store_outage(CANCELLATION_BOUND * 2);
        simulation.run(Duration::from_secs(15));
        let started = simulation.counts.task_starts - starts;
        assert!(started >= 2, "seed {seed}: {started} tasks started");
        simulation.run(CANCELLATION_BOUND * 2);
        assert_all_jobs_finish(simulation, &format!("seed {seed}"));
    }
}

/// Submits services of two tasks each, which run until they are cancelled.
fn submit_services(simulation: &mut Simulation, jobs: u32) {
    for n in 0..jobs {
        let mut job = spec("blue", 2.0, 2);
        job.kind = JobKind::Service;
        simulation.submit(&format!("run-{n:06}"), job);
    }
}

/// Five of the failovers take 100 ms, the others three seconds, and one happens during an outage of
/// the key-value store.
#[test]
fn ten_failovers_in_two_minutes_lose_no_job() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.elect_leader();
        submit_jobs(&mut simulation, 12);
        for failover in 0..10 {
            simulation.run(Duration::from_secs(9));
            if failover == 4 {
                simulation.start_store_outage(Duration::from_secs(20));
            }
            simulation.crash_leader();
            let leaderless_ms = if failover % 2 == 0 { 100 } else { 3_000 };
            simulation.run(Duration::from_millis(leaderless_ms));
            simulation.elect_leader();
        }
        assert_all_jobs_finish(simulation, &format!("seed {seed}"));
    }
}

/// When their leases expire, the workers end all tasks; the next leader starts the tasks again.
#[test]
fn an_outage_of_all_controllers_longer_than_a_lease_loses_no_job() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.elect_leader();
        submit_jobs(&mut simulation, 8);
        simulation.run(Duration::from_secs(20));
        simulation.crash_leader();
        simulation.run(WORKER_LEASE + Duration::from_secs(13));
        simulation.elect_leader();
        simulation.run(Duration::from_secs(20));
        assert_all_jobs_finish(simulation, &format!("seed {seed}"));
    }
}

/// Jobs of several priorities need more than the capacity, and links delay messages for seconds, so
/// that commands and answers arrive late and out of order.
#[test]
fn overload_over_slow_links_violates_no_rule() {
    for seed in 0..6 {
        let mut simulation = Simulation::new(seed);
        simulation.faults.long_delay = 0.3;
        simulation.faults.loss = 0.1;
        simulation.elect_leader();
        submit_jobs(&mut simulation, 30);
        for round in 0..12 {
            simulation.run(Duration::from_secs(10));
            if round % 3 == 2 {
                let open_jobs = simulation.open_jobs();
                simulation.cancel(&open_jobs[round % open_jobs.len()]);
            }
        }
        assert_all_jobs_finish(simulation, &format!("seed {seed}"));
    }
}

/// Some machines cannot reach any controller and others cannot be reached by any controller, while
/// leaders change and jobs are cancelled: no task runs longer after a cancellation than is allowed.
#[test]
fn partly_unreachable_machines_run_no_cancelled_task_for_too_long() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        simulation.elect_leader();
        submit_jobs(&mut simulation, 10);
        for round in 0..6 {
            simulation.run(Duration::from_secs(8));
            let machines = simulation.machines();
            for (n, id) in machines.iter().enumerate() {
                let duration = Duration::from_secs(10 + 8 * n as u64);
                match (n + round) % 3 {
                    0 => simulation.block_inbound(id, duration),
                    1 => simulation.block_outbound(id, duration),
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
        assert_all_jobs_finish(simulation, &format!("seed {seed}"));
    }
}
