//! When a leader gives the shard to a controller that is better placed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::delegation::workers_reachable_elsewhere;
use super::reach;
use super::{HEARTBEAT_FRESH, LEADER_GRACE};
use crate::coordination::leadership::step_down;
use crate::coordination::node::Node;
use crate::coordination::shard::ReachableMachines;

/// Rounds for which a leader must hear too little before it gives up.
const LOW_REACHABILITY_ROUNDS: u32 = 2;
/// How long a leader stays at the least before it hands over to a nearer one.
const LEAST_LEADERSHIP: Duration = Duration::from_secs(6);
/// How long it stays while work waits: a change of leaders makes it wait longer.
const LONGEST_BUSY: Duration = Duration::from_secs(15);
/// A nearer controller's heartbeat must not be older than this, for it to take over.
const NEARER_HEARD: Duration = Duration::from_secs(2);

/// The leader's own zone, unless another one with a controller holds by far
/// more machines: handing over for a few machines more would never end.
fn preferred_zone(node: &Node, zones: &BTreeMap<&str, usize>) -> Option<String> {
    let platform = &node.settings.platform;
    let here = zones.get(platform.area.as_str()).copied().unwrap_or(0);
    let (zone, most) = zones
        .iter()
        .filter(|(zone, _)| platform.others.iter().any(|peer| peer.area == **zone))
        .max_by_key(|(_, count)| **count)?;
    Some(if *most > here * 2 + 1 {
        (*zone).to_owned()
    } else {
        platform.area.clone()
    })
}

/// The leader works out which zone holds most of the machines.
pub(super) fn note_main_zone(node: &Node) {
    let mut inner = node.lock();
    let Some(own) = &inner.leadership else {
        return;
    };
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for machine in own
        .shard
        .machines()
        .values()
        .filter(|m| m.expects_heartbeats())
    {
        *zones.entry(&machine.zone).or_default() += 1;
    }
    let main = preferred_zone(node, &zones);
    if main.is_some() {
        if let Some(own) = &mut inner.leadership {
            own.shard.main_zone.clone_from(&main);
        }
        inner.peers.main_zone = main;
    }
}

/// Ends this node's leadership if it hears too few workers, or if a nearer controller
/// can take over. `low_reachability_rounds` counts the rounds in which it heard too few.
pub(super) async fn step_down_if_ineligible(node: &Arc<Node>, low_reachability_rounds: &mut u32) {
    *low_reachability_rounds = match reachability(node).await {
        Reachability::Enough => 0,
        Reachability::Less => *low_reachability_rounds + 1,
        Reachability::FarLess => LOW_REACHABILITY_ROUNDS,
    };
    let Some(lease) = node.lease() else {
        return;
    };
    if *low_reachability_rounds >= LOW_REACHABILITY_ROUNDS {
        *low_reachability_rounds = 0;
        reach::note_ineligible(node);
        let why = "it hears too few workers, and another controller does";
        step_down(node, &lease, why).await;
    } else if nearer_peer(node) {
        let why = "a controller nearer to the machines can take over";
        step_down(node, &lease, why).await;
    }
}

/// How many workers this leader hears, against the peer that hears most.
enum Reachability {
    Enough,
    /// Fewer than half of them, and fewer than a peer.
    Less,
    /// Fewer than half of what a peer hears: there is nothing to wait for.
    FarLess,
}

async fn reachability(node: &Node) -> Reachability {
    let now = node.now();
    let (reachable, by_heartbeat) = {
        let inner = node.lock();
        let Some(own) = &inner.leadership else {
            return Reachability::Enough;
        };
        if !own.lease.live(now) || now.saturating_duration_since(own.lease.since) < LEADER_GRACE {
            return Reachability::Enough;
        }
        let ReachableMachines {
            reachable,
            expected,
        } = own.shard.reachability(now);
        if expected < 2 || reachable * 2 >= expected {
            return Reachability::Enough;
        }
        let by_heartbeat = inner
            .peers
            .views
            .values()
            .filter(|view| {
                now.saturating_duration_since(view.at) < HEARTBEAT_FRESH && view.heartbeat.kv_served
            })
            .map(|view| view.heartbeat.reachable_workers as usize)
            .max()
            .unwrap_or(0);
        (reachable, by_heartbeat)
    };
    let by_record = workers_reachable_elsewhere(node).await.unwrap_or_default();
    let by_record = by_record.into_values().max().unwrap_or(0);
    tracing::debug!(
        reachable,
        by_heartbeat,
        by_record,
        "this leader hears too few workers"
    );
    match by_heartbeat.max(by_record) {
        most if most > reachable * 2 => Reachability::FarLess,
        most if most > reachable => Reachability::Less,
        _ => Reachability::Enough,
    }
}

/// Whether a peer in the zone of most machines could run the shard instead.
fn nearer_peer(node: &Node) -> bool {
    let now = node.now();
    // Who can't end its lease leaves the shard to nobody until it has run out, and
    // through an outage that begins before.
    if node.kv_failing() {
        return false;
    }
    let inner = node.lock();
    let (Some(own), Some(main)) = (&inner.leadership, &inner.peers.main_zone) else {
        return false;
    };
    let least = if own.shard.is_busy() {
        LONGEST_BUSY
    } else {
        LEAST_LEADERSHIP
    };
    *main != node.settings.platform.area
        && now.saturating_duration_since(own.lease.since) > least
        && inner.peers.views.values().any(|view| {
            now.saturating_duration_since(view.at) < NEARER_HEARD
                && view.heartbeat.zone == *main
                && view.heartbeat.kv_served
                && !view.heartbeat.ineligible
                && view.heartbeat.up_s > LEAST_LEADERSHIP.as_secs() / 2
        })
}
