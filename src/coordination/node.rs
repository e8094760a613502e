//! One controller: its state, its loops and its servers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::Rng;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tracing::{info, warn};

use super::advance_delegation::{self, AdvanceDelegation, AdvanceGrants};
use super::cancellation_knowledge::{self, CancellationKnowledge};
use super::lease::ShardLease;
use super::peering::extension;
use super::shard::{Job, Policy, Shard};
use super::{io, ownership, peering};
use crate::clock::{Clock, SteadyClock};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::peers::Heartbeat;
use crate::protocol::workers::Report;
use crate::settings::Settings;
use crate::storage::budget::Turns;
use crate::storage::client::{StateClient, StateError, backoff};
use crate::storage::inventory::PendingReports;
use crate::storage::ledger::Ledger;
use crate::storage::records::{JobRecord, OwnerRecord};
use crate::telemetry::Activities;
use crate::transport::client::HttpClient;
use crate::transport::limit::{Limited, Places};
use crate::transport::{front, internal};

/// How long another controller counts as heard.
const PEER_HEARD: Duration = Duration::from_millis(2500);

/// Deadline of ordinary state requests.
pub const STATE_DEADLINE: Duration = Duration::from_millis(2500);

/// How long an unused connection to a worker is kept: there are many workers,
/// each with a connection of its own to us as well.
const WORKER_IDLE: Duration = Duration::from_secs(5);
/// Pauses between reports after which a silent connection to us is closed.
const IDLE_REPORTS: u32 = 5;
/// Batches of commands under way at once; more wait for their turn.
const MOST_COMMANDS: usize = 128;
/// Probes under way at once. They have a limit of their own: silent machines
/// must not hold up commands to the others.
const MOST_PROBES: usize = 32;

/// Share of the state service's writes that one controller asks for on users'
/// behalf: what it can't take at once waits here, and stands in nobody's way
/// there. It is more than an equal share, since users come unevenly.
const USER_WRITE_SHARE: f64 = 0.5;
/// Longest wait for a turn to write; who would wait longer is told at once.
const LONGEST_TURN: Duration = Duration::from_millis(2500);

/// Shares of the sockets, in percent, for the two servers; the rest is for
/// connections to others.
const FRONT_SHARE: usize = 80;
const INTERNAL_SHARE: usize = 5;

/// Share of the state service's requests for looks by all controllers.
const CATCH_UP_SHARE: f64 = 0.2;
/// Least pause between two looks.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(50);

/// A share of the sockets, in percent, as places for connections.
fn places(settings: &Settings, share: usize) -> Places {
    let sockets = settings.platform.settings.resources.max_connections;
    Places::new(sockets * share / 100)
}

/// The pause between two looks that keeps all controllers' together within
/// their share of the state service's requests.
fn catch_up_pace(settings: &Settings) -> Duration {
    let controllers = settings.platform.others.len() as f64 + 1.0;
    let rate = settings.platform.settings.state.planned().rps * CATCH_UP_SHARE / controllers;
    Duration::from_secs_f64((1.0 / rate).min(1.0)).max(CATCH_UP_PAUSE)
}

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
    pub heartbeat: Heartbeat,
    pub at: Instant,
}

/// A shard that this controller runs.
pub struct Ownership {
    pub lease: Arc<ShardLease>,
    pub shard: Shard,
    /// The advance delegations that this lease's heartbeats gave.
    pub advance_grants: AdvanceGrants,
    /// How much of what is over the shard was told, by the ledger's count.
    pub finished_told: Option<u64>,
    /// What the shard's events cost.
    pub activities: Activities,
}

/// The right to answer workers that the owner can't hear.
#[derive(Debug, Clone, Copy)]
pub struct Delegation {
    /// The owner's term.
    pub term: u64,
    pub until: Instant,
    /// The owner asks what they hold.
    pub inventory: bool,
}

/// What a controller knows.
#[derive(Default)]
pub struct Inner {
    pub ownership: Option<Ownership>,
    /// A term whose shard is not loaded yet.
    pub loading: Option<Arc<ShardLease>>,
    pub seen_owner: Option<OwnerRecord>,
    pub types: Option<Vec<MachineType>>,
    pub peers: HashMap<String, PeerView>,
    /// Workers that tried to report here, and when.
    pub workers: HashMap<String, Instant>,
    /// Unfinished jobs with their tasks done and running, as the owner last said.
    pub progress: HashMap<String, (u32, u32)>,
    /// The zone that holds most machines, as the owner last said.
    pub main_zone: Option<String>,
    /// An attempt to acquire the shard is under way, or its outcome unknown.
    pub acquiring: bool,
    /// The latest term that this run has acquired.
    pub latest_term: u64,
    /// The last owner was an earlier run of this process, which is dead.
    pub previous_run_ended: bool,
    /// Until when this node has promised to leave the shard to its owner.
    pub extension_granted_until: Option<Instant>,
    /// The owner's term under which this node may answer workers that the
    /// owner can't hear, and until when.
    pub delegation: Option<Delegation>,
    /// The highest term that a heartbeat named, and when one last did. A heartbeat
    /// without a term, late or of an owner past its deadline, changes nothing:
    /// the owner counts on its having been heard.
    pub owner_heard: Option<(u64, Instant)>,
    /// What the owner's last answer to a heartbeat entitles to.
    pub advance_delegation: Option<AdvanceDelegation>,
    /// When a worker was last answered by an advance delegation.
    pub answered_alone: Option<Instant>,
    /// what the delegated workers reported under that term, to be written.
    pub unwritten_reports: PendingReports,
    /// The largest inventory page that the state service has not refused, if it is
    /// less than its limits say.
    pub inventory_bytes: Option<usize>,
    /// Until when this node should rather not own the shard.
    pub deaf_until: Option<Instant>,
    /// Up to when cancellations are known here.
    pub cancellations: CancellationKnowledge,
    /// Workers are not answered, since too little is known.
    pub withholds_answers: bool,
    /// Controllers of an older version, which know no other frames than their
    /// own, and when they last showed it.
    pub older: HashMap<String, Instant>,
}

/// A controller.
pub struct Node {
    pub settings: Settings,
    pub policy: Policy,
    pub clock: Arc<dyn Clock>,
    pub state: StateClient,
    pub ledger: Ledger,
    pub cloud_http: HttpClient,
    workers_kept: HttpClient,
    workers_once: HttpClient,
    /// Batches of commands, and probes, that may be under way to workers.
    pub commands: Semaphore,
    pub probes: Semaphore,
    /// This controller's share of the writes, for users.
    pub user_writes: Turns,
    /// Places for users, workers and the balancer.
    pub front_places: Places,
    pub peers_http: HttpClient,
    /// Tells this run of the process from earlier ones.
    pub run: u64,
    pub started: Instant,
    /// For how long workers may be answered after the moment up to which all
    /// cancellations are known.
    renewal_bound: Duration,
    inner: Mutex<Inner>,
}

impl Node {
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Arc<Self> {
        let state = StateClient::new(settings.platform.services.state, clock.clone());
        let started = clock.now();
        let ledger = Ledger::new(catch_up_pace(&settings));
        let rate = settings.platform.settings.state.planned().write_rps * USER_WRITE_SHARE;
        let user_writes = Turns::new(rate, LONGEST_TURN);
        Arc::new(Self {
            policy: Policy::new(&settings),
            front_places: places(&settings, FRONT_SHARE),
            renewal_bound: cancellation_knowledge::bound(&settings),
            settings,
            clock,
            state,
            ledger,
            cloud_http: HttpClient::new(),
            workers_kept: HttpClient::keeping(WORKER_IDLE),
            workers_once: HttpClient::keeping(Duration::ZERO),
            user_writes,
            commands: Semaphore::new(MOST_COMMANDS),
            probes: Semaphore::new(MOST_PROBES),
            peers_http: HttpClient::new(),
            run: random_id(),
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

    /// Brings the ledger of jobs up to date; what it says afterwards was true
    /// at some moment after this call.
    pub async fn catch_up(self: &Arc<Self>) -> Result<(), StateError> {
        let sent = self.ledger.catch_up(&self.state, &*self.clock).await?;
        self.tell_finished_jobs();
        self.lock().cancellations.caught_up(sent);
        Ok(())
    }

    /// Tells the shard, if this node runs it, of jobs that the ledger knows to
    /// be over: whatever the ledger knows, the owner has to act on.
    pub fn tell_finished_jobs(self: &Arc<Self>) {
        let endings = self.ledger.finished_count();
        let lease = {
            let mut inner = self.lock();
            let Some(own) = inner.ownership.as_mut() else {
                return;
            };
            if own.finished_told.replace(endings) == Some(endings) {
                return;
            }
            own.lease.clone()
        };
        self.with_shard(&lease, "jobs", |shard, _| {
            let ended = |job: &&Job| job.over.is_none() && self.ledger.has_ended(&job.id, job.mark);
            let over: Vec<JobId> = shard
                .jobs()
                .values()
                .filter(ended)
                .map(|job| job.id.clone())
                .collect();
            for id in over {
                let stage = self.ledger.final_state(&id).map(|(stage, _)| stage);
                shard.job_gone(&id, stage);
            }
        });
    }

    /// Tells the shard of an accepted job, unless it is known to be over since.
    pub fn tell_accepted(
        &self,
        shard: &mut Shard,
        id: &str,
        mark: u64,
        record: JobRecord,
        now: Instant,
    ) {
        if !self.ledger.has_ended(id, mark) {
            shard.job_put(id, mark, record, now);
        }
    }

    /// The moment up to which all cancellations that users were told are known.
    fn known_up_to(&self, inner: &Inner, now: Instant) -> Option<Instant> {
        let others = &self.settings.platform.others;
        let labels = others.iter().map(|peer| peer.label.as_str());
        inner.cancellations.known_up_to(labels, now)
    }

    /// Whether this node knows enough of the jobs that are over to answer
    /// workers, as whatever: their tasks may live on for a lease.
    pub fn may_renew_leases(&self, now: Instant) -> bool {
        let mut inner = self.lock();
        let known = self.known_up_to(&inner, now);
        let may = known.is_some_and(|known| now < known + self.renewal_bound);
        // Before its first look a controller has nothing to tell.
        if inner.withholds_answers == may && known.is_some() {
            inner.withholds_answers = !may;
            if may {
                info!("workers are answered again: cancellations are known");
            } else {
                warn!("workers are not answered: cancellations may have been missed");
            }
        }
        may
    }

    /// The most that a value may take, now and under the limits to come.
    pub fn value_bytes(&self) -> usize {
        self.settings
            .platform
            .settings
            .state
            .planned()
            .value_bytes()
    }

    /// How long this run of the process has lasted.
    pub fn up_time(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    pub fn label(&self) -> &str {
        &self.settings.platform.label
    }

    /// Gives the shard of this lease an event, and carries out what follows
    /// from it at once. What it needs decided, the next pass decides for many
    /// events together. None if the lease is over.
    pub fn with_shard<T>(
        self: &Arc<Self>,
        lease: &Arc<ShardLease>,
        activity: &'static str,
        event: impl FnOnce(&mut Shard, Instant) -> T,
    ) -> Option<T> {
        let now = self.now();
        let (result, actions) = {
            let mut inner = self.lock();
            let ownership = inner
                .ownership
                .as_mut()
                .filter(|own| Arc::ptr_eq(&own.lease, lease) && !lease.ended())?;
            let result = event(&mut ownership.shard, now);
            let took = self.clock.now().saturating_duration_since(now);
            ownership.activities.note(activity, took);
            if ownership.shard.needs_pass() {
                lease.work.notify_one();
            }
            (result, ownership.shard.take_actions())
        };
        for action in actions {
            tokio::spawn(io::carry_out(self.clone(), lease.clone(), action));
        }
        Some(result)
    }

    /// The client for commands. Connections to workers are kept as long as
    /// theirs to us and ours to them fit the sockets together.
    pub fn workers_http(&self) -> &HttpClient {
        let sockets = self.settings.platform.settings.resources.max_connections;
        let workers = self.lock().workers.len();
        if workers * 3 > sockets {
            &self.workers_once
        } else {
            &self.workers_kept
        }
    }

    /// The lease under which this node may act right now.
    pub fn live_lease(&self) -> Option<Arc<ShardLease>> {
        let inner = self.lock();
        let lease = &inner.ownership.as_ref()?.lease;
        lease.live(self.now()).then(|| lease.clone())
    }

    /// The term under which this node may keep a worker for the owner, if the
    /// worker would take it.
    pub fn delegated_term(&self, report: &Report) -> Option<u64> {
        self.term_while_loading(report)
            .or_else(|| self.term_by_delegation(report))
            .or_else(|| self.term_by_advance_delegation(report))
    }

    /// An owner that can't load the shard yet, since the state service fell out
    /// for all just then, and that holds it by promises: workers know no other.
    /// Their leases are counted from when it will have been loaded.
    fn term_while_loading(&self, report: &Report) -> Option<u64> {
        let inner = self.lock();
        let lease = inner.loading.as_ref()?;
        (lease.live(self.now()) && report.term <= lease.term).then_some(lease.term)
    }

    /// The same without the state service and the owner, by the advance delegation
    /// that the owner's last answer gave, or by this node's own last renewal.
    fn term_by_advance_delegation(&self, report: &Report) -> Option<u64> {
        if !self.state_failing() {
            return None;
        }
        let now = self.now();
        let mut inner = self.lock();
        let known = self.known_up_to(&inner, now);
        let own = inner.ownership.as_ref().filter(|own| !own.lease.ended());
        let own = own.map(|own| AdvanceDelegation {
            term: own.lease.term,
            seen: own.lease.last_renewed(),
        });
        let delegation = inner.advance_delegation.into_iter().chain(own);
        let delegation = delegation.max_by_key(|delegation| delegation.term)?;
        let until = delegation.until(known, advance_delegation::longest(&self.settings))?;
        let owner_heard = inner.owner_heard.is_some_and(|(term, at)| {
            term >= delegation.term
                && now.saturating_duration_since(at) < advance_delegation::OWNER_SILENT
        });
        if now >= until || owner_heard || report.term > delegation.term {
            return None;
        }
        if inner.answered_alone.is_none() {
            info!(
                term = delegation.term,
                "answering workers without the owner"
            );
        }
        inner.answered_alone = Some(now);
        Some(delegation.term)
    }

    fn term_by_delegation(&self, report: &Report) -> Option<u64> {
        let now = self.now();
        let mut inner = self.lock();
        let keeping = inner.delegation?;
        if now >= keeping.until || report.term > keeping.term {
            return None;
        }
        if keeping.inventory && report.term == keeping.term {
            inner.unwritten_reports.insert(report.clone());
        }
        Some(keeping.term)
    }

    /// The lease of this node, live or not.
    pub fn lease(&self) -> Option<Arc<ShardLease>> {
        self.lock().ownership.as_ref().map(|own| own.lease.clone())
    }

    /// Who runs the shard, as far as this node knows.
    pub fn owner_label(&self) -> Option<String> {
        if self.live_lease().is_some() {
            return Some(self.label().to_owned());
        }
        let now = self.now();
        let inner = self.lock();
        let by_heartbeat = inner
            .peers
            .values()
            .filter(|view| now.saturating_duration_since(view.at) < Duration::from_secs(3))
            .filter_map(|view| Some((view.heartbeat.term?, view.heartbeat.label.clone())))
            .max();
        match by_heartbeat {
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
        let recent = self.now().saturating_duration_since(served);
        failed.is_some_and(|failed| failed > served) && recent > Duration::from_millis(1500)
    }

    /// Until when this node must not seek the shard: an owner may be going on
    /// by its promise, or by one that an earlier run of this process gave.
    pub fn may_not_seek(&self) -> Option<Instant> {
        let now = self.now();
        let inner = self.lock();
        let earlier =
            (!inner.previous_run_ended).then_some(self.started + extension::LONGEST_EXTENSION);
        inner
            .extension_granted_until
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
            view.heartbeat.state_served && now.saturating_duration_since(view.at) < PEER_HEARD
        })
    }

    /// Whether no other controller has been heard lately, though there are some.
    pub fn alone(&self) -> bool {
        let now = self.now();
        let inner = self.lock();
        let heard = |view: &PeerView| now.saturating_duration_since(view.at) < PEER_HEARD;
        !self.settings.platform.others.is_empty() && !inner.peers.values().any(heard)
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
                view.heartbeat.label,
                now.saturating_duration_since(view.at),
                if view.heartbeat.state_served {
                    "serves it"
                } else {
                    "doesn't"
                },
                view.heartbeat.workers_heard,
                view.heartbeat.term,
            ));
        }
        if let Some(own) = &inner.ownership {
            page.push_str(&format!(
                "term {}, {} its deadline\n",
                own.lease.term,
                if own.lease.live(now) {
                    "before"
                } else {
                    "past"
                }
            ));
            page.push_str(&format!("time: {}\n", own.activities));
            page.push_str(&own.shard.describe(now));
        }
        page
    }

    /// Whether users should come here. When nobody is served, leaving the
    /// balancer would only make the way back longer; but who hears neither the
    /// state service nor any other controller is cut off itself.
    pub fn ready(&self) -> bool {
        if self.lock().types.is_none() {
            return false;
        }
        !(self.state_lost() && (self.peer_served() || self.alone()))
    }
}

/// A number that nobody else has, now or later, as far as chance goes. JSON numbers
/// are exact below 2^53.
pub fn random_id() -> u64 {
    rand::rng().random::<u64>() >> 12
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
    tokio::spawn(peering::run(node.clone()));
    tokio::spawn(peering::delegation::serve_delegated_workers(node.clone()));
    tokio::spawn(ownership::seek_ownership(node.clone()));
    let idle = platform.settings.workers.report() * IDLE_REPORTS;
    let front_listener = Limited::new(front_listener, node.front_places.clone(), idle);
    let internal_places = places(&node.settings, INTERNAL_SHARE);
    let internal_listener = Limited::new(internal_listener, internal_places, idle);
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
                let lease = {
                    let mut inner = node.lock();
                    if inner.types.is_none() {
                        info!(types = types.len(), "machine types known");
                    }
                    inner.types = Some(types.clone());
                    inner.ownership.as_ref().map(|own| own.lease.clone())
                };
                if let Some(lease) = lease {
                    node.with_shard(&lease, "types", |shard, _| shard.set_types(&types));
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
