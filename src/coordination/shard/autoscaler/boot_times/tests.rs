use std::time::{Duration, Instant};

use super::*;

fn north() -> BootPool {
    BootPool {
        machine_type: "m8".into(),
        zone: "north".into(),
    }
}

/// Records machines of one type and zone that were rented then and have not booted.
fn overdue(boots: &mut BootTimes, ratios: &[f64], rented: Instant, now: Instant) {
    let of_north = ratios.iter().map(|ratio| OverdueBoot {
        pool: north(),
        rented,
        ratio: *ratio,
    });
    boots.update_overdue(&of_north.collect::<Vec<_>>(), now);
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
fn single_overdue_machines_are_no_incident() {
    let mut boots = BootTimes::default();
    let (rented, now) = (Instant::now(), Instant::now() + Duration::from_secs(50));
    overdue(&mut boots, &[3.0, 4.0], rented, now);
    assert!(!boots.is_any_pool_slow(now));
    // Several are one, unless more have booted recently.
    for _ in 0..5 {
        boots.record_boot("m8", "north", rented, 2.5, now);
    }
    overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], rented, now);
    assert_eq!(boots.slowness("m8", "north", now), 2.5);
    let later = now + RECENT_BOOT_WINDOW;
    overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], rented, later);
    assert_eq!(
        boots.slowness("m8", "north", later),
        5.0 * OVERDUE_AGE_FACTOR
    );
}

/// Found in a recorded day: machines that were rented while boots took twenty times as long
/// delayed new ones after the incident had ended.
#[test]
fn a_machine_rented_later_that_boots_in_time_ends_the_incident() {
    let mut boots = BootTimes::default();
    let (rented, now) = (Instant::now(), Instant::now() + Duration::from_secs(50));
    overdue(&mut boots, &[5.0, 5.0, 5.0], rented, now);
    assert!(boots.is_any_pool_slow(now));
    let up = now + Duration::from_secs(10);
    boots.record_boot("m8", "north", now, 1.0, up);
    overdue(&mut boots, &[6.0, 6.0, 6.0], rented, up);
    assert!(!boots.is_any_pool_slow(up));
}

/// Where none boots, abandoning them all would only start the wait again.
#[test]
fn the_wait_doubles_each_time_that_no_machine_booted() {
    let mut boots = BootTimes::default();
    let rented = Instant::now();
    let mut now = rented + Duration::from_secs(50);
    for expected in [1.0, 2.0, 4.0] {
        assert_eq!(boots.wait_factor("m8", "north", now), expected);
        overdue(&mut boots, &[5.0, 5.0, 5.0], rented, now);
        // Those that were rented together are abandoned together.
        boots.record_abandoned(&north(), now);
        boots.record_abandoned(&north(), now);
        now += RECENT_BOOT_WINDOW;
    }
    boots.record_boot("m8", "north", now, 6.0, now);
    assert_eq!(boots.wait_factor("m8", "north", now), 6.0);
}
