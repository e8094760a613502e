use super::*;

#[test]
fn renewals_fail_late_in_the_lease_and_recover_by_a_fresh_success() {
    let operator = Operator::default();
    let failing = operator.lease().mul_f64(FAILING_AFTER_LEASE_SHARE);
    let recovered = operator.renew() * RECOVERED_WITHIN_INTERVALS;
    let moment = Duration::from_millis(1);
    let timely = RenewalHealth::Timely;
    assert_eq!(timely.next(failing, &operator), RenewalHealth::Timely);
    assert_eq!(
        timely.next(failing + moment, &operator),
        RenewalHealth::Failing
    );
    let ill = RenewalHealth::Failing;
    assert_eq!(ill.next(recovered, &operator), RenewalHealth::Timely);
    assert_eq!(
        ill.next(recovered + moment, &operator),
        RenewalHealth::Failing
    );
}

#[test]
fn an_extension_counts_from_when_it_was_asked_for_less_drift_and_margin() {
    let operator = Operator::default();
    let sent = Instant::now();
    let time = Duration::from_secs(1);
    let deadline = extended_deadline(&operator, sent, time);
    assert!(deadline < sent + time);
    assert!(deadline >= sent + clock_drift::min_elapsed(time) - time / 4);
}
