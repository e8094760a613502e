//! By which authority this controller may renew a worker's lease.
//!
//! An answer to a worker's heartbeat renews its lease, so that its tasks live on. It takes
//! two things: a fencing token that the worker accepts, from the leader or on its behalf,
//! and fresh enough knowledge of the cancellations that users were sent (see
//! [`cancellation_freshness`]).
//!
//! These are methods of [`Node`] because they combine the state behind its lock with its
//! settings and with the health of its client for the store.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::advance_delegation::{self, AdvanceDelegation};
use super::cancellation_freshness;
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;
use crate::protocol::FencingToken;
use crate::protocol::workers::WorkerHeartbeat;

impl Node {
    /// The moment up to which this node knows of all cancellations that any controller
    /// confirmed to a user.
    fn cancellations_known_up_to(&self, state: &NodeState, now: Instant) -> Option<Instant> {
        let others = &self.settings.platform.others;
        let node_ids = others.iter().map(|peer| peer.node_id.as_str());
        state.cancellations.known_up_to(node_ids, now)
    }

    /// Whether this node's knowledge of cancellations is fresh enough to renew workers'
    /// leases, by whatever authority: their tasks may live on for a whole lease.
    pub fn may_renew_leases(&self, now: Instant) -> bool {
        let mut state = self.lock();
        let known = self.cancellations_known_up_to(&state, now);
        let bound = cancellation_freshness::bound(&self.settings);
        let may = known.is_some_and(|known| now < known + bound);
        // Before the first catch-up read there is nothing to suspend, nor to log.
        if let Some(known) = known
            && state.renewals_suspended == may
        {
            state.renewals_suspended = !may;
            log_renewals_changed(may, now.saturating_duration_since(known), bound);
        }
        may
    }

    /// The fencing token under which this node may renew a worker's lease on behalf of
    /// the leader, if there is one that the worker accepts.
    pub fn delegated_fencing_token(&self, heartbeat: &WorkerHeartbeat) -> Option<FencingToken> {
        self.fencing_token_while_recovering(heartbeat)
            .or_else(|| self.fencing_token_by_delegation(heartbeat))
            .or_else(|| self.fencing_token_by_advance_delegation(heartbeat))
    }

    /// The token of a shard that this node acquired and cannot recover yet, since the
    /// store has failed for all controllers just then, while extension votes keep the
    /// lease: workers know no other leader. Once recovered, the shard reckons with leases
    /// renewed up to that moment.
    fn fencing_token_while_recovering(&self, heartbeat: &WorkerHeartbeat) -> Option<FencingToken> {
        let state = self.lock();
        let lease = state.recovering.as_ref()?;
        (lease.live(self.now()) && heartbeat.fencing_token <= lease.fencing_token)
            .then_some(lease.fencing_token)
    }

    /// The leader's token by the delegation that this node last found in the store.
    fn fencing_token_by_delegation(&self, heartbeat: &WorkerHeartbeat) -> Option<FencingToken> {
        let now = self.now();
        let mut state = self.lock();
        let delegation = state.delegate.delegation?;
        if now >= delegation.until || heartbeat.fencing_token > delegation.fencing_token {
            return None;
        }
        if delegation.inventory && heartbeat.fencing_token == delegation.fencing_token {
            let unwritten = &mut state.delegate.unwritten_heartbeats;
            unwritten.insert(heartbeat.clone());
        }
        Some(delegation.fencing_token)
    }

    /// The leader's token while neither the store nor the leader is reached, by the
    /// delegation that the leader's last answer granted in advance, or by this node's own
    /// last renewal as the leader.
    fn fencing_token_by_advance_delegation(
        &self,
        heartbeat: &WorkerHeartbeat,
    ) -> Option<FencingToken> {
        if !self.kv_failing() {
            return None;
        }
        let now = self.now();
        let mut state = self.lock();
        let delegation = latest_advance_delegation(&state)?;
        let known = self.cancellations_known_up_to(&state, now);
        let until = delegation.until(known, advance_delegation::longest(&self.settings))?;
        if now >= until
            || in_contact_with_leader(&state, delegation.fencing_token, now)
            || heartbeat.fencing_token > delegation.fencing_token
        {
            return None;
        }
        let previous = state.delegate.last_advance_renewal.replace(now);
        if previous.is_none() {
            info!(
                fencing_token = %delegation.fencing_token,
                "renewing workers' leases without the leader, by advance delegation"
            );
        }
        Some(delegation.fencing_token)
    }
}

/// The advance delegation of the highest fencing token: one that the leader granted, or
/// that of this node's own leadership.
fn latest_advance_delegation(state: &NodeState) -> Option<AdvanceDelegation> {
    let leadership = state.leadership.as_ref().filter(|own| !own.lease.ended());
    let own = leadership.map(|own| AdvanceDelegation {
        fencing_token: own.lease.fencing_token,
        seen: own.lease.last_renewed(),
    });
    let delegations = state.delegate.advance.into_iter().chain(own);
    delegations.max_by_key(|delegation| delegation.fencing_token)
}

/// Whether a leader with at least this fencing token has lately sent a heartbeat.
fn in_contact_with_leader(state: &NodeState, fencing_token: FencingToken, now: Instant) -> bool {
    state.peers.leader_contact.is_some_and(|contact| {
        contact.fencing_token >= fencing_token
            && now.saturating_duration_since(contact.at)
                < advance_delegation::LEADER_UNREACHABLE_AFTER
    })
}

fn log_renewals_changed(may: bool, staleness: Duration, bound: Duration) {
    let (staleness_s, bound_s) = (staleness.as_secs_f64(), bound.as_secs_f64());
    if may {
        info!(
            staleness_s,
            bound_s, "renewals of workers' leases resumed: cancellations are known"
        );
    } else {
        warn!(
            staleness_s,
            bound_s, "renewals of workers' leases suspended: cancellations may be unknown"
        );
    }
}
