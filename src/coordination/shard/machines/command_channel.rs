//! State of the command delivery from the leader to one worker.

use std::time::Instant;

use super::HeartbeatNumber;

/// A batch of commands whose answer is awaited.
#[derive(Debug, Clone, Copy)]
pub struct OutstandingBatch {
    /// The batch's number, unique within this leader's term.
    number: u64,
    /// The newest heartbeat that had arrived when the batch was sent. The answer to the batch
    /// has a higher number, unless the worker process has restarted.
    pub newest_heartbeat_when_sent: HeartbeatNumber,
    /// Whether the batch no longer waits to be sent: the worker may have received it.
    has_left: bool,
}

/// Which batch awaits the worker's answer, when the next may be sent, and whether the last ones
/// reached the worker.
///
/// Invariant: at most one batch is outstanding, so that a worker executes batches in the
/// order in which they were decided.
#[derive(Debug, Default)]
pub struct CommandChannel {
    outstanding: Option<OutstandingBatch>,
    /// No batch is sent before this moment.
    retry_at: Option<Instant>,
    /// How many batches failed since the worker's last accepted heartbeat.
    unanswered_batches: u32,
    /// Whether commands fail to reach the worker, as far as this leader knows.
    is_unreachable: bool,
}

impl CommandChannel {
    /// Whether a batch awaits its answer.
    pub fn is_outstanding(&self) -> bool {
        self.outstanding.is_some()
    }

    /// Whether the batch with this number awaits its answer.
    pub fn awaits(&self, number: u64) -> bool {
        self.outstanding.is_some_and(|batch| batch.number == number)
    }

    /// Records that the outstanding batch leaves the leader now.
    pub fn note_left(&mut self) {
        if let Some(batch) = &mut self.outstanding {
            batch.has_left = true;
        }
    }

    /// Whether the worker may have received the outstanding batch.
    pub fn is_in_flight(&self) -> bool {
        self.outstanding.is_some_and(|batch| batch.has_left)
    }

    /// Whether the pause before the next batch is over.
    pub fn retry_is_due(&self, now: Instant) -> bool {
        self.retry_at.is_none_or(|at| at <= now)
    }

    /// Whether a batch may be sent now.
    pub fn can_send(&self, now: Instant) -> bool {
        !self.is_outstanding() && self.retry_is_due(now)
    }

    /// Whether commands fail to reach the worker. Its machine gets no new tasks until the worker
    /// answers a batch.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// How many batches got no answer, or could not be sent, since the worker's last accepted
    /// heartbeat.
    pub fn unanswered_batches(&self) -> u32 {
        self.unanswered_batches
    }

    /// Records that a batch is sent; it is outstanding until [`CommandChannel::complete`].
    pub fn note_sent(&mut self, number: u64, newest_heartbeat_when_sent: HeartbeatNumber) {
        self.outstanding = Some(OutstandingBatch {
            number,
            newest_heartbeat_when_sent,
            has_left: false,
        });
        self.retry_at = None;
    }

    /// Records that a batch was answered or failed. Returns the batch if it is the outstanding
    /// one; None if its outcome comes late, after a newer batch was sent.
    pub fn complete(&mut self, number: u64) -> Option<OutstandingBatch> {
        self.outstanding.take_if(|batch| batch.number == number)
    }

    /// Sends no batch before `at`.
    pub fn delay_until(&mut self, at: Instant) {
        self.retry_at = Some(at);
    }

    /// Records that a batch got no answer or could not be sent; the next one is sent at
    /// `retry_at` at the earliest.
    pub fn note_failure(&mut self, retry_at: Instant) {
        self.retry_at = Some(retry_at);
        self.unanswered_batches += 1;
        self.is_unreachable = true;
    }

    /// Records that the worker answered a batch.
    pub fn note_answer(&mut self) {
        self.is_unreachable = false;
    }

    /// Records that a new heartbeat of the worker was accepted.
    pub fn note_heartbeat(&mut self) {
        self.unanswered_batches = 0;
    }

    /// Records that the worker's lease expired although its heartbeats arrive: messages from this
    /// leader may not reach the worker.
    pub fn note_lease_lost(&mut self) {
        self.is_unreachable = true;
    }
}
