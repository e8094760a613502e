//! Scale-out requests, and capacity that scale-in keeps for expected services.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::ScriptedShard;
use crate::coordination::shard::RentalOutcome;
use crate::protocol::users::{JobKind, JobSpec};

/// A scale-out request is idempotent by its name: if the shard repeats an unanswered request under
/// the same name, the cloud does not rent machines twice.
#[test]
fn an_unanswered_rental_is_repeated_as_the_same_request() {
    let mut script = ScriptedShard::empty();
    script.submit("run-1", spec("blue", 8.0, 1));
    script.advance(Duration::from_secs(1));
    let first = script.take_rentals().remove(0);
    script
        .shard
        .rental_answered(&first.request, RentalOutcome::Unknown, script.now);
    script.advance(Duration::from_secs(2));
    assert!(script.take_rentals().contains(&first));
}

/// Found in runs without faults: scale-in drained machines until the remaining ones were full of
/// services, and each new service then waited for a machine to boot. Scale-in therefore keeps the
/// forecast cores free.
#[test]
fn cores_for_expected_services_are_forecast_unless_capacity_is_held_for_quotas() {
    let mut script = ScriptedShard::without_quotas();
    script.submit("run-0", spec("red", 1.0, 50));
    assert_eq!(
        script
            .shard
            .autoscaler_view()
            .forecast_service_cores(script.now),
        0.0,
        "batch jobs add nothing to the forecast"
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
    // One task arrives every 5 s, and a slow boot takes 20 s: the forecast is 4 tasks plus the
    // square root of 4.
    let forecast_cores = script
        .shard
        .autoscaler_view()
        .forecast_service_cores(script.now);
    assert!((4.0..8.0).contains(&forecast_cores), "{forecast_cores}");
    let with_quotas = ScriptedShard::empty();
    assert!(with_quotas.shard.policy.holds_capacity_for_quota());
    assert_eq!(
        with_quotas
            .shard
            .autoscaler_view()
            .forecast_service_cores(with_quotas.now),
        0.0
    );
}
