//! Random days in the stand-in world, at a fixed set of seeds.

use std::time::Duration;

use rand::Rng;

use super::world::{World, spec};
use crate::protocol::users::JobKind;

const SEEDS: u64 = 64;

/// A day of submissions, cancels, crashes, cuts, hangs and deaths.
fn play(seed: u64) -> World {
    let mut world = World::new(seed);
    world.take_over();
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
                job.kind = JobKind::Standing;
                job.duration_s = 0.0;
                job.tasks = 1 + job.tasks % 2;
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
            // Sometimes a quick change, sometimes a while without an owner.
            world.crash_owner();
            let gap = if world.rng.random_bool(0.5) { 1 } else { 9_000 };
            world.run(Duration::from_millis(gap));
            world.take_over();
        } else if lucky < 0.9 {
            let machines = world.machines();
            if !machines.is_empty() {
                let id = &machines[world.rng.random_range(0..machines.len())];
                let time = Duration::from_millis(world.rng.random_range(2_000..60_000));
                match world.rng.random_range(0..4) {
                    0 => world.hang(id, time),
                    1 => world.kill(id),
                    _ => world.cut(id, time),
                }
            }
        }
        let pause = Duration::from_millis(world.rng.random_range(300..8_000));
        world.run(pause);
    }
    world
}

#[test]
fn no_rule_breaks_on_random_days() {
    let mut starts = 0;
    for seed in 0..SEEDS {
        let world = play(seed);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        starts += world.starts;
    }
    assert!(
        starts > 500,
        "only {starts} tasks started: the days test nothing"
    );
}

#[test]
fn all_work_ends_once_the_trouble_is_over() {
    for seed in 100..112 {
        let mut world = play(seed);
        world.loss = 0.0;
        world.late = 0.0;
        world.astray = 0.0;
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
