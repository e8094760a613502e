//! Users, who submit, repeat, ask and cancel at all controllers, and note what they are told.

mod answers;
mod settling;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use valegap::transport::client::HttpClient;

use crate::deployment::Deployment;
use crate::history::{TaskHistory, Violation};
use crate::plan::Plan;
use crate::support::cluster::submission;
use crate::support::worker::register_service;

/// How long a user waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before a user repeats a request.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The pause between two requests of all users, in milliseconds.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 50..350;
/// Each seed has its own job ids; they have six digits.
const JOBS_PER_SEED: u64 = 1_000;
const SEEDS_WITH_OWN_IDS: u64 = 1_000;
/// Keep the users' random numbers apart from those of the plan.
const USERS_STREAM: u64 = 0x7573_6572;
const SERVICES_STREAM: u64 = 0x7365_7276;
/// The share of a machine's cores that services take at the start.
const SERVICE_CORES_PER_MACHINE: usize = 2;
/// The share of a machine's four cores up to which users submit services.
const MAX_SERVICE_CORES_PER_MACHINE: usize = 2;
const MAX_SERVICE_TASKS: u32 = 4;
/// How many jobs users cancel in a burst.
const CANCELLATIONS_PER_BURST: usize = 4;
/// How many batch jobs users submit in a burst.
const SUBMISSIONS_PER_BURST: usize = 4;
/// More tasks in each job of a run with many machines.
const LARGE_JOB_FACTOR: u32 = 10;
const MANY_MACHINES: usize = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobKind {
    Service,
    Batch,
}

/// What users know of one job.
#[derive(Debug, Clone)]
pub(crate) struct JobFacts {
    pub(crate) kind: JobKind,
    pub(crate) tasks: u32,
    body: Value,
    pub(crate) is_accepted: bool,
    pub(crate) cancel_requested: bool,
    /// The final stage that a user was first told, and when.
    pub(crate) told_final: Option<(String, Instant)>,
}

impl JobFacts {
    fn is_open(&self) -> bool {
        self.is_accepted && !self.cancel_requested && self.told_final.is_none()
    }
}

/// A user's request.
#[derive(Debug, Clone)]
enum Request {
    Submit(String),
    Poll(String),
    Cancel(String),
}

impl Request {
    fn job(&self) -> &str {
        let (Self::Submit(job) | Self::Poll(job) | Self::Cancel(job)) = self;
        job
    }
}

/// The users of a run.
pub(crate) struct Users {
    deployment: Arc<Deployment>,
    history: Arc<TaskHistory>,
    jobs: Mutex<BTreeMap<String, JobFacts>>,
    violations: Mutex<Vec<Violation>>,
    client: HttpClient,
    first_job: u64,
    job_factor: u32,
    machines: usize,
    has_quota: bool,
}

impl Users {
    pub(crate) fn new(
        plan: &Plan,
        deployment: Arc<Deployment>,
        history: Arc<TaskHistory>,
    ) -> Arc<Self> {
        Arc::new(Self {
            deployment,
            history,
            jobs: Mutex::default(),
            violations: Mutex::default(),
            client: HttpClient::new(),
            first_job: plan.seed % SEEDS_WITH_OWN_IDS * JOBS_PER_SEED,
            job_factor: match plan.machines {
                MANY_MACHINES.. => LARGE_JOB_FACTOR,
                _ => 1,
            },
            machines: plan.machines,
            has_quota: plan.max_cores > 0,
        })
    }

    /// Submits services that use a part of all machines, and waits until a task of one runs: troubles
    /// that begin before would find nothing to stop.
    pub(crate) async fn start_services(self: &Arc<Self>, plan: &Plan, end: Instant) {
        let mut rng = StdRng::seed_from_u64(plan.seed ^ SERVICES_STREAM);
        let mut cores = 0;
        while cores < plan.machines * SERVICE_CORES_PER_MACHINE {
            let job = self.new_job(&mut rng, JobKind::Service);
            cores += self.facts(&job).map_or(1, |facts| facts.tasks as usize);
            self.spawn(&mut rng, Request::Submit(job), end);
        }
        while self.history.running_jobs().is_empty() && Instant::now() < end {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Sends requests until `end`; the seed decides which.
    pub(crate) async fn send_requests(self: Arc<Self>, plan: Plan, end: Instant) {
        let mut rng = StdRng::seed_from_u64(plan.seed ^ USERS_STREAM);
        let started = Instant::now();
        let mut bursts = plan.cancellation_bursts.clone();
        let partition = plan.partition.as_ref();
        let mut submissions = partition.map_or_else(Vec::new, |plan| plan.submissions.clone());
        let mut cancellations = partition.map_or_else(Vec::new, |plan| plan.cancellations.clone());
        while Instant::now() < end {
            let elapsed = started.elapsed();
            for _ in 0..take_due(&mut bursts, elapsed) * CANCELLATIONS_PER_BURST {
                if let Some(job) = self.draw_job_to_cancel(&mut rng) {
                    self.spawn(&mut rng, Request::Cancel(job), end);
                }
            }
            for _ in 0..take_due(&mut submissions, elapsed) * SUBMISSIONS_PER_BURST {
                let job = self.new_job(&mut rng, JobKind::Batch);
                self.spawn(&mut rng, Request::Submit(job), end);
            }
            for _ in 0..take_due(&mut cancellations, elapsed) * CANCELLATIONS_PER_BURST {
                if let Some(job) = self.newest_open_job() {
                    self.spawn(&mut rng, Request::Cancel(job.clone()), end);
                    self.note_cancel_requested(&job);
                }
            }
            if let Some(request) = self.draw_request(&mut rng) {
                self.spawn(&mut rng, request, end);
            }
            let pause = rng.random_range(REQUEST_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    fn draw_request(&self, rng: &mut StdRng) -> Option<Request> {
        match rng.random_range(0..20) {
            0..4 if self.has_room_for_service() => {
                Some(Request::Submit(self.new_job(rng, JobKind::Service)))
            }
            4 => Some(Request::Submit(self.new_job(rng, JobKind::Batch))),
            5..7 => self.draw_job(rng, JobFacts::is_open).map(Request::Cancel),
            7 => self.draw_job_to_cancel(rng).map(Request::Cancel),
            8..11 => self.draw_job(rng, |f| f.is_accepted).map(Request::Submit),
            11 => self
                .draw_job(rng, |f| f.cancel_requested)
                .map(Request::Cancel),
            12 => Some(Request::Poll(self.job_id(JOBS_PER_SEED - 1))),
            _ => self.draw_job(rng, |f| f.is_accepted).map(Request::Poll),
        }
    }

    /// Whether all machines together have room for one service more, and for batch jobs.
    fn has_room_for_service(&self) -> bool {
        let jobs = self.jobs.lock().expect("jobs");
        let is_service =
            |facts: &&JobFacts| facts.kind == JobKind::Service && !facts.cancel_requested;
        let tasks: u32 = jobs
            .values()
            .filter(is_service)
            .map(|facts| facts.tasks)
            .sum();
        tasks as usize <= self.machines * MAX_SERVICE_CORES_PER_MACHINE
    }

    fn draw_job(&self, rng: &mut StdRng, is_wanted: impl Fn(&JobFacts) -> bool) -> Option<String> {
        self.jobs_that(is_wanted).choose(rng).cloned()
    }

    /// An open job of which a task runs, if there is one, or any open job.
    fn draw_job_to_cancel(&self, rng: &mut StdRng) -> Option<String> {
        let running = self.history.running_jobs();
        let mut open = self.jobs_that(JobFacts::is_open);
        if open.iter().any(|job| running.contains(job)) {
            open.retain(|job| running.contains(job));
        }
        open.choose(rng).cloned()
    }

    fn jobs_that(&self, is_wanted: impl Fn(&JobFacts) -> bool) -> Vec<String> {
        let jobs = self.jobs.lock().expect("jobs");
        let wanted = jobs.iter().filter(|(_, facts)| is_wanted(facts));
        wanted.map(|(id, _)| id.clone()).collect()
    }

    fn newest_open_job(&self) -> Option<String> {
        let jobs = self.jobs.lock().expect("jobs");
        let mut newest = jobs.iter().rev();
        let open = newest.find(|(_, facts)| facts.is_open());
        open.map(|(id, _)| id.clone())
    }

    fn note_cancel_requested(&self, job: &str) {
        let mut jobs = self.jobs.lock().expect("jobs");
        if let Some(facts) = jobs.get_mut(job) {
            facts.cancel_requested = true;
        }
    }

    fn job_id(&self, number: u64) -> String {
        format!("run-{:06}", self.first_job + number)
    }

    fn new_job(&self, rng: &mut StdRng, kind: JobKind) -> String {
        let mut jobs = self.jobs.lock().expect("jobs");
        let id = self.job_id(jobs.len() as u64);
        let (form, tasks) = match kind {
            JobKind::Service => ("standing", rng.random_range(1..=MAX_SERVICE_TASKS)),
            JobKind::Batch => ("batch", rng.random_range(1..8)),
        };
        let tasks = tasks * self.job_factor;
        let mut body = submission(&id, form, tasks);
        if rng.random_bool(0.3) {
            body["Borrowed"] = Value::Bool(true);
            self.history.allow_spot(&id);
        }
        if kind == JobKind::Service {
            register_service(&id);
        }
        let facts = JobFacts {
            kind,
            tasks,
            body,
            is_accepted: false,
            cancel_requested: false,
            told_final: None,
        };
        jobs.insert(id.clone(), facts);
        id
    }

    fn facts(&self, job: &str) -> Option<JobFacts> {
        self.jobs.lock().expect("jobs").get(job).cloned()
    }

    /// Sends a request and repeats it, each time to any controller, until it has its answer.
    fn spawn(self: &Arc<Self>, rng: &mut StdRng, request: Request, end: Instant) {
        let mut rng = StdRng::seed_from_u64(rng.random());
        let users = self.clone();
        tokio::spawn(async move {
            while Instant::now() < end {
                let index = rng.random_range(0..users.deployment.user_addresses.len());
                if users.send(&request, index).await {
                    return;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
    }

    /// Sends a request to a controller; returns whether it got its answer.
    async fn send(&self, request: &Request, index: usize) -> bool {
        if let Request::Cancel(job) = request {
            self.note_cancel_requested(job);
        }
        let known = self.facts(request.job());
        let (method, path, body) = match request {
            Request::Submit(_) => {
                let body = known
                    .as_ref()
                    .map_or(Value::Null, |facts| facts.body.clone());
                let body = body.to_string().into_bytes();
                (Method::POST, "/v1/jobs".to_owned(), body)
            }
            Request::Poll(job) => (Method::GET, format!("/v1/jobs/{job}"), Vec::new()),
            Request::Cancel(job) => (Method::POST, format!("/v1/jobs/{job}/cancel"), Vec::new()),
        };
        let address = self.deployment.user_addresses[index];
        let call = self
            .client
            .call(method, address, &path, body, ANSWER_TIMEOUT);
        let Ok(answer) = call.await else {
            return false;
        };
        self.note_answer(request, known.as_ref(), &answer)
    }
}

/// Removes the moments that have come; returns how many there were.
fn take_due(moments: &mut Vec<Duration>, elapsed: Duration) -> usize {
    moments.extract_if(.., |at| *at <= elapsed).count()
}
