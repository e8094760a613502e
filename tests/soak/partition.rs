//! The part of a plan in which some workers and one controller are apart from all other controllers.
//! That controller renews the workers' leases for the leader, and launches that were on their way to
//! the workers arrive after the partition.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::plan::{PlannedTrouble, Trouble, WORKER_GROUPS, between};

/// One of this many seeds in a row has a partition.
const PARTITION_EVERY: u64 = 4;
/// Keeps the random numbers of partitions apart from those of the other troubles.
const PARTITION_STREAM: u64 = 0x7061_7274;
/// Longer than in other runs, as the leader takes some seconds to find and appoint the delegate.
const WORKER_LEASE: Duration = Duration::from_secs(9);
/// How long cancelled tasks may run, and how long the partition lasts, in milliseconds.
const MAX_CANCELLATION_MS: std::ops::Range<u64> = 17_300..19_000;
const DURATION_MS: std::ops::Range<u64> = 26_000..30_000;
/// When users submit and cancel, after the partition has begun.
const SUBMISSIONS_MS: std::ops::Range<u64> = 0..900;
const CANCELLATIONS_MS: std::ops::Range<u64> = 1_000..4_000;
/// How many times users submit, and how many times they cancel, several jobs at once.
const BURSTS: usize = 3;

/// A partition, and what users do as it begins.
#[derive(Debug, Clone)]
pub(crate) struct PartitionPlan {
    group: usize,
    at: Duration,
    duration: Duration,
    pub(crate) worker_lease: Duration,
    pub(crate) max_cancellation: Duration,
    /// When users submit several jobs at once.
    pub(crate) submissions: Vec<Duration>,
    /// When users cancel jobs that they submitted last.
    pub(crate) cancellations: Vec<Duration>,
}

impl PartitionPlan {
    /// Draws the partition of a seed; `None` if the seed has none. It lasts for much longer than
    /// cancelled tasks may run.
    pub(crate) fn draw(seed: u64) -> Option<Self> {
        if seed % PARTITION_EVERY != 1 {
            return None;
        }
        let mut rng = StdRng::seed_from_u64(seed ^ PARTITION_STREAM);
        let at = between(&mut rng, 4_000, 6_000);
        let mut bursts = |range: std::ops::Range<u64>| -> Vec<Duration> {
            let burst = |_| at + between(&mut rng, range.start, range.end);
            (0..BURSTS).map(burst).collect()
        };
        let submissions = bursts(SUBMISSIONS_MS);
        let cancellations = bursts(CANCELLATIONS_MS);
        Some(Self {
            group: rng.random_range(0..WORKER_GROUPS),
            at,
            duration: between(&mut rng, DURATION_MS.start, DURATION_MS.end),
            worker_lease: WORKER_LEASE,
            max_cancellation: between(&mut rng, MAX_CANCELLATION_MS.start, MAX_CANCELLATION_MS.end),
            submissions,
            cancellations,
        })
    }

    /// When the partition is over.
    pub(crate) fn end(&self) -> Duration {
        self.at + self.duration
    }

    pub(crate) fn trouble(&self) -> PlannedTrouble {
        PlannedTrouble {
            at: self.at,
            trouble: Trouble::PartitionWithDelegate {
                group: self.group,
                duration: self.duration,
            },
        }
    }
}
