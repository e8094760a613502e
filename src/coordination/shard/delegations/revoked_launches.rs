//! Records for the delegates the launches that may still arrive although a stop of their attempts was
//! requested.

use crate::coordination::shard::machines::Machine;
use crate::coordination::shard::{Shard, WritePurpose};
use crate::storage::records::RevokedLaunch;

impl Shard {
    /// Queues the writes of the launches that were revoked since the last call, while delegates may
    /// renew leases. Afterwards the records are deleted.
    pub(in crate::coordination::shard) fn record_revoked_launches(&mut self) {
        let writes = if self.others_may_renew_leases() {
            let launches = self.revoked_launches();
            let fencing_token = self.fencing_token;
            self.delegations
                .revoked_launches
                .add(launches, fencing_token)
        } else {
            self.delegations.revoked_launches.clear()
        };
        if !writes.is_empty() {
            tracing::debug!(
                fencing_token = %self.fencing_token,
                pages = writes.len(),
                "records of revoked launches changed"
            );
        }
        for write in writes {
            self.writes.push_record(WritePurpose::RevokeLaunches, write);
        }
    }

    fn revoked_launches(&self) -> Vec<RevokedLaunch> {
        let machines = self.machines.values();
        let with_any = machines.filter(|machine| machine.load.has_revoked_launch);
        with_any.flat_map(revoked_launches_of).collect()
    }
}

fn revoked_launches_of(machine: &Machine) -> Vec<RevokedLaunch> {
    let Some(agent_epoch) = machine.agent_epoch() else {
        return Vec::new();
    };
    let attempts = machine.attempts.iter();
    let revoked = attempts.filter(|(_, attempt)| attempt.is_launch_revoked());
    let launches = revoked.map(|(attempt_id, _)| RevokedLaunch {
        machine: machine.id.to_string(),
        agent_epoch,
        task: attempt_id.task.clone(),
        attempt: attempt_id.number,
    });
    launches.collect()
}
