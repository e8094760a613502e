use std::time::{Duration, Instant};

use super::*;

fn north_pool() -> BootPool {
    BootPool {
        machine_type: "m8".into(),
        zone: "north".into(),
    }
}

/// Replaces the list of overdue machines: for each ratio one machine of the pool [`north_pool`],
/// all rented at `rented`.
fn set_overdue(boots: &mut BootTimes, ratios: &[f64], rented: Instant, now: Instant) {
    let overdue = ratios.iter().map(|ratio| OverdueBoot {
        pool: north_pool(),
        rented,
        ratio: *ratio,
    });
    boots.update_overdue(&overdue.collect::<Vec<_>>(), now);
}

#[test]
fn boots_in_time_or_early_leave_the_slowness_at_one() {
    let mut boots = BootTimes::default();
    let now = Instant::now();
    for ratio in [0.6, 0.05, 1.0] {
        boots.record_boot("m8", "north", now, ratio, now);
    }
    assert_eq!(boots.slowness("m8", "north", now), 1.0);
    assert!(!boots.is_any_pool_slow(now));
}

#[test]
fn slow_boots_count_only_in_their_zone_and_expire() {
    let mut boots = BootTimes::default();
    let now = Instant::now();
    boots.record_boot("m8", "north", now, 20.0, now);
    assert_eq!(boots.slowness("m8", "north", now), 20.0);
    assert_eq!(boots.slowness("m8", "south", now), 1.0);
    let later = now + BOOT_RETENTION;
    assert_eq!(boots.slowness("m8", "north", later), 1.0);
}

#[test]
fn only_several_overdue_machines_that_outnumber_the_recent_boots_are_an_incident() {
    let mut boots = BootTimes::default();
    let (rented, now) = (Instant::now(), Instant::now() + Duration::from_secs(50));
    set_overdue(&mut boots, &[3.0, 4.0], rented, now);
    assert!(!boots.is_any_pool_slow(now));
    // Three or more are an incident, unless at least as many machines have booted recently.
    for _ in 0..5 {
        boots.record_boot("m8", "north", rented, 2.5, now);
    }
    set_overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], rented, now);
    assert_eq!(boots.slowness("m8", "north", now), 2.5);
    let later = now + RECENT_BOOT_WINDOW;
    set_overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], rented, later);
    assert_eq!(
        boots.slowness("m8", "north", later),
        5.0 * OVERDUE_AGE_FACTOR
    );
}

/// Found in a recorded day: during an incident, boots took twenty times as long as usual. Machines
/// that were rented then and stayed overdue still delayed new machines after the incident.
#[test]
fn a_machine_rented_later_that_boots_in_time_ends_the_incident() {
    let mut boots = BootTimes::default();
    let (rented, now) = (Instant::now(), Instant::now() + Duration::from_secs(50));
    set_overdue(&mut boots, &[5.0, 5.0, 5.0], rented, now);
    assert!(boots.is_any_pool_slow(now));
    let booted_at = now + Duration::from_secs(10);
    boots.record_boot("m8", "north", now, 1.0, booted_at);
    set_overdue(&mut boots, &[6.0, 6.0, 6.0], rented, booted_at);
    assert!(!boots.is_any_pool_slow(booted_at));
}

/// If no machine of a pool boots, abandoning its overdue machines only restarts the wait. The wait
/// therefore doubles with each round of abandonments until a machine boots.
#[test]
fn the_wait_doubles_with_each_round_of_abandonments_until_a_boot() {
    let mut boots = BootTimes::default();
    let rented = Instant::now();
    let mut now = rented + Duration::from_secs(50);
    for expected in [1.0, 2.0, 4.0] {
        assert_eq!(boots.wait_factor("m8", "north", now), expected);
        set_overdue(&mut boots, &[5.0, 5.0, 5.0], rented, now);
        // Machines rented together are abandoned together, which counts as one round.
        boots.record_abandoned(&north_pool(), now);
        boots.record_abandoned(&north_pool(), now);
        now += RECENT_BOOT_WINDOW;
    }
    boots.record_boot("m8", "north", now, 6.0, now);
    assert_eq!(boots.wait_factor("m8", "north", now), 6.0);
}
