//! One controller: its settings, clients and admission limits, and its state behind a
//! lock.

mod reachability;
pub mod state;
mod status;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::sync::Semaphore;

use self::state::NodeState;
use crate::clock::Clock;
use crate::coordination::executor;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::shard::{Job, Policy, Shard};
use crate::coordination::worker_leases::cancellation_freshness;
use crate::protocol::JobId;
use crate::settings::Settings;
use crate::storage::job_index::JobIndex;
use crate::storage::kv_client::{KvClient, KvError};
use crate::storage::rate_limiter::RateLimiter;
use crate::storage::records::JobRecord;
use crate::transport::client::HttpClient;

/// Deadline of ordinary key-value requests.
pub const KV_DEADLINE: Duration = Duration::from_millis(2500);

/// How long an unused connection to a worker is kept: there are many workers,
/// each with a connection of its own to us as well.
const WORKER_IDLE: Duration = Duration::from_secs(5);
/// Batches of commands under way at once, in percent of the sockets, and the least that is
/// allowed for; more wait for their turn.
const COMMAND_SHARE: usize = 7;
const LEAST_COMMANDS: usize = 128;
/// The same for probes. They have a limit of their own: silent machines must not hold up
/// commands to the others, nor a few silent ones the questions to all others.
const PROBE_SHARE: usize = 4;
const LEAST_PROBES: usize = 32;

/// Share of the key-value store's writes that one controller asks for on users'
/// behalf: what it can't take at once waits here, and stands in nobody's way
/// there. It is more than an equal share, since users come unevenly.
const USER_WRITE_SHARE: f64 = 0.5;
/// Longest wait for a turn to write; who would wait longer is told at once.
const LONGEST_TURN: Duration = Duration::from_millis(2500);

/// Share of the key-value store's requests for looks by all controllers.
const CATCH_UP_SHARE: f64 = 0.2;
/// Least pause between two looks.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(50);

/// The pause between two looks that keeps all controllers' together within
/// their share of the key-value store's requests.
fn catch_up_pace(settings: &Settings) -> Duration {
    let controllers = settings.platform.others.len() as f64 + 1.0;
    let rate = settings.platform.settings.kv.planned().rps * CATCH_UP_SHARE / controllers;
    Duration::from_secs_f64((1.0 / rate).min(1.0)).max(CATCH_UP_PAUSE)
}

/// A controller.
pub struct Node {
    /// Both settings files.
    pub settings: Settings,
    /// What the settings ask of the shard's decisions.
    pub policy: Policy,
    /// The steady clock and the time of day.
    pub clock: Arc<dyn Clock>,
    /// The key-value store.
    pub kv: KvClient,
    /// All jobs, as the key-value store last told of them.
    pub job_index: JobIndex,
    /// The client for the cloud's interface.
    pub cloud_http: HttpClient,
    workers_kept: HttpClient,
    workers_once: HttpClient,
    /// Batches of commands, and probes, that may be under way to workers.
    pub commands: Semaphore,
    /// Probes that may be under way to workers.
    pub probes: Semaphore,
    /// This controller's share of the writes, for users.
    pub user_writes: RateLimiter,
    /// The client for the other controllers.
    pub peers_http: HttpClient,
    /// Tells this run of the process from earlier ones.
    pub incarnation: u64,
    /// When this run of the process began.
    pub started: Instant,
    /// For how long workers may be answered after the moment up to which all
    /// cancellations are known.
    pub(super) renewal_bound: Duration,
    inner: Mutex<NodeState>,
}

impl Node {
    /// A controller with these settings, which does nothing by itself yet.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Arc<Self> {
        let kv = KvClient::new(settings.platform.services.kv, clock.clone());
        let started = clock.now();
        let job_index = JobIndex::new(catch_up_pace(&settings));
        let rate = settings.platform.settings.kv.planned().write_rps * USER_WRITE_SHARE;
        let user_writes = RateLimiter::new(rate, LONGEST_TURN);
        let sockets = settings.platform.settings.resources.max_connections;
        Arc::new(Self {
            policy: Policy::new(&settings),
            renewal_bound: cancellation_freshness::bound(&settings),
            settings,
            clock,
            kv,
            job_index,
            cloud_http: HttpClient::new(),
            workers_kept: HttpClient::keeping(WORKER_IDLE),
            workers_once: HttpClient::keeping(Duration::ZERO),
            user_writes,
            commands: Semaphore::new(LEAST_COMMANDS.max(sockets * COMMAND_SHARE / 100)),
            probes: Semaphore::new(LEAST_PROBES.max(sockets * PROBE_SHARE / 100)),
            peers_http: HttpClient::new(),
            incarnation: random_id(),
            started,
            inner: Mutex::new(NodeState::default()),
        })
    }

    /// What the controller knows; never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, NodeState> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The steady clock's time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Brings the job index of jobs up to date; what it says afterwards was true
    /// at some moment after this call.
    pub async fn catch_up(self: &Arc<Self>) -> Result<(), KvError> {
        let sent = self.job_index.catch_up(&self.kv, &*self.clock).await?;
        self.notify_finished_jobs();
        self.lock().cancellations.caught_up(sent);
        Ok(())
    }

    /// Tells the shard, if this node runs it, of jobs that the job index knows to
    /// be over: whatever the job index knows, the leader has to act on.
    pub fn notify_finished_jobs(self: &Arc<Self>) {
        let endings = self.job_index.finished_count();
        let lease = {
            let mut inner = self.lock();
            let Some(own) = inner.leadership.as_mut() else {
                return;
            };
            if own.finished_notified.replace(endings) == Some(endings) {
                return;
            }
            own.lease.clone()
        };
        self.with_shard(&lease, "jobs", |shard, _| {
            let ended = |job: &&Job| {
                job.final_stage.is_none() && self.job_index.has_ended(&job.id, job.mod_revision)
            };
            let over: Vec<JobId> = shard
                .jobs()
                .values()
                .filter(ended)
                .map(|job| job.id.clone())
                .collect();
            for id in over {
                let stage = self.job_index.final_state(&id).map(|state| state.stage);
                shard.job_finished(&id, stage);
            }
        });
    }

    /// Tells the shard of an accepted job, unless it is known to be over since.
    pub fn notify_job_accepted(
        &self,
        shard: &mut Shard,
        id: &str,
        mod_revision: u64,
        record: JobRecord,
        now: Instant,
    ) {
        if !self.job_index.has_ended(id, mod_revision) {
            shard.job_accepted(id, mod_revision, record, now);
        }
    }

    /// The most that a value may take, now and under the limits to come.
    pub fn value_bytes(&self) -> usize {
        self.settings.platform.settings.kv.planned().value_bytes()
    }

    /// How long this run of the process has lasted.
    pub fn up_time(&self) -> Duration {
        self.now().saturating_duration_since(self.started)
    }

    /// This controller's node id.
    pub fn node_id(&self) -> &str {
        &self.settings.platform.node_id
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
            let leadership = inner
                .leadership
                .as_mut()
                .filter(|own| Arc::ptr_eq(&own.lease, lease) && !lease.ended())?;
            let result = event(&mut leadership.shard, now);
            let took = self.clock.now().saturating_duration_since(now);
            leadership.activities.note(activity, took);
            if leadership.shard.needs_pass() {
                lease.work.notify_one();
            }
            (result, leadership.shard.take_actions())
        };
        for action in actions {
            tokio::spawn(executor::execute(self.clone(), lease.clone(), action));
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
        let lease = &inner.leadership.as_ref()?.lease;
        lease.live(self.now()).then(|| lease.clone())
    }

    /// The lease of this node, live or not.
    pub fn lease(&self) -> Option<Arc<ShardLease>> {
        self.lock().leadership.as_ref().map(|own| own.lease.clone())
    }
}

/// A number that nobody else has, now or later, as far as chance goes. JSON numbers
/// are exact below 2^53.
pub fn random_id() -> u64 {
    rand::rng().random::<u64>() >> 12
}
