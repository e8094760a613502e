//! The path of commands from the leader to one worker.

use std::time::Instant;

use super::HeartbeatNumber;

/// A batch of commands whose answer is awaited.
#[derive(Debug, Clone, Copy)]
pub struct OutstandingBatch {
    /// Tells the batch from others of the machine.
    number: u64,
    /// The newest heartbeat received when the batch was sent: what answers the batch is
    /// newer, unless the worker process has started over.
    pub newest_when_sent: HeartbeatNumber,
}

/// What is known about sending commands to one worker.
///
/// Invariant: at most one batch is outstanding, so that a worker executes batches in the
/// order in which they were decided.
#[derive(Debug, Default)]
pub struct CommandChannel {
    outstanding: Option<OutstandingBatch>,
    /// Nothing is sent before this moment.
    retry_at: Option<Instant>,
    /// Batches without an answer since the worker was last heard from.
    unanswered: u32,
    /// Whether commands fail to reach the worker, as far as is known.
    unreachable: bool,
}

impl CommandChannel {
    /// Whether a batch awaits its answer.
    pub fn is_outstanding(&self) -> bool {
        self.outstanding.is_some()
    }

    /// Whether the batch with this number awaits its answer.
    #[cfg(test)]
    pub fn awaits(&self, number: u64) -> bool {
        self.outstanding.is_some_and(|batch| batch.number == number)
    }

    /// Whether the pause before the next attempt to send is over.
    pub fn retry_is_due(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| at <= now)
    }

    /// Whether a batch may be sent now.
    pub fn is_free(&self, now: Instant) -> bool {
        !self.is_outstanding() && self.retry_is_due(now)
    }

    /// Whether commands fail to reach the worker; such a machine gets no new work until
    /// its worker answers a batch.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// How many batches in a row got no answer since the worker was last heard from.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// A batch is sent.
    pub fn begin(&mut self, number: u64, newest_when_sent: HeartbeatNumber) {
        self.outstanding = Some(OutstandingBatch {
            number,
            newest_when_sent,
        });
        self.retry_at = None;
    }

    /// A batch was answered or failed. Returns it if it is the outstanding one, and None
    /// if the outcome comes late.
    pub fn complete(&mut self, number: u64) -> Option<OutstandingBatch> {
        self.outstanding.take_if(|batch| batch.number == number)
    }

    /// Puts the next attempt to send off.
    pub fn retry_at(&mut self, at: Instant) {
        self.retry_at = Some(at);
    }

    /// A batch got no answer, or could not be sent.
    pub fn note_failure(&mut self, retry_at: Instant) {
        self.retry_at = Some(retry_at);
        self.unanswered += 1;
        self.unreachable = true;
    }

    /// The worker answered a batch.
    pub fn note_answer(&mut self) {
        self.unreachable = false;
    }

    /// A new heartbeat of the worker was accepted.
    pub fn note_heartbeat(&mut self) {
        self.unanswered = 0;
    }

    /// The worker's lease expired although its heartbeats arrive: it may not be reachable.
    pub fn note_lease_lost(&mut self) {
        self.unreachable = true;
    }
}
