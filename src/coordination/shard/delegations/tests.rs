use std::time::{Duration, Instant};

use super::Delegations;
use crate::coordination::worker_leases::DELEGATION_TIME;

#[test]
fn a_revoked_delegation_stays_active_until_its_delegate_can_send_no_more_answers() {
    let start = Instant::now();
    let mut delegations = Delegations::default();
    delegations.grant("beta", start);
    delegations.begin_revocation("beta");
    assert!(!delegations.is_granted("beta"));
    assert!(!delegations.remove_ended(start + DELEGATION_TIME * 10));
    let revoked = start + Duration::from_secs(30);
    delegations.revocation_written("beta", revoked);
    assert!(!delegations.remove_ended(revoked + DELEGATION_TIME));
    assert!(
        delegations.has_active(),
        "the clock of the delegate may run slow"
    );
    assert!(delegations.remove_ended(revoked + DELEGATION_TIME * 2));
    assert!(!delegations.has_active());
    assert_eq!(delegations.active_duration(revoked), None);
}

#[test]
fn a_delegation_granted_again_survives_the_write_of_its_revocation() {
    let start = Instant::now();
    let mut delegations = Delegations::default();
    delegations.grant("beta", start);
    delegations.begin_revocation("beta");
    delegations.grant("beta", start + Duration::from_secs(1));
    delegations.revocation_written("beta", start + Duration::from_secs(2));
    assert_eq!(delegations.granted_node_ids().collect::<Vec<_>>(), ["beta"]);
    let later = start + Duration::from_secs(60);
    assert!(!delegations.remove_ended(later));
    assert_eq!(delegations.active_duration(later), Some(later - start));
}
