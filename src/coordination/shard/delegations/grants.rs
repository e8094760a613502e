//! Grants and revokes delegations, and accounts for the worker leases that delegates may have
//! renewed.

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
        self.delegations
            .granted_node_ids()
            .map(str::to_owned)
            .collect()
    }

    /// Delegates the renewal of worker leases to a controller that receives the workers'
    /// heartbeats. If machines are unreconciled, the record also asks the delegate for the
    /// inventory of its workers.
    pub fn grant_delegation(&mut self, node_id: &str, now: Instant) {
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

    /// Revokes a controller's delegation. The caller has found that the controller is reachable
    /// again, or that it receives no heartbeats from workers.
    pub fn revoke_delegation(&mut self, node_id: &str) {
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

    /// Removes the delegations that have ended. A delegate may have renewed any worker's lease
    /// until its delegation ended, so all leases are extended as if they were renewed at `now`.
    pub(in crate::coordination::shard) fn remove_ended_delegations(&mut self, now: Instant) {
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

    /// Whether a delegate may have renewed worker leases without this leader's knowledge.
    pub(in crate::coordination::shard) fn others_may_renew_leases(&self) -> bool {
        self.delegations.has_active()
    }

    /// Records that other controllers may have renewed worker leases by advance delegations until
    /// `last`, or not at all if it is None. Renewals after `known_at` are not known yet.
    pub fn note_advance_renewals(&mut self, last: Option<Instant>, known_at: Instant) {
        self.delegations
            .note_advance_renewals(AdvanceRenewals { known_at, last });
    }

    /// What is known about renewals by advance delegations; None until the peering code has
    /// reported them. If the settings permit no advance delegations, there are no renewals.
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

    /// Whether the machine's zone is likely partitioned from this leader, so that a controller
    /// in the zone may renew the lease of the machine's worker by an advance delegation.
    pub(in crate::coordination::shard) fn may_be_renewed_in_partition(
        &self,
        machine: &Machine,
    ) -> bool {
        !self.policy.advance_delegation.is_zero() && self.delegations.is_partitioned(&machine.zone)
    }
}
