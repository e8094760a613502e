//! One controller: its state, its loops and its servers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::Rng;
use thiserror::Error;
use tokio::net::TcpListener;
use tracing::{info, warn};

use super::io;
use super::lease::{self, Sequence, Tenure};
use super::peering;
use super::shard::{Loaded, LoadedMachine, Policy, Shard};
use crate::clock::{Clock, SteadyClock};
use crate::protocol::cloud::MachineType;
use crate::protocol::peers::Pulse;
use crate::protocol::state::{Change, Item, News, Txn};
use crate::settings::Settings;
use crate::storage::client::{StateClient, StateError, TxnOutcome, backoff};
use crate::storage::keys;
use crate::storage::records::{JobRecord, OwnerRecord, SequenceRecord, VERSION};
use crate::transport::client::HttpClient;
use crate::transport::{front, internal};

/// Pause between two looks at the shard's timers.
const TICK: Duration = Duration::from_millis(200);
/// How long one watch waits.
const WATCH: Duration = Duration::from_secs(3);
/// Deadline of ordinary state requests.
pub const STATE_DEADLINE: Duration = Duration::from_millis(1000);
/// Pause between two tries to renew a hold in trouble.
const RENEW_RETRY: Duration = Duration::from_millis(150);
/// Advantage of the candidate that is nearest to the machines.
const NEAREST_FIRST: Duration = Duration::from_millis(150);
/// Disadvantage of a far candidate to whom no worker has come lately.
const UNHEARD_LAST: Duration = Duration::from_millis(1000);
const RECENT: Duration = Duration::from_secs(4);
/// Disadvantage of a candidate that couldn't hear the workers.
const DEAF_LAST: Duration = Duration::from_secs(4);

/// Why the process ends.
#[derive(Debug, Error)]
pub enum RunError {
    #[error("can't listen on {0}: {1}")]
    Listen(std::net::SocketAddr, std::io::Error),
    #[error("a server ended: {0}")]
    Server(std::io::Error),
}

/// Another controller as last heard.
#[derive(Debug, Clone)]
pub struct PeerView {
    pub pulse: Pulse,
    pub at: Instant,
}

/// A shard that this controller runs.
pub struct Ownership {
    pub tenure: Arc<Tenure>,
    pub shard: Shard,
}

/// What a controller knows.
#[derive(Default)]
pub struct Inner {
    pub ownership: Option<Ownership>,
    pub seen_owner: Option<OwnerRecord>,
    pub types: Option<Vec<MachineType>>,
    pub peers: HashMap<String, PeerView>,
    /// Workers that tried to report here, and when.
    pub workers: HashMap<String, Instant>,
    /// The zone that holds most machines, as the owner last said.
    pub main_zone: Option<String>,
    /// An attempt to acquire the shard is under way, or its outcome unknown.
    pub acquiring: bool,
    /// The last owner was an earlier run of this process, which is dead.
    pub previous_run_ended: bool,
    /// Until when this node has promised to leave the shard to its owner.
    pub promised_until: Option<Instant>,
    /// Until when this node should rather not own the shard.
    pub deaf_until: Option<Instant>,
}

/// A controller.
pub struct Node {
    pub settings: Settings,
    pub policy: Policy,
    pub clock: Arc<dyn Clock>,
    pub state: StateClient,
    pub http: HttpClient,
    pub peers_http: HttpClient,
    /// Tells this run of the process from earlier ones.
    pub run: u64,
    pub started: Instant,
    inner: Mutex<Inner>,
}

impl Node {
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Arc<Self> {
        let state = StateClient::new(settings.platform.services.state);
        let started = clock.now();
        Arc::new(Self {
            policy: Policy::new(&settings),
            settings,
            clock,
            state,
            http: HttpClient::new(),
            peers_http: HttpClient::new(),
            run: rand::rng().random::<u64>() >> 12,
            started,
            inner: Mutex::new(Inner::default()),
        })
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    pub fn label(&self) -> &str {
        &self.settings.platform.label
    }

    /// Gives the shard of this tenure an event, and carries out what it
    /// decides. None if the tenure is over.
    pub fn with_shard<T>(
        self: &Arc<Self>,
        tenure: &Arc<Tenure>,
        event: impl FnOnce(&mut Shard, Instant) -> T,
    ) -> Option<T> {
        let now = self.now();
        let (result, actions) = {
            let mut inner = self.lock();
            let ownership = inner
                .ownership
                .as_mut()
                .filter(|own| Arc::ptr_eq(&own.tenure, tenure) && !tenure.ended())?;
            let result = event(&mut ownership.shard, now);
            ownership.shard.settle(now);
            (result, ownership.shard.take_actions())
        };
        for action in actions {
            tokio::spawn(io::carry_out(self.clone(), tenure.clone(), action));
        }
        Some(result)
    }

    /// The tenure under which this node may act right now.
    pub fn live_tenure(&self) -> Option<Arc<Tenure>> {
        let inner = self.lock();
        let tenure = &inner.ownership.as_ref()?.tenure;
        tenure.live(self.now()).then(|| tenure.clone())
    }

    /// The tenure of this node, live or not.
    pub fn tenure(&self) -> Option<Arc<Tenure>> {
        self.lock().ownership.as_ref().map(|own| own.tenure.clone())
    }

    /// Who runs the shard, as far as this node knows.
    pub fn owner_label(&self) -> Option<String> {
        if self.live_tenure().is_some() {
            return Some(self.label().to_owned());
        }
        let now = self.now();
        let inner = self.lock();
        let by_pulse = inner
            .peers
            .values()
            .filter(|view| now.saturating_duration_since(view.at) < Duration::from_secs(3))
            .filter_map(|view| Some((view.pulse.term?, view.pulse.label.clone())))
            .max();
        match by_pulse {
            Some((_, label)) => Some(label),
            None => inner
                .seen_owner
                .as_ref()
                .map(|owner| owner.label.clone())
                .filter(|label| label != self.label()),
        }
    }

    /// Whether the state service has stopped serving this node.
    pub fn state_lost(&self) -> bool {
        let (served, failed) = self.state.health();
        let Some(served) = served else {
            return true;
        };
        let recent = Instant::now().saturating_duration_since(served);
        failed.is_some_and(|failed| failed > served) && recent > Duration::from_millis(1500)
    }

    /// Until when this node must not seek the shard: an owner may be going on
    /// by its promise, or by one that an earlier run of this process gave.
    pub fn may_not_seek(&self) -> Option<Instant> {
        let now = self.now();
        let inner = self.lock();
        let others = self.settings.platform.others.len();
        let free_peers = inner
            .peers
            .values()
            .filter(|view| view.pulse.term.is_none())
            .count();
        let no_owner_about = inner.previous_run_ended || free_peers == others;
        let earlier = (!no_owner_about).then_some(self.started + peering::LONGEST_PROMISE);
        inner
            .promised_until
            .max(earlier)
            .filter(|until| *until > now)
    }

    /// Whether the last answer of the state service was none, or a refusal.
    pub fn state_failing(&self) -> bool {
        let (served, failed) = self.state.health();
        failed.is_some() && failed > served
    }

    /// Whether some other controller says that the state service serves it.
    pub fn peer_served(&self) -> bool {
        let now = self.now();
        self.lock().peers.values().any(|view| {
            view.pulse.state_served
                && now.saturating_duration_since(view.at) < Duration::from_millis(2500)
        })
    }

    /// What operators may want to know, as text.
    pub fn status(&self) -> String {
        let now = self.now();
        let owner = self.owner_label().unwrap_or_else(|| "unknown".into());
        let latencies = self.state.latencies();
        let inner = self.lock();
        let mut page = format!(
            "controller {} in {}, up {:?}\nowner of the shard: {owner}\n\
             state service: {} answers, p50 {:?}, p99 {:?}, longest {:?}\n",
            self.label(),
            self.settings.platform.area,
            now.saturating_duration_since(self.started),
            latencies.answered,
            latencies.p50,
            latencies.p99,
            latencies.longest,
        );
        for view in inner.peers.values() {
            page.push_str(&format!(
                "peer {}: heard {:?} ago, state service {}, workers {}, term {:?}\n",
                view.pulse.label,
                now.saturating_duration_since(view.at),
                if view.pulse.state_served {
                    "serves it"
                } else {
                    "doesn't"
                },
                view.pulse.workers_heard,
                view.pulse.term,
            ));
        }
        if let Some(own) = &inner.ownership {
            page.push_str(&format!(
                "term {}, {} its deadline\n",
                own.tenure.term,
                if own.tenure.live(now) {
                    "before"
                } else {
                    "past"
                }
            ));
            page.push_str(&own.shard.describe(now));
        }
        page
    }

    /// Whether users should come here. When nobody is served, leaving the
    /// balancer would only make the way back longer.
    pub fn ready(&self) -> bool {
        if self.lock().types.is_none() {
            return false;
        }
        !(self.state_lost() && self.peer_served())
    }
}

/// Runs a controller until it is killed.
pub async fn run(settings: Settings) -> Result<(), RunError> {
    let node = Node::new(settings, Arc::new(SteadyClock));
    let platform = &node.settings.platform;
    let listen = async |addr| {
        TcpListener::bind(addr)
            .await
            .map_err(|error| RunError::Listen(addr, error))
    };
    let front_listener = listen(platform.front).await?;
    let internal_listener = listen(platform.internal_addr).await?;
    info!(
        label = node.label(),
        area = platform.area,
        front = %platform.front,
        "valegap starts"
    );
    tokio::spawn(keep_types(node.clone()));
    tokio::spawn(peering::pulse(node.clone()));
    tokio::spawn(seek_ownership(node.clone()));
    let front = axum::serve(front_listener, front::router(node.clone()));
    let internal = axum::serve(internal_listener, internal::router(node.clone()));
    tokio::try_join!(front.into_future(), internal.into_future())
        .map(|_| ())
        .map_err(RunError::Server)
}

/// Reads machine types and prices from time to time.
async fn keep_types(node: Arc<Node>) {
    let mut attempt = 0;
    loop {
        let pause = match io::machine_types(&node).await {
            Some(types) => {
                attempt = 0;
                let tenure = {
                    let mut inner = node.lock();
                    if inner.types.is_none() {
                        info!(types = types.len(), "machine types known");
                    }
                    inner.types = Some(types.clone());
                    inner.ownership.as_ref().map(|own| own.tenure.clone())
                };
                if let Some(tenure) = tenure {
                    node.with_shard(&tenure, |shard, _| shard.set_types(&types));
                }
                Duration::from_secs(30)
            }
            None => {
                attempt += 1;
                backoff(attempt + 2)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Becomes the shard's owner whenever it has none, and serves as it.
async fn seek_ownership(node: Arc<Node>) {
    let mut attempt = 0;
    loop {
        match stand_by(&node).await {
            Ok(()) => {
                attempt = 0;
                if let Some(tenure) = acquire(&node).await {
                    serve(&node, tenure).await;
                }
            }
            Err(error) => {
                attempt += 1;
                tracing::debug!(%error, "can't watch the shard's owner");
                tokio::time::sleep(backoff(attempt)).await;
            }
        }
    }
}

/// Waits until the shard has no owner and it is this node's turn to try.
async fn stand_by(node: &Arc<Node>) -> Result<(), StateError> {
    loop {
        let (items, revision) = node
            .state
            .list(&keys::owner_prefix(), STATE_DEADLINE)
            .await?;
        let owner = items
            .iter()
            .find(|item| item.key == keys::owner())
            .and_then(|item| serde_json::from_value::<OwnerRecord>(item.value.clone()).ok());
        node.lock().seen_owner = owner.clone();
        match owner {
            None => {
                let delay = candidate_delay(node);
                if delay.is_zero() {
                    return Ok(());
                }
                tokio::time::sleep(delay).await;
                let (items, _) = node
                    .state
                    .list(&keys::owner_prefix(), STATE_DEADLINE)
                    .await?;
                if items.is_empty() {
                    return Ok(());
                }
            }
            Some(owner) if owner.label == node.label() && owner.run != node.run => {
                // Our earlier process is certainly dead: nobody else has its
                // label and addresses.
                info!(
                    hold = owner.hold,
                    "ending the hold of this node's earlier run"
                );
                node.state.release(owner.hold, STATE_DEADLINE).await?;
                node.lock().previous_run_ended = true;
            }
            Some(owner) if owner.label == node.label() => {
                // A tenure that this run gave up, or an acquisition whose
                // answer was lost and that came too late to be used.
                node.state.release(owner.hold, STATE_DEADLINE).await?;
            }
            Some(_) => {
                let page = node
                    .state
                    .follow(&keys::owner_prefix(), revision, WATCH)
                    .await?;
                for event in page.events {
                    if let News::Delete { key, .. } = event
                        && key == keys::owner()
                    {
                        node.lock().seen_owner = None;
                    }
                }
            }
        }
    }
}

fn candidate_delay(node: &Arc<Node>) -> Duration {
    let now = node.now();
    if let Some(until) = node.may_not_seek() {
        return until.saturating_duration_since(now) + Duration::from_millis(10);
    }
    let inner = node.lock();
    if inner.deaf_until.is_some_and(|until| until > now) {
        return DEAF_LAST;
    }
    let far = inner
        .main_zone
        .as_ref()
        .is_some_and(|zone| *zone != node.settings.platform.area);
    // Workers that lost their owner come to whomever they can reach.
    let heard = inner
        .workers
        .values()
        .any(|at| now.saturating_duration_since(*at) < RECENT);
    match (far, heard) {
        (true, false) => UNHEARD_LAST,
        (true, true) => NEAREST_FIRST,
        (false, _) => Duration::ZERO,
    }
}

/// Raises the term; the tenure it returns is being renewed.
async fn acquire(node: &Arc<Node>) -> Option<Arc<Tenure>> {
    {
        if node.may_not_seek().is_some() {
            return None;
        }
        node.lock().acquiring = true;
    }
    let (tenure, settled) = try_acquire(node).await;
    // Without a settled outcome no promise is given until the next try.
    node.lock().acquiring = !settled;
    tenure
}

/// A tenure if the shard is ours, and whether the outcome is surely known.
async fn try_acquire(node: &Arc<Node>) -> (Option<Arc<Tenure>>, bool) {
    let operator = &node.settings.operator;
    let sent = node.now();
    let Ok(hold) = node.state.hold(operator.lease(), STATE_DEADLINE).await else {
        // A hold that nothing is attached to runs out unnoticed.
        return (None, true);
    };
    let record = OwnerRecord {
        v: VERSION,
        label: node.label().to_owned(),
        hold,
        run: node.run,
    };
    let Ok(value) = serde_json::to_value(&record) else {
        return (None, true);
    };
    let txn = Txn::default().guard(keys::owner(), 0).change(Change::Put {
        key: keys::owner(),
        value,
        hold: Some(hold),
    });
    let term = match node.state.txn(&txn, STATE_DEADLINE).await {
        Ok(TxnOutcome::Committed { revision }) => revision,
        Ok(TxnOutcome::Conflict) => {
            let _ = node.state.release(hold, STATE_DEADLINE).await;
            return (None, true);
        }
        Err(error) => {
            // It may be applied yet; ending the hold takes its record along,
            // and standing by ends it again if this has no answer either.
            warn!(%error, "the shard could not be acquired");
            let released = node.state.release(hold, STATE_DEADLINE).await;
            return (None, released.is_ok());
        }
    };
    let until = lease::deadline(operator, sent);
    let tenure = Arc::new(Tenure::new(hold, term, until, node.now()));
    info!(term, hold, "shard acquired");
    tokio::spawn(renew(node.clone(), tenure.clone()));
    (Some(tenure), true)
}

/// Renews the hold until it has ended, on a connection of its own.
async fn renew(node: Arc<Node>, tenure: Arc<Tenure>) {
    let operator = &node.settings.operator;
    let mut trouble = false;
    while !tenure.ended() {
        let sent = node.now();
        let deadline = operator.renew().max(Duration::from_millis(500));
        match node.state.renew(tenure.hold, deadline).await {
            Ok(()) => {
                tenure.renewed(lease::deadline(operator, sent));
                if std::mem::take(&mut trouble) {
                    info!(term = tenure.term, "hold renewed again");
                }
                let next = operator.renew();
                tokio::select! {
                    () = tokio::time::sleep(next) => {}
                    () = tenure.end.notified() => {}
                }
            }
            Err(StateError::HoldEnded) => {
                warn!(term = tenure.term, "the hold has ended");
                tenure.finish();
            }
            Err(error) => {
                if !std::mem::replace(&mut trouble, true) {
                    warn!(term = tenure.term, %error, "the hold can't be renewed");
                }
                extend_by_promises(&node, &tenure).await;
                tokio::time::sleep(RENEW_RETRY).await;
            }
        }
    }
}

/// Without the state service, an owner goes on as long as every other
/// controller promises not to seek the shard.
async fn extend_by_promises(node: &Arc<Node>, tenure: &Tenure) {
    let time = peering::LONGEST_PROMISE;
    let sent = node.now();
    if tenure.live(sent) && peering::all_promise(node, time).await {
        let margin = Duration::from_secs_f64(node.settings.operator.lease_margin_s).min(time / 4);
        tenure.renewed(sent + time.mul_f64(0.998) - margin);
    }
}

/// Owns the shard until the tenure ends.
async fn serve(node: &Arc<Node>, tenure: Arc<Tenure>) {
    let mut attempt = 0;
    let (loaded, revision) = loop {
        if tenure.ended() {
            return;
        }
        match load(node, &tenure).await {
            Ok(loaded) => break loaded,
            Err(error) => {
                attempt += 1;
                warn!(term = tenure.term, %error, "the shard can't be loaded yet");
                tokio::time::sleep(backoff(attempt)).await;
            }
        }
    };
    let shard = Shard::take_over(node.policy.clone(), tenure.term, loaded, node.now());
    {
        let mut inner = node.lock();
        inner.ownership = Some(Ownership {
            tenure: tenure.clone(),
            shard,
        });
    }
    let types = node.lock().types.clone();
    node.with_shard(&tenure, |shard, _| {
        if let Some(types) = types {
            shard.set_types(&types);
        }
    });
    tokio::spawn(watch_jobs(node.clone(), tenure.clone(), revision));
    tokio::spawn(io::watch_cloud(node.clone(), tenure.clone()));
    let mut ticks = 0_u64;
    while !tenure.ended() {
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = tenure.end.notified() => {}
        }
        if tenure.live(node.now()) {
            node.with_shard(&tenure, |shard, now| shard.tick(now));
        }
        ticks += 1;
        if ticks.is_multiple_of(150)
            && let Some(summary) = node.with_shard(&tenure, |shard, _| shard.summary())
        {
            info!(term = tenure.term, summary, "shard");
        }
    }
    let mut inner = node.lock();
    inner.ownership = None;
    drop(inner);
    info!(term = tenure.term, "shard given up");
}

/// Ends a tenure at once, so that another controller can begin.
pub async fn step_down(node: &Arc<Node>, tenure: &Arc<Tenure>, why: &str) {
    info!(term = tenure.term, why, "stepping down");
    tenure.finish();
    if let Err(error) = node.state.release(tenure.hold, STATE_DEADLINE).await {
        warn!(%error, "the hold could not be ended; it runs out");
    }
}

async fn load(node: &Arc<Node>, tenure: &Tenure) -> Result<(Loaded, u64), StateError> {
    let state = &node.state;
    let deadline = Duration::from_secs(2);
    let (job_items, revision) = state.list(keys::JOBS, deadline).await?;
    let (roster, _) = state.list(&keys::roster_prefix(), deadline).await?;
    let (chunks, _) = state.list(&keys::snapshot_prefix(), deadline).await?;
    let (bookings, _) = state.list(&keys::booking_prefix(), deadline).await?;
    let sequence = match state.get(&keys::sequence(), deadline).await? {
        Some(item) => Sequence {
            version: item.version,
            n: serde_json::from_value::<SequenceRecord>(item.value).map_or(0, |r| r.n),
        },
        None => Sequence::default(),
    };
    *tenure.sequence.lock().await = sequence;
    let loaded = Loaded {
        jobs: job_items.into_iter().filter_map(read_job).collect(),
        roster: roster
            .into_iter()
            .filter_map(|item| {
                let id = item.key.strip_prefix(&keys::roster_prefix())?.to_owned();
                let record = read(&item)?;
                Some(LoadedMachine { id, record })
            })
            .collect(),
        chunks: chunks
            .into_iter()
            .map(|item| (item.key, item.value))
            .collect(),
        bookings: bookings.iter().filter_map(read).collect(),
    };
    Ok((loaded, revision))
}

fn read<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    match serde_json::from_value(item.value.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key = item.key, %error, "a record can't be read");
            None
        }
    }
}

fn read_job(item: Item) -> Option<(String, u64, JobRecord)> {
    let id = item.key.strip_prefix(keys::JOBS)?.to_owned();
    let record = read(&item)?;
    Some((id, item.version, record))
}

/// Tells the shard of accepted and ended jobs.
async fn watch_jobs(node: Arc<Node>, tenure: Arc<Tenure>, mut revision: u64) {
    let mut attempt = 0;
    while !tenure.ended() {
        match node.state.follow(keys::JOBS, revision, WATCH).await {
            Ok(page) => {
                attempt = 0;
                revision = page.revision.max(revision);
                if page.events.is_empty() {
                    continue;
                }
                node.with_shard(&tenure, |shard, now| {
                    for event in page.events {
                        match event {
                            News::Put {
                                key,
                                value,
                                version,
                            } => {
                                let item = Item {
                                    key,
                                    value,
                                    version,
                                    hold: None,
                                };
                                if let Some((id, mark, record)) = read_job(item) {
                                    shard.job_put(&id, mark, record, now);
                                }
                            }
                            News::Delete { key, .. } => {
                                if let Some(id) = key.strip_prefix(keys::JOBS) {
                                    shard.job_gone(id, None, now);
                                }
                            }
                        }
                    }
                });
            }
            Err(StateError::TooOld) => match node.state.list(keys::JOBS, STATE_DEADLINE).await {
                Ok((items, at)) => {
                    revision = at;
                    let jobs: Vec<_> = items.into_iter().filter_map(read_job).collect();
                    node.with_shard(&tenure, |shard, now| shard.jobs_reread(jobs, at, now));
                }
                Err(_) => {
                    attempt += 1;
                    tokio::time::sleep(backoff(attempt)).await;
                }
            },
            Err(_) => {
                attempt += 1;
                tokio::time::sleep(backoff(attempt)).await;
            }
        }
    }
}
