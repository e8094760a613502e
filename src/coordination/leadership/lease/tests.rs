use super::*;
use crate::protocol::FencingToken;

#[test]
fn the_deadline_counts_from_when_the_renewal_was_sent() {
    let operator = Operator::default();
    let sent = Instant::now();
    let until = deadline(&operator, sent);
    let margin = Duration::from_secs_f64(operator.lease_margin_s);
    assert!(until < sent + operator.lease_ttl() - margin);
    let lease = ShardLease::new(1, FencingToken::new(10), sent, until, sent);
    assert!(lease.is_live(until - Duration::from_millis(1)));
    assert!(!lease.is_live(until));
    // A renewal that succeeds after an outage past the deadline shows that the lease hasn't
    // expired, so the leader continues with the same fencing token.
    let late = sent + Duration::from_secs(30);
    lease.record_renewal(late, deadline(&operator, late));
    assert_eq!(
        lease.since_last_renewal(late + Duration::from_secs(1)),
        Duration::from_secs(1)
    );
    assert!(lease.is_live(late + Duration::from_secs(1)));
    lease.end();
    assert!(!lease.is_live(late + Duration::from_secs(1)));
}
