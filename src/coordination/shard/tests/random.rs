//! Random days in the stand-in world, at a fixed set of seeds.

use std::time::Duration;

use rand::Rng;

use super::world::{LEASE, World, spec};
use crate::protocol::users::{JobKind, Priority};

const SEEDS: u64 = 64;

/// A day of submissions, cancels, crashes, cuts, hangs and deaths.
fn play(seed: u64) -> World {
    let mut world = World::new(seed);
    world.recover();
    let mut submitted = 0_u32;
    for _ in 0..60 {
        let lucky: f64 = world.rng.random();
        if lucky < 0.35 {
            let mut job = spec(
                if world.rng.random_bool(0.6) {
                    "red"
                } else {
                    "blue"
                },
                f64::from(world.rng.random_range(1_u32..4)),
                world.rng.random_range(1..9),
            );
            job.one_zone = world.rng.random_bool(0.2);
            job.scatter = !job.one_zone && world.rng.random_bool(0.3);
            job.spot = world.rng.random_bool(0.5);
            if world.rng.random_bool(0.25) {
                job.kind = JobKind::Service;
                job.duration_s = 0.0;
                job.tasks = 1 + job.tasks % 2;
            } else if world.rng.random_bool(0.3) {
                job.kind = JobKind::Gang;
                job.tasks = 2 + job.tasks % 3;
                job.cores = 1.0;
            }
            submitted += 1;
            world.submit(&format!("run-{submitted:06}"), job);
        } else if lucky < 0.5 {
            let open = world.open_jobs();
            if !open.is_empty() {
                let at = world.rng.random_range(0..open.len());
                world.cancel(&open[at]);
            }
        } else if lucky < 0.62 {
            // Sometimes a quick change, sometimes a while without a leader.
            world.crash_leader();
            let gap = if world.rng.random_bool(0.5) { 1 } else { 9_000 };
            world.run(Duration::from_millis(gap));
            world.recover();
        } else if lucky < 0.9 {
            let machines = world.machines();
            if !machines.is_empty() {
                let id = &machines[world.rng.random_range(0..machines.len())];
                let time = Duration::from_millis(world.rng.random_range(2_000..60_000));
                match world.rng.random_range(0..6) {
                    0 => world.hang(id, time),
                    1 => world.kill(id),
                    2 => world.deafen(id, time),
                    3 => world.mute(id, time),
                    _ => world.cut(id, time),
                }
            }
        } else if lucky < 0.93 {
            let time = Duration::from_millis(world.rng.random_range(1_000..40_000));
            world.outage(time);
        } else if lucky < 0.96 {
            world.cancel_at_end();
        }
        let pause = Duration::from_millis(world.rng.random_range(300..8_000));
        world.run(pause);
    }
    world
}

#[test]
fn no_rule_breaks_on_random_days() {
    let (mut starts, mut gangs) = (0, 0);
    for seed in 0..SEEDS {
        let world = play(seed);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        starts += world.starts;
        gangs += world.gang_starts;
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
        let mut world = play(seed);
        world.end_trouble();
        let standing = world.cancel_services();
        world.run(Duration::from_secs(600));
        assert_eq!(
            world.open_jobs(),
            Vec::<String>::new(),
            "seed {seed}: unfinished after {standing} services were cancelled"
        );
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

/// Ends a world's troubles and sees that all work in it ends too.
fn settles(mut world: World, what: &str) {
    world.end_trouble();
    world.cancel_services();
    world.run(Duration::from_secs(600));
    assert_eq!(world.open_jobs(), Vec::<String>::new(), "{what}");
    assert!(world.broken.is_empty(), "{what}: {:?}", world.broken);
    assert_eq!(world.starts_after_cancel, 0, "{what}");
}

/// Work for all machines there are, some of it bound to one zone, some spread.
fn burden(world: &mut World, jobs: u32) {
    for n in 0..jobs {
        let mut job = spec(if n % 2 == 0 { "red" } else { "blue" }, 2.0, 3 + n % 4);
        job.one_zone = n % 3 == 0;
        job.scatter = n % 3 == 1;
        if n % 4 == 0 {
            job.priority = Priority::High;
        }
        world.submit(&format!("run-{n:06}"), job);
    }
}

/// Leaders change ten times in two minutes, also inside an outage, and within a
/// fraction of a second.
#[test]
fn ten_changes_of_leader_in_two_minutes_lose_nothing() {
    for seed in 0..8 {
        let mut world = World::new(seed);
        world.recover();
        burden(&mut world, 12);
        for change in 0..10 {
            world.run(Duration::from_secs(9));
            if change == 4 {
                world.outage(Duration::from_secs(20));
            }
            world.crash_leader();
            let gap = if change % 2 == 0 { 100 } else { 3_000 };
            world.run(Duration::from_millis(gap));
            world.recover();
        }
        settles(world, &format!("seed {seed}"));
    }
}

/// All controllers are away for longer than the workers' leases.
#[test]
fn all_controllers_away_for_longer_than_a_lease_lose_no_job() {
    for seed in 0..8 {
        let mut world = World::new(seed);
        world.recover();
        burden(&mut world, 8);
        world.run(Duration::from_secs(20));
        world.crash_leader();
        world.run(LEASE + Duration::from_secs(13));
        world.recover();
        world.run(Duration::from_secs(20));
        settles(world, &format!("seed {seed}"));
    }
}

/// More work than room, urgent and not, over links that hold messages for
/// seconds, so that commands and answers land late and out of order.
#[test]
fn more_work_than_room_over_slow_links_breaks_no_rule() {
    for seed in 0..6 {
        let mut world = World::new(seed);
        world.late = 0.3;
        world.loss = 0.1;
        world.recover();
        burden(&mut world, 30);
        for round in 0..12 {
            world.run(Duration::from_secs(10));
            if round % 3 == 2 {
                let open = world.open_jobs();
                world.cancel(&open[round % open.len()]);
            }
        }
        settles(world, &format!("seed {seed}"));
    }
}

/// Machines that reach nobody, and machines that nobody reaches, while leaders
/// change and jobs are cancelled.
#[test]
fn deaf_and_mute_machines_outlast_no_cancellation() {
    for seed in 0..8 {
        let mut world = World::new(seed);
        world.recover();
        burden(&mut world, 10);
        for round in 0..6 {
            world.run(Duration::from_secs(8));
            let machines = world.machines();
            for (n, id) in machines.iter().enumerate() {
                let time = Duration::from_secs(10 + 8 * n as u64);
                match (n + round) % 3 {
                    0 => world.deafen(id, time),
                    1 => world.mute(id, time),
                    _ => {}
                }
            }
            if let Some(id) = world.open_jobs().first() {
                world.cancel(id);
            }
            if round % 2 == 1 {
                world.crash_leader();
                world.run(Duration::from_secs(1));
                world.recover();
            }
        }
        world.run(Duration::from_secs(60));
        settles(world, &format!("seed {seed}"));
    }
}
