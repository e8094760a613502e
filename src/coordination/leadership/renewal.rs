//! Renewing the shard's lease, and extending it by the other controllers' votes while
//! the store serves nobody.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tracing::{info, warn};

use super::lease::{self, MAX_LEASE_EXTENSION, ShardLease};
use crate::coordination::clock_drift;
use crate::coordination::node::Node;
use crate::coordination::peering::lease_votes;
use crate::settings::Operator;
use crate::storage::kv_client::KvError;

/// Share of the lease's duration without a successful renewal past which the renewals
/// count as failing.
const FAILING_AFTER_LEASE_SHARE: f64 = 0.6;
/// Renewal intervals without a successful renewal up to which failing renewals count as
/// succeeding again.
const RECOVERED_WITHIN_INTERVALS: u32 = 3;
/// Pause before the next renewal when the store refused the last one.
const REFUSED_RENEWAL_PAUSE: Duration = Duration::from_millis(150);

/// Whether the lease is being renewed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RenewalHealth {
    Timely,
    /// The lease may expire in the store: votes have to extend it.
    Failing,
}

impl RenewalHealth {
    /// The health when the last successful renewal was sent `since_renewal` ago. Failing
    /// renewals need a fresher success to count as timely than timely ones to stay so.
    fn next(self, since_renewal: Duration, operator: &Operator) -> Self {
        let failing = since_renewal > operator.lease().mul_f64(FAILING_AFTER_LEASE_SHARE);
        let not_recovered =
            self == Self::Failing && since_renewal > operator.renew() * RECOVERED_WITHIN_INTERVALS;
        if failing || not_recovered {
            Self::Failing
        } else {
            Self::Timely
        }
    }
}

/// Renews the lease until it has ended, on connections of its own.
///
/// The next renewal doesn't wait for the answer to the last: a store that answers slowly
/// must not take the shard from a leader that it serves.
pub(super) async fn renew_until_ended(node: Arc<Node>, lease: Arc<ShardLease>) {
    let operator = &node.settings.operator;
    let max_in_flight = (operator.lease_s / operator.renew_s).ceil() as usize;
    // At most `max_in_flight` renewals; those left are aborted when the lease has ended.
    let mut in_flight = JoinSet::new();
    let mut health = RenewalHealth::Timely;
    while !lease.ended() {
        if in_flight.len() < max_in_flight {
            in_flight.spawn(renew_once(node.clone(), lease.clone()));
        }
        let refused = await_answers(&mut in_flight, &lease, operator.renew()).await;
        let previous = health;
        health = previous.next(lease.since_last_renewal(node.now()), operator);
        log_health_change(&lease, previous, health, refused);
        if health == RenewalHealth::Failing {
            extend_by_votes(&node, &lease).await;
        }
        if refused {
            tokio::time::sleep(REFUSED_RENEWAL_PAUSE).await;
        }
    }
}

/// Takes in answers to renewals for `pause`, those to earlier ones included. Returns
/// early, with true, when the store refuses one.
async fn await_answers(
    in_flight: &mut JoinSet<Result<(), KvError>>,
    lease: &ShardLease,
    pause: Duration,
) -> bool {
    let pause = tokio::time::sleep(pause);
    tokio::pin!(pause);
    loop {
        tokio::select! {
            () = &mut pause => return false,
            () = lease.end_notify.notified() => return false,
            Some(result) = in_flight.join_next() => {
                if matches!(result, Ok(Err(KvError::Refused { .. }))) {
                    return true;
                }
            }
        }
    }
}

fn log_health_change(
    lease: &ShardLease,
    previous: RenewalHealth,
    health: RenewalHealth,
    refused: bool,
) {
    let fencing_token = lease.fencing_token;
    match (previous, health) {
        (RenewalHealth::Timely, RenewalHealth::Failing) => {
            warn!(%fencing_token, refused, "lease renewals are failing");
        }
        (RenewalHealth::Failing, RenewalHealth::Timely) => {
            info!(%fencing_token, "lease renewals succeed again");
        }
        _ => {}
    }
}

async fn renew_once(node: Arc<Node>, lease: Arc<ShardLease>) -> Result<(), KvError> {
    let operator = &node.settings.operator;
    let sent = node.now();
    let result = node
        .clients
        .kv
        .renew_lease(lease.id, operator.lease())
        .await;
    match &result {
        Ok(()) => lease.record_renewal(sent, lease::deadline(operator, sent)),
        Err(KvError::LeaseEnded { .. }) if !lease.ended() => {
            warn!(fencing_token = %lease.fencing_token, "the lease has expired in the store");
            lease.end();
        }
        Err(_) => {}
    }
    result
}

/// Without the store, a leader goes on as long as every other controller votes not to
/// campaign for the shard. Past its deadline it may resume if no other controller can
/// have acquired the shard since its last successful renewal was sent.
async fn extend_by_votes(node: &Arc<Node>, lease: &ShardLease) {
    let time = MAX_LEASE_EXTENSION;
    let sent = node.now();
    let granted = if lease.live(sent) {
        lease_votes::all_grant_extension(node, time).await
    } else {
        lease_votes::all_vote_for_revival(node, lease, time).await
    };
    if granted {
        lease.extend(extended_deadline(&node.settings.operator, sent, time));
    }
}

/// The deadline that votes for `time`, asked for at `sent`, give.
fn extended_deadline(operator: &Operator, sent: Instant, time: Duration) -> Instant {
    let margin = Duration::from_secs_f64(operator.lease_margin_s).min(time / 4);
    sent + clock_drift::min_elapsed(time) - margin
}

#[cfg(test)]
mod tests;
