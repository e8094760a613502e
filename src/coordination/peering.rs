//! What controllers tell one another, and what follows from it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;

use super::lease::{KEEPING, Tenure};
use super::node::{Inner, Keeping, Node, PeerView, STATE_DEADLINE, random_id};
use super::ownership::step_down;
use super::standing::{self, StandingLoan};
use crate::protocol::peers::{
    PeerAnswer, PeerRequest, Progress, Pulse, decode_answer, encode_request,
};
use crate::protocol::state::{Change, Txn};
use crate::protocol::tidings::{
    CANCELLATIONS, CancellationsAsked, CancellationsTold, CancelledJob, STAND_ASIDE, StandAside,
    StoodAside,
};
use crate::protocol::workers::Report;
use crate::settings::platform::Peer;
use crate::storage::client::StateError;
use crate::storage::inventory::{Batch, whole_reports};
use crate::storage::keys;
use crate::storage::records::{HearingRecord, InventoryRecord, KeeperRecord, VERSION};

/// Pause between two rounds.
const ROUND: Duration = Duration::from_secs(1);
const PULSE_DEADLINE: Duration = Duration::from_millis(700);
/// How long a worker that came by counts as heard.
const HEARD: Duration = Duration::from_secs(8);
/// Rounds for which an owner must hear too little before it gives up.
const DEAF_ROUNDS: u32 = 2;
/// How long an owner stays at the least before it hands over to a nearer one.
const LEAST_TENURE: Duration = Duration::from_secs(6);
/// How long it stays while work waits: a change of owners makes it wait longer.
const LONGEST_BUSY: Duration = Duration::from_secs(15);
/// How long a new owner listens before it may call itself deaf: every machine
/// was asked for a report at once.
const LISTENING: Duration = Duration::from_secs(2);
/// Age of the last look at the jobs past which others are asked what they told.
const LOOK_LATE: Duration = Duration::from_secs(2);
/// Pause before a controller of an older version is asked again.
const ASK_OLDER_AGAIN: Duration = Duration::from_secs(10);
/// Drift of steady clocks to reckon with, both ways together.
const DRIFT: f64 = 0.002;
/// A peer's pulse older than this means that it can't be reached.
const PULSE_FRESH: Duration = Duration::from_secs(3);
/// A peer's pulse older than this, two rounds, means that it may be cut off.
const PULSE_LATE: Duration = Duration::from_millis(2200);
/// Pause between a keeper's looks at its loan.
const KEEPING_LOOK: Duration = Duration::from_millis(500);
/// How long before its time a keeper stops, to cover a busy processor.
const KEEPING_MARGIN: Duration = Duration::from_millis(100);
/// Inventory pages aren't planned smaller than this, in bytes.
const LEAST_INVENTORY: usize = 512;
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

/// Answers an owner past its deadline: the same promise, given only by a run that
/// has taken no later term.
pub fn stand_aside(node: &Node, asked: &StandAside) -> StoodAside {
    let later = {
        let inner = node.lock();
        end_earlier(&inner, asked.term);
        inner.latest_term > asked.term
    };
    StoodAside {
        given: !later && promise(node, Duration::from_millis(asked.millis)),
        up_ms: node
            .now()
            .saturating_duration_since(node.started)
            .as_millis() as u64,
    }
}

/// Whether an answer that has just come proves that its giver left the shard alone
/// since an owner's last good renewal was sent: an earlier run may have taken it.
pub fn left_alone(answer: &StoodAside, now: Instant, renewed: Instant) -> bool {
    answer.given && began(answer.up_ms, now) < renewed
}

/// Asks all other controllers to stand aside; true if every one does, and none can
/// have taken the shard since.
pub async fn all_stand_aside(node: &Arc<Node>, tenure: &Tenure, time: Duration) -> bool {
    if !node.state_failing() || tenure.ended() {
        return false;
    }
    let renewed = tenure.last_renewed();
    let frame = StandAside {
        term: tenure.term,
        millis: time.as_millis() as u64,
    };
    let mut asked = tokio::task::JoinSet::new();
    for peer in &node.settings.platform.others {
        let (node, peer, frame) = (node.clone(), peer.clone(), frame.encode());
        asked.spawn(async move {
            let answer = node
                .peers_http
                .call(
                    Method::POST,
                    peer.address,
                    STAND_ASIDE,
                    frame,
                    PULSE_DEADLINE,
                )
                .await
                .ok()?;
            StoodAside::decode(&answer.body)
        });
    }
    let mut all = true;
    while let Some(answer) = asked.join_next().await {
        let answer = answer.ok().flatten();
        all &= answer.is_some_and(|answer| left_alone(&answer, node.now(), renewed));
    }
    all
}

/// The latest moment at which a run can have begun that says it has lasted so long:
/// its clock may run slow against ours.
fn began(up_ms: u64, now: Instant) -> Instant {
    let up = Duration::from_millis(up_ms).mul_f64(1.0 - DRIFT);
    now.checked_sub(up).unwrap_or(now)
}

/// What this node has told users of cancellations since a revision.
pub fn cancellations_told(node: &Node, asked: &CancellationsAsked) -> CancellationsTold {
    let jobs = node.ledger.cancelled_after(asked.after);
    let up = node.now().saturating_duration_since(node.started);
    CancellationsTold {
        up_ms: up.as_millis() as u64,
        jobs: jobs.map(|jobs| {
            let job = |(job, revision)| CancelledJob { job, revision };
            jobs.into_iter().map(job).collect()
        }),
    }
}

/// Takes in what a controller that was asked at `sent` has told users.
pub fn note_told(node: &Arc<Node>, label: &str, sent: Instant, told: CancellationsTold) {
    let Some(jobs) = told.jobs else {
        return;
    };
    let cancelled = jobs.into_iter().map(|told| (told.job, told.revision));
    node.ledger.note_cancelled(cancelled.collect());
    node.tell_endings();
    let began = began(told.up_ms, node.now());
    let counts = node.lock().awareness.word(label, sent, began);
    if !counts {
        tracing::debug!(
            peer = label,
            "its word on cancellations doesn't count: it began too late"
        );
    }
}

/// While the state service doesn't tell the owner which jobs are over, the other
/// controllers do: one of them may have been served, and have cancelled some.
fn ask_what_was_told(node: &Arc<Node>) {
    let now = node.now();
    let Some(after) = node.ledger.revision() else {
        return;
    };
    let asked: Vec<Peer> = {
        let inner = node.lock();
        let looked = inner.awareness.last_look();
        if (inner.ownership.is_none() && inner.loading.is_none())
            || looked.is_some_and(|at| now.saturating_duration_since(at) < LOOK_LATE)
        {
            return;
        }
        let older = |peer: &&Peer| {
            let shown = inner.older.get(&peer.label);
            shown.is_none_or(|at| now.saturating_duration_since(*at) > ASK_OLDER_AGAIN)
        };
        let others = node.settings.platform.others.iter();
        others.filter(older).cloned().collect()
    };
    for peer in asked {
        tokio::spawn(ask_for_word(node.clone(), peer, after));
    }
}

/// Asks one controller what it told users since a revision.
pub async fn ask_for_word(node: Arc<Node>, peer: Peer, after: u64) {
    let sent = node.now();
    let frame = CancellationsAsked { after }.encode();
    let answer = node
        .peers_http
        .call(
            Method::POST,
            peer.address,
            CANCELLATIONS,
            frame,
            PULSE_DEADLINE,
        )
        .await;
    let Ok(answer) = answer else {
        return;
    };
    if let Some(told) = CancellationsTold::decode(&answer.body).filter(|_| answer.status == 200) {
        node.lock().older.remove(&peer.label);
        note_told(&node, &peer.label, sent, told);
    } else if node.lock().older.insert(peer.label.clone(), sent).is_none() {
        tracing::info!(
            peer = peer.label,
            "an older version: it doesn't say which cancellations it told"
        );
    }
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
        // An earlier run may have kept workers until this one started.
        kept_ago_ms: now
            .saturating_duration_since(inner.kept_alone.unwrap_or(node.started))
            .as_millis() as u64,
    }
}

/// Answers a pulse, which lends its sender the keeping of workers in advance.
pub fn answer_pulse(node: &Node, pulse: Pulse) -> Pulse {
    let label = pulse.label.clone();
    heard_pulse(node, pulse);
    let answer = own_pulse(node);
    if let Some(term) = answer.term
        && let Some(own) = &mut node.lock().ownership
        && own.tenure.term == term
    {
        own.lender.grant(&label, node.now());
    }
    answer
}

/// Takes in the answer to a pulse that was sent at `sent` under the term `told`.
pub(super) fn pulse_answered(node: &Node, pulse: Pulse, sent: Instant, told: Option<u64>) {
    let now = node.now();
    let kept = now.checked_sub(Duration::from_millis(pulse.kept_ago_ms));
    {
        let mut inner = node.lock();
        if let Some(term) = pulse.term {
            inner.standing = Some(StandingLoan::renewed(inner.standing, term, sent));
        }
        // Who was told our term keeps nothing for a while.
        if let Some(own) = &mut inner.ownership
            && told == Some(own.tenure.term)
        {
            let kept = kept.unwrap_or(own.tenure.since);
            own.lender.answered(&pulse.label, sent, kept);
        }
    }
    heard_pulse(node, pulse);
}

/// Tells the shard until when others may have answered workers on their own.
fn note_quiet(node: &Arc<Node>) {
    let Some(tenure) = node.live_tenure() else {
        return;
    };
    let now = node.now();
    let longest = standing::longest(&node.settings);
    let others = &node.settings.platform.others;
    let kept = node.lock().ownership.as_ref().and_then(|own| {
        let labels = others.iter().map(|peer| peer.label.as_str());
        own.lender.last_kept(labels, longest, now)
    });
    node.with_shard(&tenure, "loans", |shard, _| shard.note_kept(kept, now));
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

/// A later term than ours means that the record of ours is gone, though the service
/// may not tell us: the later owner counts on our promise.
fn end_earlier(inner: &Inner, later: u64) {
    let own = inner.ownership.as_ref().map(|own| &own.tenure);
    let superseded = |tenure: &&Arc<Tenure>| tenure.term < later && !tenure.ended();
    for tenure in own.into_iter().chain(&inner.loading).filter(superseded) {
        tracing::warn!(term = tenure.term, later, "another owns the shard");
        tenure.finish();
    }
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
    if let Some(term) = pulse.term {
        end_earlier(&inner, term);
    }
    if let Some(term) = pulse.term
        && inner.owner_heard.is_none_or(|(known, _)| term >= known)
    {
        inner.owner_heard = Some((term, at));
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
            let (request, told) = (PeerRequest::Pulse(own.clone()), own.term);
            tokio::spawn(async move {
                let sent = node.now();
                if let Some(PeerAnswer::Pulse(pulse)) =
                    ask(&node, &peer, &request, PULSE_DEADLINE).await
                {
                    pulse_answered(&node, pulse, sent, told);
                }
            });
        }
        ask_what_was_told(&node);
        // A look at the state service keeps this node's picture of it fresh.
        let probing = node.clone();
        tokio::spawn(async move {
            let _ = probing.look().await;
        });
        tokio::time::sleep(ROUND).await;
        note_quiet(&node);
        tell_hearing(&node).await;
        lend_and_recall(&node).await;
        deaf = match hearing(&node).await {
            Hearing::Enough => 0,
            Hearing::Less => deaf + 1,
            Hearing::FarLess => DEAF_ROUNDS,
        };
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
    let workers = heard_without_owner(node);
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

/// How many workers come to this node while it can't reach the owner.
fn heard_without_owner(node: &Node) -> u32 {
    let now = node.now();
    let inner = node.lock();
    let owner = inner.seen_owner.as_ref().map(|owner| &owner.label);
    let Some(owner) = owner.filter(|label| *label != node.label()) else {
        return 0;
    };
    let reachable = inner
        .peers
        .get(owner)
        .is_some_and(|view| now.saturating_duration_since(view.at) < PULSE_FRESH);
    if reachable || inner.ownership.is_some() {
        return 0;
    }
    inner.workers.len() as u32
}

/// The other controllers that say in the state service that they hear workers
/// but not the owner, and how many. None if the service doesn't answer.
async fn heard_elsewhere(node: &Node) -> Option<BTreeMap<String, usize>> {
    let prefix = keys::hearing_prefix();
    let (items, _) = node.state.list(&prefix, STATE_DEADLINE).await.ok()?;
    let wall = node.clock.wall_ms();
    let heard = items.into_iter().filter_map(|item| {
        let label = item.key.strip_prefix(&prefix)?.to_owned();
        let record: HearingRecord = serde_json::from_value(item.value).ok()?;
        let fresh = wall.abs_diff(record.at_ms) < HEARING_FRESH_MS;
        (fresh && label != node.label()).then_some((label, record.workers as usize))
    });
    Some(heard.collect())
}

/// The owner lends the keeping of workers to controllers that it can't reach
/// but that hear them, and recalls it when it can.
async fn lend_and_recall(node: &Arc<Node>) {
    let now = node.now();
    let unreached: BTreeSet<String> = {
        let inner = node.lock();
        let Some(own) = inner.ownership.as_ref().filter(|own| own.tenure.live(now)) else {
            return;
        };
        if now.saturating_duration_since(own.tenure.since) < LISTENING {
            return;
        }
        let silent = |peer: &&Peer| {
            inner
                .peers
                .get(&peer.label)
                .is_none_or(|view| now.saturating_duration_since(view.at) > PULSE_LATE)
        };
        let others = node.settings.platform.others.iter();
        others
            .filter(silent)
            .map(|peer| peer.label.clone())
            .collect()
    };
    let Some(tenure) = node.live_tenure() else {
        return;
    };
    let zones = zones_of(node, &unreached);
    node.with_shard(&tenure, "loans", |shard, _| {
        shard.set_cut_off(zones);
        for label in shard.keepers() {
            if !unreached.contains(&label) {
                shard.recall(&label);
            }
        }
    });
    if unreached.is_empty() {
        return;
    }
    let Some(heard) = heard_elsewhere(node).await else {
        return;
    };
    node.with_shard(&tenure, "loans", |shard, _| {
        for label in shard.keepers() {
            if !heard.contains_key(&label) {
                shard.recall(&label);
            }
        }
        for label in unreached.iter().filter(|label| heard.contains_key(*label)) {
            shard.lend(label, now);
        }
    });
    let wanted = node.with_shard(&tenure, "loans", |shard, _| shard.wants_inventories());
    if wanted != Some(true) {
        return;
    }
    let prefix = keys::inventory_prefix();
    let Ok((pages, _)) = node.state.list(&prefix, STATE_DEADLINE).await else {
        return;
    };
    let pages = pages.into_iter().filter_map(|item| {
        serde_json::from_value::<InventoryRecord>(item.value)
            .inspect_err(|error| tracing::error!(key = item.key, %error, "a record can't be read"))
            .ok()
    });
    let reports = whole_reports(pages, tenure.term);
    node.with_shard(&tenure, "loans", |shard, now| {
        for report in &reports {
            shard.relayed(report, now);
        }
    });
}

/// Writes what kept workers hold, those that were not written before; returns
/// the number of the next page.
async fn write_inventory(node: &Node, term: u64, mut page: u32) -> u32 {
    while let Some(batch) = next_batch(node, term) {
        for record in &batch.pages {
            let Ok(value) = serde_json::to_value(record) else {
                return page;
            };
            let key = keys::inventory(node.label(), page);
            // Written or not, the next try writes another page.
            page += 1;
            let txn = Txn::default().change(Change::put(key, value));
            if let Err(error) = node.state.txn(&txn, STATE_DEADLINE).await {
                inventory_refused(node, batch.reports, &error);
                return page;
            }
        }
    }
    page
}

fn next_batch(node: &Node, term: u64) -> Option<Batch> {
    let group = random_id();
    let mut inner = node.lock();
    let most = inner.inventory_bytes.unwrap_or(node.value_bytes());
    inner.kept.next_batch(term, most, group)
}

/// Reports that could not be written are laid out again, in smaller pages if these
/// were too large.
fn inventory_refused(node: &Node, reports: Vec<Report>, error: &StateError) {
    let mut inner = node.lock();
    inner.kept.put_back(reports);
    if let StateError::TooLarge(why) = error {
        let most = inner.inventory_bytes.unwrap_or(node.value_bytes());
        inner.inventory_bytes = Some((most / 2).max(LEAST_INVENTORY));
        tracing::error!(why, "an inventory is refused; smaller pages are planned");
    }
}

/// The zones that have controllers, but none outside this set.
fn zones_of(node: &Node, unreached: &BTreeSet<String>) -> BTreeSet<String> {
    let platform = &node.settings.platform;
    let reached = |peer: &&Peer| !unreached.contains(&peer.label);
    let mut zones: BTreeSet<String> = platform
        .others
        .iter()
        .map(|peer| peer.area.clone())
        .collect();
    for peer in platform.others.iter().filter(reached) {
        zones.remove(&peer.area);
    }
    zones.remove(&platform.area);
    zones
}

/// Notes what may be kept from now on; true if it is kept for a new owner.
fn note_keeping(node: &Node, keeping: Option<Keeping>) -> bool {
    let term = |keeping: Option<Keeping>| keeping.map(|keeping| keeping.term);
    let mut inner = node.lock();
    let changed = term(inner.keeping) != term(keeping);
    if changed {
        inner.kept.clear();
    }
    inner.keeping = keeping;
    changed && keeping.is_some()
}

/// Keeps workers for an owner that can't hear them, while it lends that.
pub async fn keep_workers(node: Arc<Node>) {
    let mut page = 0;
    loop {
        tokio::time::sleep(KEEPING_LOOK).await;
        if heard_without_owner(&node) == 0 {
            note_keeping(&node, None);
            continue;
        }
        let sent = node.now();
        let prefix = keys::owner_prefix();
        // A keeper has to know which jobs are over: what it keeps alive of
        // them is its to stop.
        let read = tokio::join!(node.state.list(&prefix, KEEPING), node.look());
        let (Ok((items, _)), Ok(())) = read else {
            continue;
        };
        let find = |key: String| items.iter().find(|item| item.key == key);
        let lent = find(keys::keeper(node.label()))
            .and_then(|item| serde_json::from_value::<KeeperRecord>(item.value.clone()).ok());
        // A loan ends with the term of the owner that gave it.
        let term = find(keys::owner())
            .map(|item| item.version)
            .filter(|term| lent.as_ref().is_some_and(|loan| loan.term == *term));
        let until = sent + KEEPING.mul_f64(0.998) - KEEPING_MARGIN;
        let inventory = lent.is_some_and(|loan| loan.inventory);
        let keeping = term.map(|term| Keeping {
            term,
            until,
            inventory,
        });
        let began = note_keeping(&node, keeping);
        if let Some(term) = term
            && inventory
        {
            page = write_inventory(&node, term, page).await;
        }
        if began {
            tracing::info!(term, "keeping workers that the owner can't hear");
        }
    }
}

/// How many workers this owner hears, against the peer that hears most.
enum Hearing {
    Enough,
    /// Fewer than half of them, and fewer than a peer.
    Less,
    /// Fewer than half of what a peer hears: there is nothing to wait for.
    FarLess,
}

async fn hearing(node: &Node) -> Hearing {
    let now = node.now();
    let (heard, by_pulse) = {
        let inner = node.lock();
        let Some(own) = &inner.ownership else {
            return Hearing::Enough;
        };
        if !own.tenure.live(now) || now.saturating_duration_since(own.tenure.since) < LISTENING {
            return Hearing::Enough;
        }
        let (heard, expected) = own.shard.hearing(now);
        if expected < 2 || heard * 2 >= expected {
            return Hearing::Enough;
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
    let by_record = heard_elsewhere(node).await.unwrap_or_default();
    let by_record = by_record.into_values().max().unwrap_or(0);
    tracing::debug!(
        heard,
        by_pulse,
        by_record,
        "this owner hears too few workers"
    );
    match by_pulse.max(by_record) {
        most if most > heard * 2 => Hearing::FarLess,
        most if most > heard => Hearing::Less,
        _ => Hearing::Enough,
    }
}

/// Whether a peer in the zone of most machines could run the shard instead.
fn nearer_peer(node: &Node) -> bool {
    let now = node.now();
    // Who can't end its hold leaves the shard to nobody until it has run out, and
    // through an outage that begins before.
    if node.state_failing() {
        return false;
    }
    let inner = node.lock();
    let (Some(own), Some(main)) = (&inner.ownership, &inner.main_zone) else {
        return false;
    };
    let least = if own.shard.is_busy() {
        LONGEST_BUSY
    } else {
        LEAST_TENURE
    };
    *main != node.settings.platform.area
        && now.saturating_duration_since(own.tenure.since) > least
        && inner.peers.values().any(|view| {
            now.saturating_duration_since(view.at) < Duration::from_secs(2)
                && view.pulse.zone == *main
                && view.pulse.state_served
                && !view.pulse.deaf
                && view.pulse.up_s > LEAST_TENURE.as_secs() / 2
        })
}
