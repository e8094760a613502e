//! Decides in each round whether the leader steps down so that a better placed controller can lead.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::delegation::workers_reachable_elsewhere;
use super::{LEADER_GRACE, PEER_HEARTBEAT_MAX_AGE, eligibility};
use crate::coordination::leadership::{StepDownReason, step_down};
use crate::coordination::node::Node;
use crate::coordination::node::state::NodeState;
use crate::coordination::shard::ReachableMachines;

/// Consecutive rounds with too few reachable workers after which a leader steps down.
const MAX_LOW_REACHABILITY_ROUNDS: u32 = 2;
/// Least duration of a leadership before it is handed over to a controller in the main zone.
const MIN_LEADERSHIP: Duration = Duration::from_secs(6);
/// Least duration of a leadership before such a handover while work is pending: every change of
/// leaders delays the work.
const MIN_LEADERSHIP_WHEN_BUSY: Duration = Duration::from_secs(15);
/// Age below which a peer's last heartbeat shows that the peer can acquire the shard now.
const SUCCESSOR_HEARTBEAT_MAX_AGE: Duration = Duration::from_secs(2);
/// Least uptime of a controller that may be handed the shard, in seconds.
const MIN_SUCCESSOR_UPTIME_S: u64 = MIN_LEADERSHIP.as_secs() / 2;

/// Updates the main zone if this controller leads the shard. Of the zones that have a controller,
/// the main zone is the one that holds most machines, as far as [`preferred_zone`] doesn't prefer
/// the leader's own.
pub(super) fn update_main_zone(node: &Node) {
    let mut state = node.lock();
    let Some(leadership) = &state.leadership else {
        return;
    };
    let mut machines_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let machines = leadership.shard.machines().values();
    for machine in machines.filter(|m| m.expects_heartbeats()) {
        *machines_by_zone.entry(&machine.zone).or_default() += 1;
    }
    let main_zone = preferred_zone(node, &machines_by_zone);
    if main_zone.is_some() {
        if let Some(leadership) = &mut state.leadership {
            leadership.shard.main_zone.clone_from(&main_zone);
        }
        state.peers.main_zone = main_zone;
    }
}

/// The leader's own zone, unless another zone with a controller holds more than twice as many
/// machines: handovers for a smaller difference would never end.
fn preferred_zone(node: &Node, machines_by_zone: &BTreeMap<&str, usize>) -> Option<String> {
    let platform = &node.settings.platform;
    let own_zone = platform.zone.as_str();
    let own_machines = machines_by_zone.get(own_zone).copied().unwrap_or(0);
    let (zone, machines) = machines_by_zone
        .iter()
        .filter(|(zone, _)| platform.others.iter().any(|peer| peer.zone == **zone))
        .max_by_key(|(_, machines)| **machines)?;
    if *machines > own_machines * 2 + 1 {
        Some((*zone).to_owned())
    } else {
        Some(own_zone.to_owned())
    }
}

/// Decides in each round whether the leader steps down.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// Consecutive rounds in which the leader reached too few workers.
    low_reachability_rounds: u32,
}

impl Handover {
    /// Ends this controller's leadership if it reaches too few workers, or if a controller in
    /// the main zone can lead instead.
    pub(super) async fn step_down_if_needed(&mut self, node: &Arc<Node>) {
        self.low_reachability_rounds = match worker_reachability(node).await {
            WorkerReachability::Sufficient => 0,
            WorkerReachability::Lower => self.low_reachability_rounds + 1,
            WorkerReachability::FarLower => MAX_LOW_REACHABILITY_ROUNDS,
        };
        let Some(lease) = node.lease() else {
            return;
        };
        if self.low_reachability_rounds >= MAX_LOW_REACHABILITY_ROUNDS {
            self.low_reachability_rounds = 0;
            eligibility::mark_ineligible(node);
            step_down(node, &lease, StepDownReason::TooFewWorkersReachable).await;
        } else if successor_in_main_zone(node) {
            step_down(node, &lease, StepDownReason::SuccessorInMainZone).await;
        }
    }
}

/// How many workers this leader reaches, compared with the peer that reaches most.
enum WorkerReachability {
    /// At least half of the expected workers, or as many as any peer.
    Sufficient,
    /// Fewer than half of the expected workers, and fewer than a peer.
    Lower,
    /// Fewer than half as many workers as a peer: waiting for another round wouldn't help.
    FarLower,
}

/// How many workers the leader and its peers reach, while the leader reaches fewer than half of the
/// expected ones.
struct LowReachability {
    /// Reached by the leader.
    by_leader: usize,
    /// Reached by the peer that reaches most, as its heartbeat states.
    by_peer: usize,
}

async fn worker_reachability(node: &Node) -> WorkerReachability {
    let Some(LowReachability { by_leader, by_peer }) = low_reachability(node) else {
        return WorkerReachability::Sufficient;
    };
    let by_record = workers_reachable_elsewhere(node).await.unwrap_or_default();
    let by_record = by_record.into_values().max().unwrap_or(0);
    tracing::debug!(
        by_leader,
        by_peer,
        by_record,
        "leader reaches fewer than half of the workers"
    );
    match by_peer.max(by_record) {
        most_by_others if most_by_others > by_leader * 2 => WorkerReachability::FarLower,
        most_by_others if most_by_others > by_leader => WorkerReachability::Lower,
        _ => WorkerReachability::Sufficient,
    }
}

/// How many workers this leader and its peers reach, if the leader reaches fewer than half of the
/// expected ones.
fn low_reachability(node: &Node) -> Option<LowReachability> {
    let now = node.now();
    let state = node.lock();
    let leadership = state.leadership.as_ref()?;
    if !leadership.lease.is_live(now)
        || now.saturating_duration_since(leadership.lease.acquired_at) < LEADER_GRACE
    {
        return None;
    }
    let ReachableMachines {
        reachable,
        expected,
    } = leadership.shard.reachability(now);
    if expected < 2 || reachable * 2 >= expected {
        return None;
    }
    Some(LowReachability {
        by_leader: reachable,
        by_peer: most_reached_by_a_peer(&state, now),
    })
}

fn most_reached_by_a_peer(state: &NodeState, now: Instant) -> usize {
    state
        .peers
        .views
        .values()
        .filter(|view| {
            view.is_fresher_than(PEER_HEARTBEAT_MAX_AGE, now) && view.heartbeat.kv_served
        })
        .map(|view| view.heartbeat.reachable_workers as usize)
        .max()
        .unwrap_or(0)
}

/// Whether this leader is outside the main zone, and a peer in the main zone can lead instead.
fn successor_in_main_zone(node: &Node) -> bool {
    let now = node.now();
    // A leader that can't revoke its lease would leave the shard without a leader until the lease
    // expires, and for longer if the key-value store fails for all controllers before that.
    if node.is_kv_failing() {
        return false;
    }
    let state = node.lock();
    let (Some(leadership), Some(main_zone)) = (&state.leadership, &state.peers.main_zone) else {
        return false;
    };
    let min_leadership = if leadership.shard.is_busy() {
        MIN_LEADERSHIP_WHEN_BUSY
    } else {
        MIN_LEADERSHIP
    };
    *main_zone != node.settings.platform.zone
        && now.saturating_duration_since(leadership.lease.acquired_at) > min_leadership
        && state.peers.views.values().any(|view| {
            view.is_fresher_than(SUCCESSOR_HEARTBEAT_MAX_AGE, now)
                && view.heartbeat.zone == *main_zone
                && view.heartbeat.kv_served
                && !view.heartbeat.ineligible
                && view.heartbeat.up_s > MIN_SUCCESSOR_UPTIME_S
        })
}
