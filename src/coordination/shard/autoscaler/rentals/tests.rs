use std::time::{Duration, Instant};

use super::*;

const TOKEN: FencingToken = FencingToken::new(7);

fn kind(zone: &str) -> MachineKind {
    MachineKind {
        machine_type: "m8".into(),
        zone: zone.into(),
        spot: true,
    }
}

fn add(rentals: &mut PendingRentals, zone: &str) -> Option<Rental> {
    rentals.add(kind(zone), 3, "c1", TOKEN)
}

#[test]
fn a_request_name_is_never_used_again() {
    let mut rentals = PendingRentals::default();
    let first = add(&mut rentals, "north").expect("none is pending");
    assert_eq!(first.request, "c1-7-1");
    rentals.remove(&first.request);
    let second = add(&mut rentals, "north").expect("the first was answered");
    assert_eq!(second.request, "c1-7-2");
}

#[test]
fn only_one_rental_of_a_kind_is_pending() {
    let mut rentals = PendingRentals::default();
    assert!(add(&mut rentals, "north").is_some());
    assert!(add(&mut rentals, "north").is_none());
    assert!(add(&mut rentals, "south").is_some());
    assert_eq!(rentals.iter().count(), 2);
}

#[test]
fn a_rental_is_retried_once_after_each_attempt_without_an_answer() {
    let mut rentals = PendingRentals::default();
    let rental = add(&mut rentals, "north").expect("none is pending");
    let now = Instant::now();
    let much_later = now + Duration::from_secs(3600);
    assert_eq!(
        rentals.take_due_retries(much_later),
        [],
        "the rental may not be recorded yet"
    );
    rentals.schedule_retry(&rental.request, now);
    assert_eq!(rentals.take_due_retries(now), []);
    let retry = now + CLOUD_RETRY_DELAY;
    assert_eq!(rentals.take_due_retries(retry), [rental]);
    assert_eq!(
        rentals.take_due_retries(much_later),
        [],
        "the retry is in flight"
    );
}
