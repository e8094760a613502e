//! The plan of a run: the size and the times of the deployment, and the troubles with their times.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::partition::PartitionPlan;

/// How many groups of workers meet link faults of their own.
pub(crate) const WORKER_GROUPS: usize = 3;
pub(crate) const CONTROLLERS: usize = 3;

/// When the last trouble begins, after the start of the run.
const TROUBLE_WINDOW_MS: u64 = 20_000;
/// How many troubles a run has, besides the leaders that change in series.
const TROUBLES: std::ops::Range<usize> = 4..8;
/// Each seed divisible by this has many machines.
const MANY_MACHINES_EVERY: u64 = 10;
const MANY_MACHINES: usize = 200;
/// One of this many seeds in a row has a time for cancelled tasks at the edge of what the settings
/// permit: little more than a lease and the least bound on the age of cancellations.
const EDGE_EVERY: u64 = 4;
const EDGE_MAX_CANCELLATION_MS: u64 = 9_000;
/// How long cancelled tasks may run in other seeds, in milliseconds.
const MAX_CANCELLATION_MS: std::ops::Range<u64> = 10_400..11_400;
const WORKER_LEASE: Duration = Duration::from_millis(5_400);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The numbers of machines of runs without many.
const FEW_MACHINES: std::ops::Range<usize> = 6..16;
/// The team's limit in a run that has one, in cores for each machine.
const MAX_CORES_PER_MACHINE: u32 = 2;
/// Each seed divisible by this has leaders that change in series while connections fail.
const FEW_CONNECTIONS_EVERY: u64 = 2;
/// How many times users cancel several jobs at once during the series of leaders, besides its start.
const CANCELLATION_BURSTS: std::ops::Range<usize> = 1..4;
const SERIES_WINDOW_MS: u64 = 12_000;

/// What goes wrong.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Trouble {
    /// Each leader is killed after a while, and its process is back after a pause.
    LeadersInSeries {
        leaders: u32,
        term: Duration,
        down: Duration,
    },
    /// The same while few connections between workers and controllers succeed, as when all sockets
    /// are in use: many workers get one answer, or none, from each leader.
    LeadersInSeriesWithFewConnections {
        leaders: u32,
        term: Duration,
        heartbeats_refused: f64,
    },
    /// Any controller is killed.
    KillController { index: usize, down: Duration },
    /// The leader's process stands still.
    PauseLeader { duration: Duration },
    /// The store refuses the leader alone, and then everybody.
    StoreRefuses { leader: Duration, all: Duration },
    /// The store carries out some requests late, and loses some answers.
    StoreUnreliable { duration: Duration, share: f64 },
    /// Two controllers can't reach each other.
    PeersCut {
        first: usize,
        second: usize,
        duration: Duration,
        is_held: bool,
    },
    /// Most connections between a group of workers and the controllers fail in both directions, as
    /// when all sockets are in use.
    FewConnections {
        group: usize,
        duration: Duration,
        refused: f64,
    },
    /// No heartbeat of a group of workers arrives; commands do.
    WorkersMute { group: usize, duration: Duration },
    /// Heartbeats of a group of workers arrive, and neither answers nor commands reach the workers.
    WorkersDeaf { group: usize, duration: Duration },
    /// Commands to a group of workers are held up and carried out late.
    CommandsLate {
        group: usize,
        duration: Duration,
        share: f64,
    },
    /// Copies of heartbeats of a group of workers arrive late.
    HeartbeatsLate {
        group: usize,
        duration: Duration,
        share: f64,
    },
    /// The leader is cut from all workers.
    LeaderCutFromWorkers { duration: Duration },
    /// A group of workers and one controller are apart from the other controllers; all reach the
    /// store. Commands to these workers are held until the partition ends.
    PartitionWithDelegate { group: usize, duration: Duration },
    /// Users lose the answers of a controller.
    UserAnswersLost {
        index: usize,
        duration: Duration,
        share: f64,
    },
}

/// A trouble, and when it begins after the start of the run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlannedTrouble {
    pub(crate) at: Duration,
    pub(crate) trouble: Trouble,
}

/// The plan of a run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) machines: usize,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) worker_lease: Duration,
    pub(crate) max_cancellation: Duration,
    /// The most cores that the team may use; 0 is no limit.
    pub(crate) max_cores: u32,
    pub(crate) troubles: Vec<PlannedTrouble>,
    /// When users cancel several jobs at once, after the start of the run.
    pub(crate) cancellation_bursts: Vec<Duration>,
    /// A partition before the series of leaders.
    pub(crate) partition: Option<PartitionPlan>,
}

impl Plan {
    /// Draws the plan of a seed. Times are a fifth of those of large deployments, in which workers
    /// send heartbeats every 5 s, their leases last 27 s, and cancelled tasks have 52 to 57 s.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let machines = match seed % MANY_MACHINES_EVERY {
            0 => MANY_MACHINES,
            _ => rng.random_range(FEW_MACHINES),
        };
        let is_edge = seed % EDGE_EVERY == EDGE_EVERY - 1;
        let max_cancellation_ms = match is_edge {
            true => EDGE_MAX_CANCELLATION_MS,
            false => rng.random_range(MAX_CANCELLATION_MS),
        };
        let max_cores = match rng.random_bool(0.4) {
            true => machines as u32 * MAX_CORES_PER_MACHINE,
            false => 0,
        };
        let partition = PartitionPlan::draw(seed);
        // A leader that changes during the partition would fence the launches that it holds back.
        let quiet = partition
            .as_ref()
            .map_or(Duration::ZERO, PartitionPlan::end);
        let series = PlannedTrouble {
            at: quiet + between(&mut rng, 4_000, 7_000),
            trouble: leaders_in_series(&mut rng, seed),
        };
        let mut cancellation_bursts = vec![series.at];
        for _ in 0..rng.random_range(CANCELLATION_BURSTS) {
            let after = between(&mut rng, 0, SERIES_WINDOW_MS);
            cancellation_bursts.push(series.at + after);
        }
        let mut troubles = vec![series];
        let count = rng.random_range(TROUBLES);
        troubles.extend((0..count).map(|_| PlannedTrouble {
            at: quiet + between(&mut rng, 500, TROUBLE_WINDOW_MS),
            trouble: draw_trouble(&mut rng),
        }));
        troubles.extend(partition.as_ref().map(PartitionPlan::trouble));
        troubles.sort_by_key(|planned| planned.at);
        let max_cancellation = Duration::from_millis(max_cancellation_ms);
        let (worker_lease, max_cancellation) = match &partition {
            Some(partition) => (partition.worker_lease, partition.max_cancellation),
            None => (WORKER_LEASE, max_cancellation),
        };
        Self {
            seed,
            machines,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            worker_lease,
            max_cancellation,
            max_cores,
            troubles,
            cancellation_bursts,
            partition,
        }
    }
}

pub(crate) fn between(rng: &mut StdRng, from_ms: u64, to_ms: u64) -> Duration {
    Duration::from_millis(rng.random_range(from_ms..to_ms))
}

fn leaders_in_series(rng: &mut StdRng, seed: u64) -> Trouble {
    let leaders = rng.random_range(3..7);
    let term = between(rng, 1_500, 4_500);
    let down = between(rng, 0, 2_500);
    let heartbeats_refused = rng.random_range(0.3..0.6);
    match seed % FEW_CONNECTIONS_EVERY {
        0 => Trouble::LeadersInSeriesWithFewConnections {
            leaders,
            term,
            heartbeats_refused,
        },
        _ => Trouble::LeadersInSeries {
            leaders,
            term,
            down,
        },
    }
}

fn draw_trouble(rng: &mut StdRng) -> Trouble {
    let group = rng.random_range(0..WORKER_GROUPS);
    let index = rng.random_range(0..CONTROLLERS);
    let duration = between(rng, 2_000, 12_000);
    let share = rng.random_range(0.1..0.4);
    match rng.random_range(0..13) {
        0 => Trouble::KillController {
            index,
            down: between(rng, 0, 4_000),
        },
        1 => Trouble::PauseLeader {
            duration: between(rng, 1_000, 9_000),
        },
        2 | 3 => Trouble::StoreRefuses {
            leader: between(rng, 100, 5_000),
            all: between(rng, 1_000, 14_000),
        },
        4 => Trouble::StoreUnreliable { duration, share },
        5 => Trouble::PeersCut {
            first: index,
            second: (index + 1) % CONTROLLERS,
            duration,
            is_held: rng.random_bool(0.5),
        },
        6 | 7 => Trouble::FewConnections {
            group,
            duration: between(rng, 8_000, 18_000),
            refused: rng.random_range(0.6..0.85),
        },
        8 => Trouble::WorkersMute { group, duration },
        9 => Trouble::WorkersDeaf { group, duration },
        10 => Trouble::CommandsLate {
            group,
            duration,
            share,
        },
        11 => Trouble::HeartbeatsLate {
            group,
            duration,
            share,
        },
        12 if rng.random_bool(0.5) => Trouble::LeaderCutFromWorkers { duration },
        _ => Trouble::UserAnswersLost {
            index,
            duration,
            share,
        },
    }
}

#[test]
fn a_seed_always_draws_the_same_plan() {
    for seed in 0..20 {
        let [first, second] = [Plan::draw(seed), Plan::draw(seed)];
        assert_eq!(format!("{first:?}"), format!("{second:?}"));
        assert!(first.troubles.len() > 4);
        assert!(first.max_cancellation > first.worker_lease);
    }
}
