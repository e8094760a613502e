use std::time::{Duration, Instant};

use super::*;

fn overdue(boots: &mut BootTimes, ages: &[f64], now: Instant) {
    let of_north = ages.iter().map(|age| ("m8", "north", *age));
    boots.note_overdue(of_north, now);
}

#[test]
fn machines_that_come_in_time_or_early_change_nothing() {
    let mut boots = BootTimes::default();
    let now = Instant::now();
    for ratio in [0.6, 0.05, 1.0] {
        boots.note_arrival("m8", "north", ratio, now);
    }
    assert_eq!(boots.slowness("m8", "north", now), 1.0);
    assert!(!boots.in_trouble(now));
}

#[test]
fn slow_boots_are_reckoned_with_where_they_were_seen_and_forgotten_in_time() {
    let mut boots = BootTimes::default();
    let now = Instant::now();
    boots.note_arrival("m8", "north", 20.0, now);
    assert_eq!(boots.slowness("m8", "north", now), 20.0);
    assert_eq!(boots.slowness("m8", "south", now), 1.0);
    let later = now + MEMORY;
    assert_eq!(boots.slowness("m8", "north", later), 1.0);
}

#[test]
fn one_machine_that_never_comes_up_is_no_trouble() {
    let mut boots = BootTimes::default();
    let now = Instant::now();
    overdue(&mut boots, &[3.0, 4.0], now);
    assert!(!boots.in_trouble(now));
    // Several are some, unless more have come up lately.
    for _ in 0..5 {
        boots.note_arrival("m8", "north", 1.0, now);
    }
    overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], now);
    assert!(!boots.in_trouble(now));
    let later = now + ARRIVED_LATELY;
    overdue(&mut boots, &[3.0, 4.0, 5.0, 6.0], later);
    assert_eq!(boots.slowness("m8", "north", later), 5.0 * STILL_TO_COME);
    overdue(&mut boots, &[], later + Duration::from_secs(1));
    assert!(!boots.in_trouble(later));
}
