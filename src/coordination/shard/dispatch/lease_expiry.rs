//! Expiry of the workers' leases.

use std::time::Instant;

use crate::coordination::shard::Shard;
use crate::protocol::MachineId;

impl Shard {
    /// Ends the agent epochs whose leases are surely over.
    pub(in crate::coordination::shard) fn expire_leases(&mut self, now: Instant) {
        if self.others_may_renew_leases() {
            return;
        }
        // What was surely over when others' answers were last reckoned with is
        // so for ever: a later answer revives nothing.
        let Some(answers) = self.advance_renewals(now) else {
            return;
        };
        let known_at = answers.known_at;
        let lease = self.policy.worker_lease_bound();
        if answers.last.is_some_and(|last| known_at <= last + lease) {
            return;
        }
        let over: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| {
                known_at > m.lease_expires_at
                    && (!m.load.idle() || self.unreconciled.contains(&m.id))
            })
            .map(|m| m.id.clone())
            .collect();
        for id in over {
            if let Some(machine) = self.machines.get_mut(&id) {
                if let Some(agent_epoch) = machine.agent_epoch {
                    machine.ended_epochs = machine.ended_epochs.max(agent_epoch);
                }
                tracing::info!(machine = %id, "worker lease over");
            }
            self.empty_machine(&id, known_at);
        }
    }
}
