//! What entitles a controller to answer workers' heartbeats.
//!
//! An answer renews a worker's lease, so that its tasks live on: it needs the leader's
//! fencing token, and knowledge of the cancellations that users were told.

use crate::protocol::FencingToken;
use std::time::Instant;

use tracing::{info, warn};

use super::advance_delegation::{self, AdvanceDelegation};
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;
use crate::protocol::workers::WorkerHeartbeat;

impl Node {
    /// The moment up to which all cancellations that users were told are known.
    fn known_up_to(&self, inner: &NodeState, now: Instant) -> Option<Instant> {
        let others = &self.settings.platform.others;
        let node_ids = others.iter().map(|peer| peer.node_id.as_str());
        inner.cancellations.known_up_to(node_ids, now)
    }

    /// Whether this node knows enough of the finished jobs to answer
    /// workers, as whatever: their tasks may live on for a lease.
    pub fn may_renew_leases(&self, now: Instant) -> bool {
        let mut inner = self.lock();
        let known = self.known_up_to(&inner, now);
        let may = known.is_some_and(|known| now < known + self.renewal_bound);
        // Before its first catch-up read a controller has nothing to tell.
        if inner.renewals_suspended == may && known.is_some() {
            inner.renewals_suspended = !may;
            if may {
                info!("workers are answered again: cancellations are known");
            } else {
                warn!("workers are not answered: cancellations may have been missed");
            }
        }
        may
    }

    /// The fencing token under which this node may answer a worker for the leader, if the
    /// worker would take it.
    pub fn delegated_fencing_token(&self, heartbeat: &WorkerHeartbeat) -> Option<FencingToken> {
        self.fencing_token_while_recovering(heartbeat)
            .or_else(|| self.fencing_token_by_delegation(heartbeat))
            .or_else(|| self.fencing_token_by_advance_delegation(heartbeat))
    }

    /// A leader that can't load the shard yet, since the key-value store fell out
    /// for all just then, and that has it by extension votes: workers know no other.
    /// Their leases are counted from when it will have been loaded.
    fn fencing_token_while_recovering(&self, heartbeat: &WorkerHeartbeat) -> Option<FencingToken> {
        let inner = self.lock();
        let lease = inner.recovering.as_ref()?;
        (lease.live(self.now()) && heartbeat.fencing_token <= lease.fencing_token)
            .then_some(lease.fencing_token)
    }

    /// The same without the key-value store and the leader, by the advance delegation
    /// that the leader's last answer gave, or by this node's own last renewal.
    fn fencing_token_by_advance_delegation(
        &self,
        heartbeat: &WorkerHeartbeat,
    ) -> Option<FencingToken> {
        if !self.kv_failing() {
            return None;
        }
        let now = self.now();
        let mut inner = self.lock();
        let known = self.known_up_to(&inner, now);
        let own = inner.leadership.as_ref().filter(|own| !own.lease.ended());
        let own = own.map(|own| AdvanceDelegation {
            fencing_token: own.lease.fencing_token,
            seen: own.lease.last_renewed(),
        });
        let delegation = inner.delegate.advance.into_iter().chain(own);
        let delegation = delegation.max_by_key(|delegation| delegation.fencing_token)?;
        let until = delegation.until(known, advance_delegation::longest(&self.settings))?;
        let leader_contact = inner.peers.leader_contact.is_some_and(|contact| {
            contact.fencing_token >= delegation.fencing_token
                && now.saturating_duration_since(contact.at)
                    < advance_delegation::LEADER_UNREACHABLE_AFTER
        });
        if now >= until || leader_contact || heartbeat.fencing_token > delegation.fencing_token {
            return None;
        }
        if inner.delegate.answered_by_advance_delegation.is_none() {
            info!(
                fencing_token = %delegation.fencing_token,
                "answering workers without the leader"
            );
        }
        inner.delegate.answered_by_advance_delegation = Some(now);
        Some(delegation.fencing_token)
    }

    fn fencing_token_by_delegation(&self, heartbeat: &WorkerHeartbeat) -> Option<FencingToken> {
        let now = self.now();
        let mut inner = self.lock();
        let delegation = inner.delegate.delegation?;
        if now >= delegation.until || heartbeat.fencing_token > delegation.fencing_token {
            return None;
        }
        if delegation.inventory && heartbeat.fencing_token == delegation.fencing_token {
            inner
                .delegate
                .unwritten_heartbeats
                .insert(heartbeat.clone());
        }
        Some(delegation.fencing_token)
    }
}
