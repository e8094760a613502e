//! Holding the shard: the lease in the key-value store, and what it entitles to.

use crate::protocol::FencingToken;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::coordination::clock_drift;
use crate::settings::Operator;

/// How long a delegate may answer workers after it asked the key-value store
/// whether the leader still delegates that to it.
pub const DELEGATION_TIME: Duration = Duration::from_secs(2);

/// One term of leadership, identified by its fencing token.
///
/// A leader acts only while [`ShardLease::live`]: until its deadline, which runs
/// from when the last successful renewal was *sent*. Past it the lease may have
/// ended. If a later renewal succeeds, the lease never did, and the leader goes
/// on with the same fencing token.
#[derive(Debug)]
pub struct ShardLease {
    /// Its id in the key-value store.
    pub id: u64,
    /// The fencing token that it gives: the revision at which the shard was acquired.
    pub fencing_token: FencingToken,
    deadline: Mutex<Instant>,
    /// When the last renewal that succeeded was sent.
    renewed: Mutex<Instant>,
    ended: AtomicBool,
    /// When it began.
    pub since: Instant,
    /// Woken when the shard has something to decide.
    pub work: Notify,
    /// Woken when the lease ends.
    pub end: Notify,
    /// The shard's sequence number, held while a shard write is under way.
    pub sequence: tokio::sync::Mutex<Sequence>,
}

/// The version of the sequence key and the number in it.
#[derive(Debug, Default, Clone, Copy)]
pub struct Sequence {
    /// The version of the key that the next write has to find.
    pub mod_revision: u64,
    /// The number in it.
    pub n: u64,
}

/// The moment up to which a renewal sent at `sent` entitles.
pub fn deadline(operator: &Operator, sent: Instant) -> Instant {
    let margin = Duration::from_secs_f64(operator.lease_margin_s);
    sent + clock_drift::min_elapsed(operator.lease()).saturating_sub(margin)
}

impl ShardLease {
    /// A fencing token whose lease was asked for at `sent`, which entitles until `deadline`.
    pub fn new(
        id: u64,
        fencing_token: FencingToken,
        sent: Instant,
        deadline: Instant,
        since: Instant,
    ) -> Self {
        Self {
            id,
            fencing_token,
            deadline: Mutex::new(deadline),
            renewed: Mutex::new(sent),
            ended: AtomicBool::new(false),
            since,
            work: Notify::new(),
            end: Notify::new(),
            sequence: tokio::sync::Mutex::new(Sequence::default()),
        }
    }

    /// Whether the leader may act now.
    pub fn live(&self, now: Instant) -> bool {
        !self.ended() && now < *self.deadline.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether it has ended for good.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Ends it: nothing is done in its name any more.
    pub fn finish(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.end.notify_waiters();
    }

    /// A renewal sent then has succeeded; it entitles until a deadline.
    pub fn renewed(&self, sent: Instant, until: Instant) {
        let mut renewed = self.renewed.lock().unwrap_or_else(|e| e.into_inner());
        *renewed = (*renewed).max(sent);
        drop(renewed);
        self.extended(until);
    }

    /// The leader may act until then.
    pub fn extended(&self, until: Instant) {
        let mut deadline = self.deadline.lock().unwrap_or_else(|e| e.into_inner());
        *deadline = (*deadline).max(until);
    }

    /// When the last renewal that succeeded was sent.
    pub fn last_renewed(&self) -> Instant {
        *self.renewed.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Time since the last renewal that succeeded was sent.
    pub fn unrenewed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_renewed())
    }
}

#[cfg(test)]
mod tests;
