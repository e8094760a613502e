//! The other controller, through which users cancel jobs, and what the leader knows of these
//! cancellations. The leader learns of them from the key-value store. While the store refuses the
//! leader, the leader queries the other controller, which remembers only the cancellations that its
//! present process has confirmed.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Simulation, is_fault_active};
use crate::coordination::shard::tests::fixtures::STALENESS_BOUND;
use crate::coordination::worker_leases::cancellation_freshness::CancellationFreshness;
use crate::coordination::worker_leases::run_permit::RunDeadline;
use crate::protocol::users::JobStage;

const PEER: &str = "peer";

/// The other controller, and the leader's knowledge of the cancellations that it has confirmed.
pub(super) struct Peer {
    /// When its present process started.
    started: Instant,
    /// The jobs whose cancellation its present process has confirmed.
    confirmed: BTreeSet<String>,
    /// What the leader knows of all cancellations.
    leader_freshness: CancellationFreshness,
    /// Whether the key-value store refused the leader at the last exchange.
    was_leader_refused: bool,
}

impl Peer {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started: now,
            confirmed: BTreeSet::new(),
            leader_freshness: CancellationFreshness::default(),
            was_leader_refused: false,
        }
    }
}

impl Simulation {
    /// Makes the key-value store refuse the leader alone for a duration.
    pub(crate) fn refuse_leader(&mut self, duration: Duration) {
        self.catch_up_leader();
        self.store.leader_refused_until = Some(self.now + duration);
    }

    /// Restarts the other controller, which forgets the cancellations that it has confirmed.
    pub(crate) fn restart_peer(&mut self) {
        self.peer.started = self.now;
        self.peer.confirmed.clear();
    }

    /// Records that the other controller confirms a cancellation to the user.
    pub(super) fn confirm_cancellation(&mut self, job: &str) {
        self.truth.cancelled_at.insert(job.to_owned(), self.now);
        self.peer.confirmed.insert(job.to_owned());
    }

    /// Whether the key-value store serves the leader.
    pub(super) fn is_leader_served(&self) -> bool {
        !is_fault_active(self.store.outage_until, self.now)
            && !is_fault_active(self.store.leader_refused_until, self.now)
    }

    /// A read of the jobs by the leader, which does nothing while the store refuses it.
    pub(super) fn catch_up_leader(&mut self) {
        if !self.is_leader_served() {
            return;
        }
        self.peer.leader_freshness.record_catch_up(self.now);
        for (job, stage) in self.store.final_stages() {
            self.apply_to_leader(|shard| shard.job_finished(&job, Some(stage)));
        }
    }

    /// A new leader knows all cancellations, since it has read the jobs.
    pub(super) fn reset_leader_freshness(&mut self) {
        self.store.leader_refused_until = None;
        self.peer.leader_freshness = CancellationFreshness::default();
        self.peer.leader_freshness.record_catch_up(self.now);
    }

    /// Updates what the leader knows of cancellations: from the store, or else from the other
    /// controller.
    pub(super) fn update_leader_freshness(&mut self) {
        if self.is_leader_served() {
            if std::mem::take(&mut self.peer.was_leader_refused) {
                self.catch_up_leader();
            }
            // The watch delivers the finished jobs.
            self.peer.leader_freshness.record_catch_up(self.now);
            return;
        }
        self.peer.was_leader_refused = true;
        let (now, started) = (self.now, self.peer.started);
        self.peer
            .leader_freshness
            .record_peer_answer(PEER, now, started);
        for job in self.peer.confirmed.clone() {
            let stage = JobStage::Cancelled;
            self.apply_to_leader(|shard| shard.job_finished(&job, Some(stage)));
        }
    }

    /// The moment up to which the leader knows of all cancellations.
    pub(super) fn cancellations_known_up_to(&self) -> Option<Instant> {
        let peers = std::iter::once(PEER);
        self.peer.leader_freshness.known_up_to(peers, self.now)
    }

    /// Until when the leader may start tasks and renew workers' leases.
    pub(super) fn run_deadline(&self) -> RunDeadline {
        RunDeadline::new(self.cancellations_known_up_to(), STALENESS_BOUND)
    }
}
