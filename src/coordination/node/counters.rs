//! Counts of what a controller told workers, for the status page.

use std::fmt;
use std::time::Duration;

use crate::coordination::worker_leases::RenewalAuthority;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// The answers to workers' heartbeats.
    pub heartbeat_answers: HeartbeatAnswerCounts,
    /// The batches of commands for which a permit to send was obtained.
    pub batches: BatchCounts,
}

/// Counts of the answers to workers' heartbeats.
#[derive(Debug, Default)]
pub struct HeartbeatAnswerCounts {
    as_leader: u64,
    while_recovering: u64,
    by_delegation: u64,
    by_advance_delegation: u64,
    with_stops: u64,
    refused: u64,
    redirected: u64,
}

impl HeartbeatAnswerCounts {
    /// Counts an answer that renews a worker's lease and holds this number of stops.
    pub fn record_renewal(&mut self, authority: RenewalAuthority, stops: usize) {
        let count = match authority {
            RenewalAuthority::Leader => &mut self.as_leader,
            RenewalAuthority::Recovery => &mut self.while_recovering,
            RenewalAuthority::Delegation => &mut self.by_delegation,
            RenewalAuthority::AdvanceDelegation => &mut self.by_advance_delegation,
        };
        *count += 1;
        self.with_stops += u64::from(stops > 0);
    }

    /// Counts a refusal: a deleted machine or a higher fencing token.
    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Counts an answer that renews no lease and redirects the worker.
    pub fn record_redirect(&mut self) {
        self.redirected += 1;
    }
}

impl fmt::Display for HeartbeatAnswerCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "leases renewed {} as leader, {} while recovering, {} by delegation, \
             {} by advance delegation; {} with stops; {} refused, {} redirected",
            self.as_leader,
            self.while_recovering,
            self.by_delegation,
            self.by_advance_delegation,
            self.with_stops,
            self.refused,
            self.redirected,
        )
    }
}

/// Counts of the batches of commands that were sent to workers.
#[derive(Debug, Default)]
pub struct BatchCounts {
    sent: u64,
    longest_wait: Duration,
}

impl BatchCounts {
    /// Counts a batch that waited this long for a permit to be sent.
    pub fn record_sent(&mut self, waited: Duration) {
        self.sent += 1;
        self.longest_wait = self.longest_wait.max(waited);
    }
}

impl fmt::Display for BatchCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { sent, longest_wait } = self;
        write!(f, "{sent} sent, longest wait for a permit {longest_wait:?}")
    }
}
