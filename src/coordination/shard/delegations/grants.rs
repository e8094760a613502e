//! Granting and revoking delegations, and what they mean for worker leases.

use std::collections::BTreeSet;
use std::time::Instant;

use super::AdvanceRenewals;
use crate::coordination::shard::{Machine, Shard, WritePurpose};
use crate::protocol::kv::Mutation;
use crate::storage::keys;
use crate::storage::records::{DelegateRecord, FORMAT_VERSION};

impl Shard {
    /// Whether the controller with this node id may renew worker leases.
    pub fn has_delegated_to(&self, node_id: &str) -> bool {
        self.delegations.is_granted(node_id)
    }

    /// The node ids of the controllers that may renew worker leases.
    pub fn delegates(&self) -> Vec<String> {
        self.delegations.granted().map(str::to_owned).collect()
    }

    /// Delegates the renewal of worker leases to a controller that receives the workers'
    /// heartbeats. If machines are unreconciled, the delegate is asked for their inventory.
    pub fn delegate(&mut self, node_id: &str, now: Instant) {
        if self.has_delegated_to(node_id) {
            return;
        }
        let record = DelegateRecord {
            format_version: FORMAT_VERSION,
            fencing_token: self.fencing_token,
            inventory: !self.unreconciled.is_empty(),
        };
        let Ok(value) = serde_json::to_value(record) else {
            return;
        };
        tracing::info!(
            fencing_token = %self.fencing_token,
            node_id,
            "renewal of worker leases delegated"
        );
        self.delegations.grant(node_id, now);
        self.writes.push_record(
            WritePurpose::Delegate,
            Mutation::put(keys::delegate(node_id), value),
        );
        self.needs_pass = true;
    }

    /// Revokes a delegation: the delegate is reachable again, or receives no heartbeats.
    pub fn revoke(&mut self, node_id: &str) {
        if !self.has_delegated_to(node_id) {
            return;
        }
        tracing::info!(
            fencing_token = %self.fencing_token,
            node_id,
            "renewal of worker leases no longer delegated"
        );
        self.delegations.begin_revocation(node_id);
        self.writes.push_record(
            WritePurpose::RevokeDelegation(node_id.to_owned()),
            Mutation::delete(keys::delegate(node_id)),
        );
        self.needs_pass = true;
    }

    /// Removes delegations that have ended. Until then the delegate may have renewed the
    /// lease of any worker, so all leases count from now.
    pub(in crate::coordination::shard) fn end_delegations(&mut self, now: Instant) {
        if !self.delegations.remove_ended(now) {
            return;
        }
        let lease_expires_at = now + self.policy.worker_lease_bound();
        for id in self
            .machines
            .ids(|m| m.lease.expires_at() < lease_expires_at)
        {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.lease.extend_to(lease_expires_at);
            }
        }
    }

    /// Whether a delegate may have renewed worker leases that this leader doesn't know of.
    pub(in crate::coordination::shard) fn others_may_renew_leases(&self) -> bool {
        self.delegations.any_active()
    }

    /// Other controllers may have renewed worker leases by advance delegations until `last`,
    /// as far as is known at `known_at`.
    pub fn note_advance_renewals(&mut self, last: Option<Instant>, known_at: Instant) {
        self.delegations
            .note_advance_renewals(AdvanceRenewals { known_at, last });
    }

    /// What is known of renewals by advance delegations; none until the peering code has
    /// reported them.
    pub(in crate::coordination::shard) fn advance_renewals(
        &self,
        now: Instant,
    ) -> Option<AdvanceRenewals> {
        if self.policy.advance_delegation.is_zero() {
            return Some(AdvanceRenewals {
                known_at: now,
                last: None,
            });
        }
        self.delegations.advance_renewals()
    }

    /// Sets the zones that are likely partitioned from this leader.
    pub fn set_partitioned_zones(&mut self, zones: BTreeSet<String>) {
        self.delegations.set_partitioned_zones(zones);
    }

    /// Whether a controller in the machine's zone may renew its worker's lease by an advance
    /// delegation, since the zone is partitioned from this leader.
    pub(in crate::coordination::shard) fn may_be_renewed_in_partition(
        &self,
        machine: &Machine,
    ) -> bool {
        !self.policy.advance_delegation.is_zero() && self.delegations.is_partitioned(&machine.zone)
    }
}
