use super::*;

#[test]
fn late_renewals_count_as_failing_until_a_recent_success() {
    let operator = Operator::default();
    let failing_after = operator.lease_ttl().mul_f64(FAILING_AFTER_LEASE_SHARE);
    let recovered_within = operator.renewal_interval() * RECOVERED_WITHIN_INTERVALS;
    let one_ms = Duration::from_millis(1);
    let timely = RenewalHealth::Timely;
    assert_eq!(timely.next(failing_after, &operator), RenewalHealth::Timely);
    assert_eq!(
        timely.next(failing_after + one_ms, &operator),
        RenewalHealth::Failing
    );
    let failing = RenewalHealth::Failing;
    assert_eq!(
        failing.next(recovered_within, &operator),
        RenewalHealth::Timely
    );
    assert_eq!(
        failing.next(recovered_within + one_ms, &operator),
        RenewalHealth::Failing
    );
}

#[test]
fn an_extension_counts_from_when_it_was_requested_less_drift_and_margin() {
    let operator = Operator::default();
    let sent = Instant::now();
    let time = Duration::from_secs(1);
    let deadline = extended_deadline(&operator, sent, time);
    assert!(deadline < sent + time);
    assert!(deadline >= sent + clock_drift::min_elapsed(time) - time / 4);
}
