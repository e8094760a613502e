use super::*;
use crate::protocol::FencingToken;

#[test]
fn the_deadline_runs_from_the_sending_of_the_renewal() {
    let operator = Operator::default();
    let sent = Instant::now();
    let until = deadline(&operator, sent);
    let margin = Duration::from_secs_f64(operator.lease_margin_s);
    assert!(until < sent + operator.lease() - margin);
    let lease = ShardLease::new(1, FencingToken::new(10), sent, until, sent);
    assert!(lease.live(until - Duration::from_millis(1)));
    assert!(!lease.live(until));
    // An outage past the deadline, then a renewal that succeeds: the lease
    // never ended, so the same fencing token goes on.
    let late = sent + Duration::from_secs(30);
    lease.record_renewal(late, deadline(&operator, late));
    assert_eq!(
        lease.since_last_renewal(late + Duration::from_secs(1)),
        Duration::from_secs(1)
    );
    assert!(lease.live(late + Duration::from_secs(1)));
    lease.end();
    assert!(!lease.live(late + Duration::from_secs(1)));
}
