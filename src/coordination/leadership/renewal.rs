//! Renews the shard's lease in the store, and extends it by the other controllers' votes while the
//! store serves no controller.

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

/// Renewals count as failing if the last successful one was sent longer ago than this share of the
/// lease's duration.
const FAILING_AFTER_LEASE_SHARE: f64 = 0.6;
/// Failing renewals count as timely again if the last successful one was sent at most this many
/// renewal intervals ago.
const RECOVERED_WITHIN_INTERVALS: u32 = 3;
/// Additional pause before the next renewal after the store refused one.
const REFUSED_RENEWAL_PAUSE: Duration = Duration::from_millis(150);

/// Whether the lease is being renewed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RenewalHealth {
    Timely,
    /// The lease may expire in the store, so votes have to extend it.
    Failing,
}

impl RenewalHealth {
    /// Returns the new health when the last successful renewal was sent `since_renewal` ago. With
    /// hysteresis: failing renewals don't count as timely again before a success that was sent at
    /// most [`RECOVERED_WITHIN_INTERVALS`] renewal intervals ago.
    fn next(self, since_renewal: Duration, operator: &Operator) -> Self {
        let is_failing = since_renewal > operator.lease_ttl().mul_f64(FAILING_AFTER_LEASE_SHARE);
        let has_not_recovered = self == Self::Failing
            && since_renewal > operator.renewal_interval() * RECOVERED_WITHIN_INTERVALS;
        if is_failing || has_not_recovered {
            Self::Failing
        } else {
            Self::Timely
        }
    }
}

/// Renews the lease until it has ended, on connections of its own.
///
/// A renewal doesn't wait for the answer to the one before: a leader must not lose the shard
/// because a store that serves it answers slowly.
pub(super) async fn renew_until_ended(node: Arc<Node>, lease: Arc<ShardLease>) {
    let operator = &node.settings.operator;
    let max_in_flight = (operator.lease_s / operator.renew_s).ceil() as usize;
    // Holds at most `max_in_flight` renewals. Those that remain when the lease has ended are
    // aborted.
    let mut in_flight = JoinSet::new();
    let mut health = RenewalHealth::Timely;
    while !lease.has_ended() {
        if in_flight.len() < max_in_flight {
            in_flight.spawn(renew_once(node.clone(), lease.clone()));
        }
        let refused = await_answers(&mut in_flight, &lease, operator.renewal_interval()).await;
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

/// Waits for `pause` and collects the answers to renewals that arrive meanwhile. Returns early with
/// true if the store refuses a renewal, and with false if the lease ends.
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
        .renew_lease(lease.id, operator.lease_ttl())
        .await;
    match &result {
        Ok(()) => lease.record_renewal(sent, lease::deadline(operator, sent)),
        Err(KvError::LeaseEnded { .. }) if !lease.has_ended() => {
            warn!(fencing_token = %lease.fencing_token, "the lease has expired in the store");
            lease.end();
        }
        Err(_) => {}
    }
    result
}

/// Extends the lease without the store, if every other controller votes not to campaign for the
/// shard meanwhile. Past its deadline the leader may resume only if, in addition, no other
/// controller can have acquired the shard since the leader's last successful renewal was sent.
async fn extend_by_votes(node: &Arc<Node>, lease: &ShardLease) {
    let time = MAX_LEASE_EXTENSION;
    let sent = node.now();
    let granted = if lease.is_live(sent) {
        lease_votes::all_grant_extension(node, time).await
    } else {
        lease_votes::all_vote_for_revival(node, lease, time).await
    };
    if granted {
        lease.extend(extended_deadline(&node.settings.operator, sent, time));
    }
}

/// The deadline of a lease that votes, requested at `sent`, extend by `time`.
fn extended_deadline(operator: &Operator, sent: Instant, time: Duration) -> Instant {
    let margin = Duration::from_secs_f64(operator.lease_margin_s).min(time / 4);
    sent + clock_drift::min_elapsed(time) - margin
}

#[cfg(test)]
mod tests;
