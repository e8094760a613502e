//! The leader's lease on the shard: what it entitles to, and until when.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::coordination::clock_drift;
use crate::protocol::FencingToken;
use crate::settings::Operator;

/// Longest time for which a vote is given. A process that has just started waits this long before
/// it campaigns: its earlier incarnation may have voted.
pub const MAX_LEASE_EXTENSION: Duration = Duration::from_secs(1);

/// One term of leadership, identified by its fencing token.
///
/// A leader acts only while [`ShardLease::live`]: until its deadline, which runs
/// from when the last successful renewal was *sent*. Past the deadline the lease may
/// have expired in the store. If a later renewal succeeds, it never did, and the leader
/// goes on with the same fencing token.
#[derive(Debug)]
pub struct ShardLease {
    /// The lease's id in the store.
    pub id: u64,
    /// The fencing token of this leadership: the revision of its leader record.
    pub fencing_token: FencingToken,
    /// Up to when the leader may act.
    deadline: Mutex<Instant>,
    /// When the last successful renewal was sent.
    last_renewed: Mutex<Instant>,
    ended: AtomicBool,
    /// When the shard was acquired.
    pub acquired_at: Instant,
    /// Wakes the leader's loop: the shard has something to decide.
    pub work_notify: Notify,
    /// Wakes the tasks of this leadership: the lease has ended.
    pub end_notify: Notify,
    /// The sequence number of the shard's last write. Unlike the other locks it is held
    /// over awaits on purpose: shard writes are sent one after another.
    pub sequence: tokio::sync::Mutex<Sequence>,
}

/// The shard's sequence record: which write was the last.
#[derive(Debug, Default, Clone, Copy)]
pub struct Sequence {
    /// The record's modification revision, which the next write has to find.
    pub mod_revision: u64,
    /// The number of the last write.
    pub number: u64,
}

/// The moment up to which a leader may act after a renewal sent at `sent` succeeded:
/// the store counts the lease from later, but its clock may run faster.
pub fn deadline(operator: &Operator, sent: Instant) -> Instant {
    let margin = Duration::from_secs_f64(operator.lease_margin_s);
    sent + clock_drift::min_elapsed(operator.lease()).saturating_sub(margin)
}

impl ShardLease {
    /// A leadership whose lease was asked for at `sent`, in which the leader may act until
    /// `deadline`.
    pub fn new(
        id: u64,
        fencing_token: FencingToken,
        sent: Instant,
        deadline: Instant,
        acquired_at: Instant,
    ) -> Self {
        Self {
            id,
            fencing_token,
            deadline: Mutex::new(deadline),
            last_renewed: Mutex::new(sent),
            ended: AtomicBool::new(false),
            acquired_at,
            work_notify: Notify::new(),
            end_notify: Notify::new(),
            sequence: tokio::sync::Mutex::new(Sequence::default()),
        }
    }

    /// Whether the leader may act now.
    pub fn live(&self, now: Instant) -> bool {
        !self.ended() && now < *self.deadline.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether it has ended for good: nothing is done under its fencing token any more.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Ends it for good, and wakes the tasks of this leadership.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.end_notify.notify_waiters();
    }

    /// A renewal sent at `sent` has succeeded: the leader may act until `until`.
    pub fn record_renewal(&self, sent: Instant, until: Instant) {
        let mut last_renewed = self.last_renewed.lock().unwrap_or_else(|e| e.into_inner());
        *last_renewed = (*last_renewed).max(sent);
        drop(last_renewed);
        self.extend(until);
    }

    /// The leader may act until `until`, unless it may already for longer.
    pub fn extend(&self, until: Instant) {
        let mut deadline = self.deadline.lock().unwrap_or_else(|e| e.into_inner());
        *deadline = (*deadline).max(until);
    }

    /// When the last successful renewal was sent.
    pub fn last_renewed(&self) -> Instant {
        *self.last_renewed.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Time since the last successful renewal was sent.
    pub fn since_last_renewal(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_renewed())
    }
}

#[cfg(test)]
mod tests;
