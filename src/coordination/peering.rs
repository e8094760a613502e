//! What controllers tell one another, and what follows from it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;

use super::node::{Node, PeerView, STATE_DEADLINE};
use super::ownership::step_down;
use crate::protocol::peers::{
    PeerAnswer, PeerRequest, Progress, Pulse, decode_answer, encode_request,
};
use crate::protocol::state::{Change, Txn};
use crate::settings::platform::Peer;
use crate::storage::keys;
use crate::storage::records::{HearingRecord, VERSION};

/// Pause between two rounds.
const ROUND: Duration = Duration::from_secs(1);
const PULSE_DEADLINE: Duration = Duration::from_millis(700);
/// How long a worker that came by counts as heard.
const HEARD: Duration = Duration::from_secs(8);
/// Rounds for which an owner must hear too little before it gives up.
const DEAF_ROUNDS: u32 = 2;
/// How long an owner stays at the least before it hands over to a nearer one.
const LEAST_TENURE: Duration = Duration::from_secs(6);
/// How long a new owner listens before it may call itself deaf: every machine
/// was asked for a report at once.
const LISTENING: Duration = Duration::from_secs(2);
/// A peer's pulse older than this means that it can't be reached.
const PULSE_FRESH: Duration = Duration::from_secs(3);
/// Age up to which a hearing record counts.
const HEARING_FRESH_MS: u64 = 5000;
/// How long a node that couldn't hear the workers leaves the shard to others.
const DEAF_FOR: Duration = Duration::from_secs(30);
/// Longest promise that is given. A process that has just started waits this
/// long before it seeks the shard: its earlier run may have promised.
pub const LONGEST_PROMISE: Duration = Duration::from_secs(1);

/// Sends a frame to another controller.
pub async fn ask(
    node: &Node,
    peer: &Peer,
    request: &PeerRequest,
    deadline: Duration,
) -> Option<PeerAnswer> {
    let answer = node
        .peers_http
        .call(
            Method::POST,
            peer.address,
            "/peer",
            encode_request(request),
            deadline,
        )
        .await
        .ok()?;
    decode_answer(&answer.body)
}

/// Promises not to seek the shard for a while, so that its owner can go on
/// through an outage of the state service. Not given when the service serves
/// this node: then the owner alone is cut off, and should be replaced.
pub fn promise(node: &Node, time: Duration) -> bool {
    let now = node.now();
    let lost = node.state_failing();
    let mut inner = node.lock();
    if !lost || inner.acquiring || inner.ownership.is_some() || time > LONGEST_PROMISE {
        return false;
    }
    // Our own clock may run fast against the owner's.
    let until = now + time.mul_f64(1.002);
    inner.promised_until = inner.promised_until.max(Some(until));
    true
}

/// Asks all other controllers for a promise; true if every one gives it.
pub async fn all_promise(node: &Arc<Node>, time: Duration) -> bool {
    let mut asked = tokio::task::JoinSet::new();
    for peer in &node.settings.platform.others {
        let (node, peer) = (node.clone(), peer.clone());
        let request = PeerRequest::Promise {
            millis: time.as_millis() as u64,
        };
        asked.spawn(async move {
            matches!(
                ask(&node, &peer, &request, PULSE_DEADLINE).await,
                Some(PeerAnswer::Promise { given: true })
            )
        });
    }
    let mut all = true;
    while let Some(answer) = asked.join_next().await {
        all &= answer.unwrap_or(false);
    }
    all
}

/// What this node says of itself.
pub fn own_pulse(node: &Node) -> Pulse {
    let now = node.now();
    let state_served = !node.state_lost();
    let mut inner = node.lock();
    inner
        .workers
        .retain(|_, at| now.saturating_duration_since(*at) < HEARD);
    let term = inner
        .ownership
        .as_ref()
        .filter(|own| own.tenure.live(now))
        .map(|own| own.tenure.term);
    Pulse {
        label: node.label().to_owned(),
        zone: node.settings.platform.area.clone(),
        state_served,
        workers_heard: inner.workers.len() as u32,
        up_s: now.saturating_duration_since(node.started).as_secs(),
        term,
        main_zone: inner.main_zone.clone(),
        progress: Vec::new(),
        deaf: inner.deaf_until.is_some_and(|until| until > now),
    }
}

/// How far the jobs are, if this node runs the shard.
fn progress(node: &Node) -> Vec<Progress> {
    let inner = node.lock();
    let Some(own) = &inner.ownership else {
        return Vec::new();
    };
    own.shard
        .progress()
        .map(|(job, done, running)| Progress {
            job: job.to_string(),
            done,
            running,
        })
        .collect()
}

/// Notes what a peer says of itself.
pub fn heard_pulse(node: &Node, mut pulse: Pulse) {
    let at = node.now();
    let mut inner = node.lock();
    if pulse.term.is_some() && !pulse.progress.is_empty() {
        inner.progress = std::mem::take(&mut pulse.progress)
            .into_iter()
            .map(|row| (row.job, (row.done, row.running)))
            .collect();
    }
    if pulse.term.is_some() && pulse.main_zone.is_some() {
        inner.main_zone.clone_from(&pulse.main_zone);
    }
    inner
        .peers
        .insert(pulse.label.clone(), PeerView { pulse, at });
}

/// Exchanges pulses for ever.
pub async fn pulse(node: Arc<Node>) {
    let mut deaf = 0;
    let mut was_ready = false;
    loop {
        note_main_zone(&node);
        let ready = node.ready();
        if ready != std::mem::replace(&mut was_ready, ready) {
            tracing::info!(
                ready,
                state_lost = node.state_lost(),
                peer_served = node.peer_served(),
                "readiness changed"
            );
        }
        let mut own = own_pulse(&node);
        own.progress = progress(&node);
        for peer in &node.settings.platform.others {
            let (node, peer) = (node.clone(), peer.clone());
            let request = PeerRequest::Pulse(own.clone());
            tokio::spawn(async move {
                if let Some(PeerAnswer::Pulse(pulse)) =
                    ask(&node, &peer, &request, PULSE_DEADLINE).await
                {
                    heard_pulse(&node, pulse);
                }
            });
        }
        // A look at the state service keeps this node's picture of it fresh.
        let probing = node.clone();
        tokio::spawn(async move {
            let _ = probing.look().await;
        });
        tokio::time::sleep(ROUND).await;
        tell_hearing(&node).await;
        deaf = if is_deaf(&node).await { deaf + 1 } else { 0 };
        let Some(tenure) = node.tenure() else {
            continue;
        };
        if deaf >= DEAF_ROUNDS {
            deaf = 0;
            node.lock().deaf_until = Some(node.now() + DEAF_FOR);
            step_down(
                &node,
                &tenure,
                "it hears too few workers, and another controller does",
            )
            .await;
        } else if nearer_peer(&node) {
            step_down(
                &node,
                &tenure,
                "a controller nearer to the machines can take over",
            )
            .await;
        }
    }
}

/// The owner's own zone, unless another one with a controller holds by far
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

/// The owner works out which zone holds most of the machines.
fn note_main_zone(node: &Node) {
    let mut inner = node.lock();
    let Some(own) = &inner.ownership else {
        return;
    };
    let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
    for machine in own.shard.machines().values().filter(|m| m.should_report()) {
        *zones.entry(&machine.zone).or_default() += 1;
    }
    let main = preferred_zone(node, &zones);
    if main.is_some() {
        if let Some(own) = &mut inner.ownership {
            own.shard.main_zone.clone_from(&main);
        }
        inner.main_zone = main;
    }
}

/// Zones may be cut from one another while the state service reaches both:
/// a controller that hears workers but not the owner says so there.
async fn tell_hearing(node: &Arc<Node>) {
    let now = node.now();
    let workers = {
        let inner = node.lock();
        let owner = inner.seen_owner.as_ref().map(|owner| &owner.label);
        let Some(owner) = owner.filter(|label| *label != node.label()) else {
            return;
        };
        let reachable = inner
            .peers
            .get(owner)
            .is_some_and(|view| now.saturating_duration_since(view.at) < PULSE_FRESH);
        if reachable || inner.ownership.is_some() {
            return;
        }
        inner.workers.len() as u32
    };
    if workers == 0 || node.state_lost() {
        return;
    }
    tracing::debug!(workers, "workers come here, and the owner can't be reached");
    let record = HearingRecord {
        v: VERSION,
        workers,
        at_ms: node.clock.wall_ms(),
    };
    if let Ok(value) = serde_json::to_value(record) {
        let txn = Txn::default().change(Change::put(keys::hearing(node.label()), value));
        let _ = node.state.txn(&txn, STATE_DEADLINE).await;
    }
}

/// Workers heard by the controller that hears most of them, by their records.
async fn heard_elsewhere(node: &Node) -> usize {
    let Ok((items, _)) = node
        .state
        .list(&keys::hearing_prefix(), STATE_DEADLINE)
        .await
    else {
        return 0;
    };
    let wall = node.clock.wall_ms();
    items
        .into_iter()
        .filter(|item| item.key != keys::hearing(node.label()))
        .filter_map(|item| serde_json::from_value::<HearingRecord>(item.value).ok())
        .filter(|record| wall.abs_diff(record.at_ms) < HEARING_FRESH_MS)
        .map(|record| record.workers as usize)
        .max()
        .unwrap_or(0)
}

/// Whether this owner hears too few workers while a peer hears more.
async fn is_deaf(node: &Node) -> bool {
    let now = node.now();
    let (heard, by_pulse) = {
        let inner = node.lock();
        let Some(own) = &inner.ownership else {
            return false;
        };
        if !own.tenure.live(now) || now.saturating_duration_since(own.tenure.since) < LISTENING {
            return false;
        }
        let (heard, expected) = own.shard.hearing(now);
        if expected < 2 || heard * 2 >= expected {
            return false;
        }
        let by_pulse = inner
            .peers
            .values()
            .filter(|view| {
                now.saturating_duration_since(view.at) < PULSE_FRESH && view.pulse.state_served
            })
            .map(|view| view.pulse.workers_heard as usize)
            .max()
            .unwrap_or(0);
        (heard, by_pulse)
    };
    let by_record = heard_elsewhere(node).await;
    tracing::debug!(
        heard,
        by_pulse,
        by_record,
        "this owner hears too few workers"
    );
    by_pulse > heard || by_record > heard
}

/// Whether a peer in the zone of most machines could run the shard instead.
fn nearer_peer(node: &Node) -> bool {
    let now = node.now();
    let inner = node.lock();
    let (Some(own), Some(main)) = (&inner.ownership, &inner.main_zone) else {
        return false;
    };
    *main != node.settings.platform.area
        && now.saturating_duration_since(own.tenure.since) > LEAST_TENURE
        && inner.peers.values().any(|view| {
            now.saturating_duration_since(view.at) < Duration::from_secs(2)
                && view.pulse.zone == *main
                && view.pulse.state_served
                && !view.pulse.deaf
                && view.pulse.up_s > LEAST_TENURE.as_secs() / 2
        })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::FakeClock;
    use crate::settings::{Operator, Platform, Settings};

    fn node(clock: Arc<FakeClock>) -> Arc<Node> {
        // Nothing listens on port 1: every request to the state service fails.
        let text = crate::settings::platform::tests::EXAMPLE.replace("127.0.0.1:4", "127.0.0.1:1");
        let platform = Platform::parse("example", &text).expect("valid settings");
        let settings = Settings {
            platform,
            operator: Operator::default(),
        };
        Node::new(settings, clock)
    }

    #[tokio::test]
    async fn a_promise_needs_an_outage_and_is_kept() {
        let clock = Arc::new(FakeClock::new());
        let node = node(clock.clone());
        let time = Duration::from_secs(1);
        assert!(!promise(&node, time), "nothing shows an outage yet");
        let _ = node.state.get("o/0/owner", STATE_DEADLINE).await;
        assert!(promise(&node, time));
        assert!(!promise(&node, time * 10), "longer than any owner may ask");
        assert!(node.may_not_seek().is_some());
        clock.advance(Duration::from_millis(999));
        assert!(node.may_not_seek().is_some(), "kept to its end");
        clock.advance(Duration::from_millis(10));
        // A process that has just started also waits out its earlier run's.
        assert!(node.may_not_seek().is_none());
        node.lock().acquiring = true;
        assert!(!promise(&node, time), "an attempt of its own is under way");
    }
}
