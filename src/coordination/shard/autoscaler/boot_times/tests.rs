use std::time::{Duration, Instant};

use super::*;

/// Machines of one kind that were rented then and are not up.
fn overdue(boots: &mut BootTimes, ratios: &[f64], rented: Instant, now: Instant) {
    let of_north = ratios.iter().map(|ratio| Overdue {
        machine_type: "m8".into(),
        zone: "north".into(),
        rented,
        ratio: *ratio,
    });
    boots.note_overdue(&of_north.collect::<Vec<_>>(), now);
}

#[test]
fn machines_that_come_in_time_or_early_change_nothing() {
    let mut boots = BootTimes::default();
    let now = Instant::now();
    for ratio in [0.6, 0.05, 1.0] {
        boots.note_arrival("m8", "north", now, ratio, now);
    }
    assert_eq!(boots.slowness("m8", "north", now), 1.0);
    assert!(!boots.in_trouble(now));
}

#[test]
fn slow_boots_are_reckoned_with_where_they_were_seen_and_forgotten_in_time() {
    let mut boots = BootTimes::default();
    let now = Instant::now();
    boots.note_arrival("m8", "north", now, 20.0, now);
    assert_eq!(boots.slowness("m8", "north", now), 20.0);
    assert_eq!(boots.slowness("m8", "south", now), 1.0);
    let later = now + MEMORY;
    assert_eq!(boots.slowness("m8", "north", later), 1.0);
}

#[test]
fn one_machine_that_never_comes_up_is_no_trouble() {
    let mut boots = BootTimes::default();
    let (rented, now) = (Instant::now(), Instant::now() + Duration::from_secs(50));
    overdue(&mut boots, &[3.0, 4.0], rented, now);
    assert!(!boots.in_trouble(now));
    // Several are some, unless more have come up lately.
    for _ in 0..5 {
        boots.note_arrival("m8", "north", rented, 2.5, now);
    }
    overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], rented, now);
    assert_eq!(boots.slowness("m8", "north", now), 2.5);
    let later = now + ARRIVED_LATELY;
    overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], rented, later);
    assert_eq!(boots.slowness("m8", "north", later), 5.0 * STILL_TO_COME);
}

/// Found by a day of our own: machines that were rented while boots took twenty times as
/// long held up new ones after the trouble was over.
#[test]
fn a_machine_that_was_rented_later_and_comes_in_time_ends_the_trouble() {
    let mut boots = BootTimes::default();
    let (rented, now) = (Instant::now(), Instant::now() + Duration::from_secs(50));
    overdue(&mut boots, &[5.0, 5.0, 5.0], rented, now);
    assert!(boots.in_trouble(now));
    let up = now + Duration::from_secs(10);
    boots.note_arrival("m8", "north", now, 1.0, up);
    overdue(&mut boots, &[6.0, 6.0, 6.0], rented, up);
    assert!(!boots.in_trouble(up));
}

/// Where none comes up, giving them all up would only begin the wait anew.
#[test]
fn machines_are_waited_for_longer_each_time_that_none_came_up() {
    let mut boots = BootTimes::default();
    let rented = Instant::now();
    let mut now = rented + Duration::from_secs(50);
    for expected in [1.0, 2.0, 4.0] {
        assert_eq!(boots.patience("m8", "north", now), expected);
        overdue(&mut boots, &[5.0, 5.0, 5.0], rented, now);
        // Those that were rented together are given up together.
        boots.note_given_up("m8", "north", now);
        boots.note_given_up("m8", "north", now);
        now += ARRIVED_LATELY;
    }
    boots.note_arrival("m8", "north", now, 6.0, now);
    assert_eq!(boots.patience("m8", "north", now), 6.0);
}
