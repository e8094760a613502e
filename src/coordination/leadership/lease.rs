//! The leader's lease on the shard: until when the leader may act, and when the lease was last
//! renewed.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::coordination::clock_drift;
use crate::protocol::FencingToken;
use crate::settings::Operator;

/// Longest lease extension that a controller votes for. A process that has just started waits this
/// long before it campaigns: the controller's earlier process may have given such a vote.
pub const MAX_LEASE_EXTENSION: Duration = Duration::from_secs(1);

/// One term of leadership, identified by its fencing token.
///
/// A leader acts only while [`ShardLease::is_live`]: until its deadline, which counts from when the
/// last successful renewal was *sent*. Past the deadline the lease may have expired in the store.
/// If a renewal succeeds later, the lease hasn't expired, and the leader continues with the same
/// fencing token.
#[derive(Debug)]
pub struct ShardLease {
    /// The lease's id in the store.
    pub id: u64,
    /// The fencing token of this leadership: the revision of its leader record.
    pub fencing_token: FencingToken,
    /// Until when the leader may act.
    deadline: Mutex<Instant>,
    /// When the last successful renewal was sent.
    last_renewed: Mutex<Instant>,
    /// Set once, when the leadership ends for good.
    ended: AtomicBool,
    /// When the shard was acquired.
    pub acquired_at: Instant,
    /// Wakes the leader's loop when the shard has something to decide.
    pub work_notify: Notify,
    /// Wakes the tasks of this leadership when the lease ends.
    pub end_notify: Notify,
    /// The sequence number of the shard's last write. Unlike the other locks, this lock is held
    /// across awaits on purpose: the shard's writes are sent one after another.
    pub sequence: tokio::sync::Mutex<Sequence>,
}

/// The shard's sequence record: which write was the last.
#[derive(Debug, Default, Clone, Copy)]
pub struct Sequence {
    /// The record's modification revision, on which the next write is conditional.
    pub mod_revision: u64,
    /// The number of the last write.
    pub number: u64,
}

/// The moment until which a leader may act after a renewal sent at `sent` succeeded. The store
/// counts the lease from a later moment, but its clock may run faster than the leader's.
pub fn deadline(operator: &Operator, sent: Instant) -> Instant {
    let margin = Duration::from_secs_f64(operator.lease_margin_s);
    sent + clock_drift::min_elapsed(operator.lease_ttl()).saturating_sub(margin)
}

impl ShardLease {
    /// Creates the lease of a new leadership, which was requested from the store at `sent`. The
    /// leader may act until `deadline`.
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
    pub fn is_live(&self, now: Instant) -> bool {
        !self.has_ended() && now < *self.deadline.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether the leadership has ended for good: nothing more is done under its fencing token.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Ends the leadership for good, and wakes its tasks.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.end_notify.notify_waiters();
    }

    /// Records that a renewal sent at `sent` succeeded: the leader may act until `until`.
    pub fn record_renewal(&self, sent: Instant, until: Instant) {
        let mut last_renewed = self.last_renewed.lock().unwrap_or_else(|e| e.into_inner());
        *last_renewed = (*last_renewed).max(sent);
        drop(last_renewed);
        self.extend(until);
    }

    /// Moves the deadline to `until`, unless the deadline is already later.
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
