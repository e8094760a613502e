//! Decides by which authority, if any, this controller may let a worker's tasks run.
//!
//! An answer to a worker's heartbeat renews the worker's lease, so that its tasks keep running. A
//! controller needs two things to answer: a fencing token that the worker accepts, as the leader
//! or on the leader's behalf, and recent enough knowledge of the cancellations that were confirmed
//! to users (see [`cancellation_freshness`]), for which it gets a [`RunPermit`]. To start a task the
//! leader needs the same.
//!
//! These are methods of [`Node`] because they combine the state behind its lock with its
//! settings and with the health of its client for the store.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::RenewalAuthority;
use super::advance_delegation::{self, AdvanceDelegation};
use super::cancellation_freshness;
use super::command_tokens::CommandTokens;
use super::run_permit::{RunDeadline, RunPermit};
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;
use crate::protocol::workers::WorkerHeartbeat;
use crate::protocol::{CommandToken, FencingToken};

/// The right to renew a worker's lease on behalf of a leader.
#[derive(Debug, Clone, Copy)]
pub struct DelegatedRenewal {
    /// Where the right comes from.
    pub authority: RenewalAuthority,
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// The token of the answer, which the worker accepts.
    pub command_token: CommandToken,
}

impl DelegatedRenewal {
    /// The right to answer a worker on behalf of the leader with these tokens; `None` if the worker
    /// may follow a later leader.
    fn new(
        authority: RenewalAuthority,
        tokens: CommandTokens,
        heartbeat: &WorkerHeartbeat,
    ) -> Option<Self> {
        Some(Self {
            authority,
            fencing_token: tokens.leadership(),
            command_token: tokens.answering(heartbeat.fencing_token)?,
        })
    }
}

impl Node {
    /// The moment up to which this node knows of all cancellations that any controller
    /// confirmed to a user.
    pub fn cancellations_known_up_to(&self, state: &NodeState, now: Instant) -> Option<Instant> {
        let others = &self.settings.platform.others;
        let node_ids = others.iter().map(|peer| peer.node_id.as_str());
        state.cancellations.known_up_to(node_ids, now)
    }

    /// Returns a permit to start tasks or to renew workers' leases now, by whatever authority, if
    /// this node's knowledge of cancellations is recent enough.
    pub fn run_permit(&self) -> Option<RunPermit> {
        let now = self.now();
        self.run_deadline(&mut self.lock(), now).permit(now)
    }

    /// Until when this node may start tasks and renew workers' leases, as of `now`. Logs a change
    /// of whether it may.
    pub fn run_deadline(&self, state: &mut NodeState, now: Instant) -> RunDeadline {
        let known = self.cancellations_known_up_to(state, now);
        let bound = cancellation_freshness::staleness_bound(&self.settings);
        let deadline = RunDeadline::new(known, bound);
        let may_run = deadline.permit(now).is_some();
        // Before the first catch-up read there are no renewals to suspend, and nothing to log.
        if let Some(known) = known
            && state.renewals_suspended == may_run
        {
            state.renewals_suspended = !may_run;
            log_renewals_changed(may_run, now.saturating_duration_since(known), bound);
        }
        deadline
    }

    /// By which right this node, when it doesn't act as the leader, may renew a worker's lease.
    /// `None` if it has none, or the worker doesn't accept its fencing token.
    pub fn delegated_renewal(&self, heartbeat: &WorkerHeartbeat) -> Option<DelegatedRenewal> {
        self.renewal_while_recovering(heartbeat)
            .or_else(|| self.renewal_by_delegation(heartbeat))
            .or_else(|| self.renewal_by_advance_delegation(heartbeat))
    }

    /// By a shard that this node has acquired and cannot recover yet: the store failed
    /// for all controllers just then, and extension votes keep the shard's lease, so workers have
    /// no other leader. Once recovered, the shard takes into account that workers' leases may
    /// have been renewed up to that moment.
    fn renewal_while_recovering(&self, heartbeat: &WorkerHeartbeat) -> Option<DelegatedRenewal> {
        let state = self.lock();
        let lease = state.recovering.as_ref()?;
        let tokens = CommandTokens::of_leadership(lease.fencing_token);
        lease
            .is_live(self.now())
            .then(|| DelegatedRenewal::new(RenewalAuthority::Recovery, tokens, heartbeat))?
    }

    /// By the delegation that this node last read from the store.
    fn renewal_by_delegation(&self, heartbeat: &WorkerHeartbeat) -> Option<DelegatedRenewal> {
        let now = self.now();
        let mut state = self.lock();
        let delegation = state.delegate.delegation?;
        if now >= delegation.until {
            return None;
        }
        let authority = RenewalAuthority::Delegation;
        let renewal = DelegatedRenewal::new(authority, delegation.tokens, heartbeat)?;
        if delegation.wants_inventory && delegation.tokens.contains(heartbeat.fencing_token) {
            let unwritten = &mut state.delegate.unwritten_heartbeats;
            unwritten.insert(heartbeat.clone());
        }
        Some(renewal)
    }

    /// While this node reaches neither the store nor the leader: by the
    /// delegation that the leader's last answer granted in advance, or by this node's own last
    /// lease renewal as the leader.
    fn renewal_by_advance_delegation(
        &self,
        heartbeat: &WorkerHeartbeat,
    ) -> Option<DelegatedRenewal> {
        if !self.is_kv_failing() {
            return None;
        }
        let now = self.now();
        let mut state = self.lock();
        let delegation = latest_advance_delegation(&state)?;
        let leadership = delegation.tokens.leadership();
        let known = self.cancellations_known_up_to(&state, now);
        let until =
            delegation.valid_until(known, advance_delegation::max_duration(&self.settings))?;
        if now >= until || in_contact_with_leader(&state, leadership, now) {
            return None;
        }
        let authority = RenewalAuthority::AdvanceDelegation;
        let renewal = DelegatedRenewal::new(authority, delegation.tokens, heartbeat)?;
        let previous = state.delegate.last_advance_renewal.replace(now);
        if previous.is_none() {
            info!(
                fencing_token = %leadership,
                "renewing workers' leases without the leader, by advance delegation"
            );
        }
        Some(renewal)
    }
}

/// The advance delegation with the highest fencing token: the one that the leader granted, or the
/// one that follows from this node's own leadership.
fn latest_advance_delegation(state: &NodeState) -> Option<AdvanceDelegation> {
    let leadership = state
        .leadership
        .as_ref()
        .filter(|leadership| !leadership.lease.has_ended());
    let own_delegation = leadership.map(|leadership| AdvanceDelegation {
        tokens: leadership.shard.command_tokens(),
        heartbeat_sent: leadership.lease.last_renewed(),
    });
    let delegations = state.delegate.advance.into_iter().chain(own_delegation);
    delegations.max_by_key(|delegation| delegation.tokens.leadership())
}

/// Whether a leader with at least this fencing token has recently sent a heartbeat.
fn in_contact_with_leader(state: &NodeState, fencing_token: FencingToken, now: Instant) -> bool {
    state.peers.leader_contact.is_some_and(|contact| {
        contact.fencing_token >= fencing_token
            && now.saturating_duration_since(contact.received_at)
                < advance_delegation::LEADER_UNREACHABLE_AFTER
    })
}

fn log_renewals_changed(may_renew: bool, staleness: Duration, bound: Duration) {
    let (staleness_s, bound_s) = (staleness.as_secs_f64(), bound.as_secs_f64());
    if may_renew {
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
