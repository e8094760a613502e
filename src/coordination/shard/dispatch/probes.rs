//! Probes of workers.
//!
//! A probe is a batch without commands: the worker answers it with a heartbeat, as it does
//! any batch. The shard's tick probes the workers that are due. The reconciler probes the machines
//! of the recovered roster, and a worker whose heartbeat has an earlier leader's fencing token or
//! is older than the newest one.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Machine, Shard};
use crate::coordination::worker_leases::commands::CommandList;
use crate::protocol::MachineId;

/// A heartbeat is late once the time since the last contact exceeds the heartbeat interval
/// times this factor, plus [`LATE_HEARTBEAT_MARGIN`]. The factor covers the spread of the
/// workers' timers.
const LATE_HEARTBEAT_FACTOR: f64 = 1.25;
/// Time allowed for the delivery of a heartbeat; see [`LATE_HEARTBEAT_FACTOR`].
const LATE_HEARTBEAT_MARGIN: Duration = Duration::from_millis(750);

/// The agent epoch with which a worker process starts. It is sent in a probe if the worker's epoch
/// is unknown because no heartbeat of the worker has arrived.
pub(in crate::coordination::shard) const FIRST_AGENT_EPOCH: u64 = 1;

impl Shard {
    /// Sends an empty batch, which raises the worker's fencing token to this leader's and is
    /// answered with a heartbeat. Does nothing while a batch is outstanding or if the worker's
    /// address is unknown.
    pub(in crate::coordination::shard) fn probe(
        &mut self,
        machine_id: &MachineId,
        agent_epoch: u64,
    ) {
        let Some(machine) = self.machines.get(machine_id) else {
            return;
        };
        if machine.commands.is_outstanding() || machine.addr.is_empty() {
            return;
        }
        let token = self.present_token(machine_id);
        self.send_batch(machine_id, agent_epoch, CommandList::new(token));
    }

    /// Probes machines whose workers have not acknowledged this leader's fencing token, whose
    /// heartbeats are late, or that the last commands failed to reach.
    pub(in crate::coordination::shard) fn probe_due_machines(&mut self, now: Instant) {
        let due: Vec<(MachineId, u64)> = self
            .machines
            .values()
            .filter(|machine| self.needs_probe(machine, now))
            .map(|machine| {
                let agent_epoch = machine.agent_epoch().unwrap_or(FIRST_AGENT_EPOCH);
                (machine.id.clone(), agent_epoch)
            })
            .collect();
        for (machine_id, agent_epoch) in due {
            self.probe(&machine_id, agent_epoch);
        }
    }

    fn needs_probe(&self, machine: &Machine, now: Instant) -> bool {
        let interval = self.policy.heartbeat_interval;
        let late_after = interval.mul_f64(LATE_HEARTBEAT_FACTOR) + LATE_HEARTBEAT_MARGIN;
        let is_late = machine.since_last_contact(now) > late_after;
        (!machine.token_acknowledged || is_late || machine.commands.is_unreachable())
            && machine.expects_heartbeats()
            && machine.commands.can_send(now)
    }
}
