//! The agent epochs of a machine's worker, and the order of its heartbeats.
//!
//! A worker sends heartbeats periodically and in answer to commands. Its agent epoch is the
//! period in which it keeps one lease: a new epoch begins when the lease expires.

use crate::protocol::workers::WorkerHeartbeat;

/// Position of a heartbeat among all heartbeats of one worker.
///
/// Within one worker process these numbers only increase: the worker begins a new agent epoch
/// when its lease expires, and numbers its heartbeats and answers within the epoch.
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
    /// The heartbeat has the same agent epoch as the newest one before it.
    Unchanged,
    /// The heartbeat is the first that this leader has received from the worker.
    First,
    /// The worker began a new agent epoch: it has killed and forgotten all its tasks.
    NewEpoch,
}

/// The newest heartbeat of a worker, and the agent epochs that have ended.
///
/// Invariant: the number of the newest heartbeat never decreases, and an agent epoch that has
/// ended never becomes live again, even if a message of that epoch arrives late.
#[derive(Debug, Default)]
pub struct AgentEpochs {
    /// The newest heartbeat received, periodic or in answer to commands.
    newest: Option<HeartbeatNumber>,
    /// The newest periodic heartbeat received.
    newest_periodic: HeartbeatNumber,
    /// The last agent epoch that has ended, as have all before it; 0 if none has ended.
    ended: u64,
}

impl AgentEpochs {
    /// The agent epoch of the newest heartbeat; None before the first heartbeat.
    pub fn current(&self) -> Option<u64> {
        self.newest.map(|newest| newest.agent_epoch)
    }

    /// The last agent epoch that has ended, as have all before it; 0 if none has ended.
    #[cfg(test)]
    pub fn ended(&self) -> u64 {
        self.ended
    }

    /// The number of the newest heartbeat; zero before the first heartbeat.
    pub fn newest(&self) -> HeartbeatNumber {
        self.newest.unwrap_or_default()
    }

    /// Whether the worker's current agent epoch has not ended, as far as this leader knows.
    pub fn is_live(&self) -> bool {
        self.current().is_some_and(|epoch| epoch > self.ended)
    }

    /// Whether this is the number of the newest heartbeat.
    pub fn is_newest(&self, number: HeartbeatNumber) -> bool {
        self.newest == Some(number)
    }

    /// Whether a heartbeat is a duplicate, arrives after a newer one, or belongs to an agent
    /// epoch that has ended.
    pub fn is_outdated(&self, number: HeartbeatNumber) -> bool {
        number.agent_epoch <= self.ended || number <= self.newest()
    }

    /// Makes a heartbeat that is not outdated the newest one.
    pub fn advance(&mut self, number: HeartbeatNumber) -> EpochChange {
        let change = match self.current() {
            None => EpochChange::First,
            Some(epoch) if epoch == number.agent_epoch => EpochChange::Unchanged,
            Some(_) => EpochChange::NewEpoch,
        };
        self.newest = Some(number);
        if change == EpochChange::NewEpoch {
            self.ended = self.ended.max(number.agent_epoch - 1);
        }
        change
    }

    /// Records a periodic heartbeat. Returns false if it is a duplicate or older than another
    /// periodic heartbeat: the worker does not wait for its answer.
    pub fn note_periodic(&mut self, number: HeartbeatNumber) -> bool {
        let is_new = number > self.newest_periodic;
        if is_new {
            self.newest_periodic = number;
        }
        is_new
    }

    /// Marks the current agent epoch as ended, since the worker's lease in it has expired.
    pub fn end_current(&mut self) {
        if let Some(epoch) = self.current() {
            self.ended = self.ended.max(epoch);
        }
    }
}
