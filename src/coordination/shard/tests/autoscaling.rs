//! Scale-out requests, and capacity that is held back from scale-in.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::ScriptedShard;
use crate::coordination::shard::RentalOutcome;
use crate::protocol::users::{JobKind, JobSpec};

/// The request's name makes it idempotent: the cloud rents nothing twice.
#[test]
fn an_unanswered_rental_is_repeated_as_the_same_request() {
    let mut script = ScriptedShard::empty();
    script.submit("run-1", spec("blue", 8.0, 1));
    script.advance(Duration::from_secs(1));
    let first = script.rentals().remove(0);
    script
        .shard
        .rental_answered(&first.request, RentalOutcome::Unknown, script.now);
    script.advance(Duration::from_secs(2));
    assert!(script.rentals().contains(&first));
}

/// Found in runs without faults: machines were drained until the others were full of
/// services, and each service that came then waited for a machine to boot.
#[test]
fn drain_leaves_capacity_for_expected_services() {
    let mut script = ScriptedShard::without_quotas();
    script.submit("run-0", spec("red", 1.0, 50));
    assert_eq!(
        script
            .shard
            .autoscaler_view()
            .forecast_service_cores(script.now),
        0.0,
        "batch work"
    );
    for n in 1..=12 {
        let service = JobSpec {
            class: "web".into(),
            kind: JobKind::Service,
            ..spec("red", 1.0, 2)
        };
        script.submit(&format!("run-{n}"), service);
        script.advance(Duration::from_secs(10));
    }
    // A task each 5 s, for the 20 s that a slow boot takes, and the root of that.
    let to_come = script
        .shard
        .autoscaler_view()
        .forecast_service_cores(script.now);
    assert!((4.0..8.0).contains(&to_come), "{to_come}");
    let held = ScriptedShard::empty();
    assert!(held.shard.policy.holds_capacity());
    assert_eq!(
        held.shard
            .autoscaler_view()
            .forecast_service_cores(held.now),
        0.0
    );
}
