//! Queues the records that must be durable before the shard acts on them.

use super::shard_write::WritePurpose;
use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::cloud::Rental;
use crate::protocol::kv::Mutation;
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, RentalRecord, RosterRecord};

impl Shard {
    /// Records that a machine may hold tasks, before it gets any.
    pub(in crate::coordination::shard) fn admit(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if !machine.request_admission() {
            return;
        }
        let record = roster_record(machine, false);
        self.put_roster_entry(id, record, WritePurpose::Admit(id.clone()));
    }

    /// Records that a machine is to be deleted, before the deletion is requested from the cloud.
    pub(in crate::coordination::shard) fn record_deletion(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let record = roster_record(machine, true);
        self.put_roster_entry(id, record, WritePurpose::Delete(id.clone()));
    }

    fn put_roster_entry(&mut self, id: &MachineId, record: RosterRecord, purpose: WritePurpose) {
        let value_bytes = self.policy.value_bytes;
        self.writes
            .put_roster_entry(id, record, value_bytes, purpose);
    }

    /// Removes a machine that no longer exists from the roster.
    pub(in crate::coordination::shard) fn remove_from_roster(&mut self, id: &MachineId) {
        self.writes.remove_roster_entry(id);
    }

    /// Records a rental before it is requested from the cloud, so that after a failover the new
    /// leader repeats the same idempotent request.
    pub(in crate::coordination::shard) fn record_rental(&mut self, rental: &Rental) {
        let record = RentalRecord {
            format_version: FORMAT_VERSION,
            rental: rental.clone(),
        };
        if let Ok(value) = serde_json::to_value(record) {
            self.writes.push_record(
                WritePurpose::RecordRental(rental.clone()),
                Mutation::put(keys::pending_rental(&rental.request), value),
            );
        }
    }

    /// Deletes the record of a rental whose request the cloud has answered.
    pub(in crate::coordination::shard) fn clear_rental(&mut self, request: &str) {
        self.writes.push_record(
            WritePurpose::ClearRental(request.to_owned()),
            Mutation::delete(keys::pending_rental(request)),
        );
    }
}

fn roster_record(machine: &Machine, deleting: bool) -> RosterRecord {
    RosterRecord {
        addr: machine.addr.clone(),
        machine_type: machine.machine_type.to_string(),
        zone: machine.zone.to_string(),
        spot: machine.spot,
        deleting,
    }
}
