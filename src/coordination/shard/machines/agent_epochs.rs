//! The agent epochs of a machine's worker, and the heartbeats received in them.

use crate::protocol::workers::WorkerHeartbeat;

/// Position of a heartbeat among all heartbeats of one worker.
///
/// Within one worker process these numbers only rise: a worker begins a new agent epoch
/// when its lease expires, and counts its heartbeats and answers within it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatNumber {
    /// The worker's agent epoch.
    pub agent_epoch: u64,
    /// The heartbeat's number within that agent epoch.
    pub sequence: u64,
}

impl From<&WorkerHeartbeat> for HeartbeatNumber {
    fn from(heartbeat: &WorkerHeartbeat) -> Self {
        Self {
            agent_epoch: heartbeat.agent_epoch,
            sequence: heartbeat.sequence,
        }
    }
}

/// What an accepted heartbeat says about the worker's agent epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochChange {
    /// It belongs to the agent epoch of the heartbeat before it.
    Unchanged,
    /// It is the first heartbeat that this leader has of the worker.
    First,
    /// The worker began a new agent epoch: it killed and forgot all that it held.
    Restarted,
}

/// The newest heartbeat of a worker, and the agent epochs that have ended.
///
/// Invariant: the newest heartbeat never goes back, and an agent epoch that has ended
/// never becomes live again, whatever a late message says.
#[derive(Debug, Default)]
pub struct AgentEpochs {
    /// The newest heartbeat, sent by itself or as the answer to commands.
    newest: Option<HeartbeatNumber>,
    /// The newest heartbeat that the worker sent by itself.
    newest_own: HeartbeatNumber,
    /// Agent epochs up to this one have ended.
    ended: u64,
}

impl AgentEpochs {
    /// The agent epoch of the newest heartbeat, if there was one.
    pub fn current(&self) -> Option<u64> {
        self.newest.map(|newest| newest.agent_epoch)
    }

    /// Agent epochs up to this one have ended; 0 if none has.
    #[cfg(test)]
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// The newest heartbeat; zero before the first.
    pub fn newest(&self) -> HeartbeatNumber {
        self.newest.unwrap_or_default()
    }

    /// Whether the worker is in an agent epoch that has not ended, as far as is known.
    pub fn is_live(&self) -> bool {
        self.current().is_some_and(|epoch| epoch > self.ended)
    }

    /// Whether a heartbeat is the newest one received.
    pub fn is_newest(&self, number: HeartbeatNumber) -> bool {
        self.newest == Some(number)
    }

    /// Whether a heartbeat is a copy, was overtaken, or belongs to an ended agent epoch.
    pub fn is_outdated(&self, number: HeartbeatNumber) -> bool {
        number.agent_epoch <= self.ended || number <= self.newest()
    }

    /// Accepts a heartbeat that isn't outdated.
    pub fn advance(&mut self, number: HeartbeatNumber) -> EpochChange {
        let change = match self.current() {
            None => EpochChange::First,
            Some(epoch) if epoch == number.agent_epoch => EpochChange::Unchanged,
            Some(_) => EpochChange::Restarted,
        };
        self.newest = Some(number);
        if change == EpochChange::Restarted {
            self.ended = self.ended.max(number.agent_epoch - 1);
        }
        change
    }

    /// Notes a heartbeat that the worker sent by itself. Returns false for a copy, whose
    /// answer no worker waits for.
    pub fn note_own(&mut self, number: HeartbeatNumber) -> bool {
        let is_new = number > self.newest_own;
        if is_new {
            self.newest_own = number;
        }
        is_new
    }

    /// Ends the current agent epoch: the worker's lease in it has expired.
    pub fn end_current(&mut self) {
        if let Some(epoch) = self.current() {
            self.ended = self.ended.max(epoch);
        }
    }
}
