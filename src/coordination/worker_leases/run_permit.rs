//! The permit to let a worker's tasks run for another worker lease.
//!
//! Whatever starts a task or renews a worker's lease needs a [`RunPermit`]: the task may then run
//! until the worker's present lease expires, whether or not the controller ever learns that its
//! job was cancelled. A controller obtains permits until its [`RunDeadline`], after which its
//! knowledge of cancellations is too old.

use std::time::{Duration, Instant};

/// Until when a controller may start tasks and renew workers' leases, by what it knows of
/// cancellations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunDeadline {
    /// `None` if the controller knows of no moment up to which it knows all cancellations.
    at: Option<Instant>,
}

impl RunDeadline {
    /// The deadline of a controller that knows all cancellations which were confirmed before
    /// `cancellations_known_up_to`, if `staleness_bound` is the longest time for which tasks may
    /// be started and leases renewed after that moment.
    pub fn new(cancellations_known_up_to: Option<Instant>, staleness_bound: Duration) -> Self {
        Self {
            at: cancellations_known_up_to.map(|known| known + staleness_bound),
        }
    }

    /// The permit for a decision at `now`; `None` if the deadline has passed.
    pub fn permit(self, now: Instant) -> Option<RunPermit> {
        self.at
            .filter(|at| now < *at)
            .map(|_| RunPermit { _private: () })
    }
}

/// Proof that a decision to start a task or to renew a worker's lease was made before the
/// [`RunDeadline`]. Only [`RunDeadline::permit`] creates it.
#[derive(Debug, PartialEq, Eq)]
pub struct RunPermit {
    _private: (),
}
