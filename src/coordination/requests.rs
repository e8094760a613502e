//! What users ask, answered from the key-value store and the leader's memory.
//!
//! Final states and "never accepted" are told only from a read of the store;
//! the leader's memory adds what lies between.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tracing::debug;

use super::node::Node;
use super::peering;
use super::shard::{Policy, TaskCounts};
use crate::protocol::cloud::MachineType;
use crate::protocol::kv::{KeyValue, Mutation, Transaction};
use crate::protocol::peers::{PeerAnswer, PeerRequest};
use crate::protocol::users::{JobKind, JobSpec, JobView, Stage, parse_submission, valid_job_id};
use crate::settings::platform::Peer;
use crate::storage::job_index::JobStatus;
use crate::storage::kv_client::{KvError, Refusal, TransactionOutcome, backoff};
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord};
use crate::storage::{job_transition, keys};

/// Deadline of one request to the key-value store on a user's behalf.
const STORE: Duration = Duration::from_millis(1500);
/// After this long without the store's answer, a peer is asked as well.
const HEDGE: Duration = Duration::from_millis(80);
/// The same for polls, which wait for a look that answers many.
const POLL_HEDGE: Duration = Duration::from_millis(600);
/// Deadline of a request handed to a peer.
const FORWARD: Duration = Duration::from_millis(900);
/// Tries after a 429, which only means that others are being served.
const BUSY_TRIES: u32 = 4;

/// An answer for a user.
#[derive(Debug, Clone, PartialEq)]
pub struct UserResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body, in JSON.
    pub body: Vec<u8>,
}

impl UserResponse {
    fn json(status: u16, value: &impl serde::Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    fn view(status: u16, view: &JobView) -> Self {
        Self::json(status, view)
    }

    /// A job's stage alone, without the counts of its tasks.
    fn stage(status: u16, id: &str, stage: Stage) -> Self {
        let view = JobView {
            id: id.to_owned(),
            stage,
            done: None,
            running: None,
        };
        Self::view(status, &view)
    }

    /// The service can't take or answer this now; come back soon.
    pub fn unavailable(why: &str) -> Self {
        Self::json(503, &json!({ "error": why }))
    }

    /// The answer for a job that nobody submitted.
    pub fn not_found() -> Self {
        Self::json(404, &json!({ "error": "no such job" }))
    }

    /// The answer to a malformed request, with the field at fault.
    pub fn malformed(why: &str, field: Option<&str>) -> Self {
        Self::json(400, &json!({ "error": why, "field": field }))
    }

    fn impossible(why: &str, field: &str) -> Self {
        Self::json(422, &json!({ "error": why, "field": field }))
    }
}

/// What is asked of a job.
#[derive(Debug, Clone, PartialEq)]
pub enum UserRequest {
    /// A submission, with its body.
    Submit(Vec<u8>),
    /// A question for a job's state.
    Poll(String),
    /// A cancellation.
    Cancel(String),
}

impl UserRequest {
    /// Reads a request that a peer forwards.
    pub fn from_forward(method: &str, path: &str, body: Vec<u8>) -> Option<Self> {
        match (method, path.strip_prefix("/v1/jobs")?) {
            ("POST", "") => Some(Self::Submit(body)),
            ("GET", rest) => Some(Self::Poll(rest.strip_prefix('/')?.to_owned())),
            ("POST", rest) => {
                let id = rest.strip_prefix('/')?.strip_suffix("/cancel")?;
                Some(Self::Cancel(id.to_owned()))
            }
            _ => None,
        }
    }

    fn to_forward(&self) -> PeerRequest {
        let (method, path, body) = match self {
            Self::Submit(body) => ("POST", "/v1/jobs".to_owned(), body.clone()),
            Self::Poll(id) => ("GET", format!("/v1/jobs/{id}"), Vec::new()),
            Self::Cancel(id) => ("POST", format!("/v1/jobs/{id}/cancel"), Vec::new()),
        };
        PeerRequest::Forward {
            method: method.to_owned(),
            path,
            body,
        }
    }
}

/// Answers a user's request; `forwarded` ones are not handed on again.
pub async fn answer(node: &Arc<Node>, ask: UserRequest, forwarded: bool) -> UserResponse {
    // What is wrong in itself is refused wherever it arrives.
    let submission = match &ask {
        UserRequest::Submit(body) => match parse_submission(body) {
            Ok((id, spec)) => Some((id, spec)),
            Err(error) => return UserResponse::malformed(&error.to_string(), error.field()),
        },
        UserRequest::Poll(id) | UserRequest::Cancel(id) if !valid_job_id(id) => {
            return UserResponse::not_found();
        }
        _ => None,
    };
    if !forwarded {
        // Final states are the same for ever.
        if let UserRequest::Poll(id) = &ask
            && let Some((stage, tasks)) = node.job_index.final_state(id)
        {
            return UserResponse::view(200, &final_view(id, stage, tasks));
        }
        if node.kv_lost() && node.peer_served() {
            return forward_to_peers(node, &ask).await;
        }
        if node.kv_lost() && node.is_isolated() {
            return UserResponse::unavailable("this controller is cut off");
        }
    }
    let own = async {
        match (&ask, submission) {
            (UserRequest::Submit(_), Some((id, spec))) => submit(node, &id, spec).await,
            (UserRequest::Poll(id), _) => poll(node, id).await,
            (UserRequest::Cancel(id), _) => cancel(node, id).await,
            (UserRequest::Submit(_), None) => Ok(UserResponse::malformed("not a submission", None)),
        }
    };
    if forwarded {
        return own.await.unwrap_or_else(|error| unanswered(&error));
    }
    tokio::pin!(own);
    // All of these can be asked twice: whoever answers first will do.
    let hedge = async {
        tokio::time::sleep(match ask {
            UserRequest::Poll(_) => POLL_HEDGE,
            UserRequest::Submit(_) | UserRequest::Cancel(_) => HEDGE,
        })
        .await;
        // Others are as busy; what waits for its turn here has it soonest here.
        while node.user_writes.queue(node.now()) > Duration::ZERO {
            tokio::time::sleep(HEDGE).await;
        }
        forward_to_peers(node, &ask).await
    };
    tokio::pin!(hedge);
    tokio::select! {
        result = &mut own => match result {
            Ok(reply) => reply,
            Err(error) => {
                let reply = forward_to_peers(node, &ask).await;
                if reply.status == 503 { unanswered(&error) } else { reply }
            }
        },
        reply = &mut hedge => {
            if reply.status != 503 {
                return reply;
            }
            own.await.unwrap_or_else(|error| unanswered(&error))
        }
    }
}

fn unanswered(error: &KvError) -> UserResponse {
    debug!(%error, "a user's request can't be answered from the store");
    UserResponse::unavailable("the state service does not answer")
}

/// Hands a request to the peers that the key-value store serves, one by one.
async fn forward_to_peers(node: &Arc<Node>, ask: &UserRequest) -> UserResponse {
    let served: Vec<Peer> = {
        let now = node.now();
        let inner = node.lock();
        node.settings
            .platform
            .others
            .iter()
            .filter(|peer| {
                inner.peers.views.get(&peer.node_id).is_some_and(|view| {
                    view.heartbeat.kv_served
                        && now.saturating_duration_since(view.at) < Duration::from_secs(3)
                })
            })
            .cloned()
            .collect()
    };
    for peer in served {
        if let Some(reply) = forward(node, &peer, ask).await {
            return reply;
        }
    }
    UserResponse::unavailable("the state service does not answer")
}

async fn forward(node: &Arc<Node>, peer: &Peer, ask: &UserRequest) -> Option<UserResponse> {
    match peering::ask(node, peer, &ask.to_forward(), FORWARD).await? {
        PeerAnswer::Answer { status, body } if status != 503 => Some(UserResponse { status, body }),
        _ => None,
    }
}

fn view(id: &str, stage: Stage, counts: TaskCounts) -> JobView {
    JobView {
        id: id.to_owned(),
        stage,
        done: Some(counts.done),
        running: Some(counts.running),
    }
}

/// Tries again while the store is merely busy.
async fn patient<T, F: Future<Output = Result<T, KvError>>>(
    mut call: impl FnMut() -> F,
) -> Result<T, KvError> {
    let mut attempt = 0;
    loop {
        match call().await {
            Err(KvError::Refused(Refusal::RateLimited)) if attempt < BUSY_TRIES => {
                attempt += 1;
                tokio::time::sleep(backoff(attempt)).await;
            }
            result => return result,
        }
    }
}

/// Writes for a user in turn; who would wait for too long is told to come back.
async fn user_write(node: &Node, txn: &Transaction) -> Result<TransactionOutcome, KvError> {
    let Some(wait) = node.user_writes.take(node.now()) else {
        return Err(KvError::Refused(Refusal::LocalRateLimit));
    };
    tokio::time::sleep(wait).await;
    patient(|| node.kv.txn(txn, STORE)).await
}

async fn submit(node: &Arc<Node>, id: &str, spec: JobSpec) -> Result<UserResponse, KvError> {
    let types = node.lock().types.clone();
    let Some(types) = types else {
        return Ok(UserResponse::unavailable(
            "the machine types are not known yet",
        ));
    };
    if let Some(reply) = never_runs(&node.policy, &types, &spec) {
        return Ok(reply);
    }
    let record = JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: node.clock.wall_ms(),
        spec,
    };
    let value = serde_json::to_value(&record).map_err(|e| KvError::Unexpected(e.to_string()))?;
    let most = node.value_bytes();
    if value.to_string().len() > most {
        // It may have been accepted while the limits were larger.
        let known = poll(node, id).await?;
        return Ok(if known.status == 404 {
            UserResponse::impossible(
                "the job's description is too long to be kept",
                "Instruments",
            )
        } else {
            known
        });
    }
    let txn = Transaction::default()
        .guard(keys::job(id), 0)
        .guard(keys::final_job(id), 0)
        .change(Mutation::put(keys::job(id), value));
    match user_write(node, &txn).await? {
        TransactionOutcome::Committed { revision } => {
            if let Some(lease) = node.lease() {
                node.with_shard(&lease, "jobs", |shard, now| {
                    node.notify_job_accepted(shard, id, revision, record, now)
                });
            }
            Ok(UserResponse::stage(201, id, Stage::Pending))
        }
        TransactionOutcome::Conflict => poll(node, id).await,
    }
}

/// Whether a job can never run, and why.
fn never_runs(policy: &Policy, types: &[MachineType], spec: &JobSpec) -> Option<UserResponse> {
    let Some(team) = policy.teams.get(&spec.team) else {
        return Some(UserResponse::impossible("unknown team", "Section"));
    };
    let fits = types.iter().any(|kind| {
        spec.machine_types
            .as_ref()
            .is_none_or(|types| types.contains(&kind.name))
            && spec
                .zone
                .as_ref()
                .is_none_or(|zone| kind.zones.contains(zone))
            && kind.cores >= spec.cores
            && kind.accelerators >= spec.accelerators
            && kind.mem_gb >= spec.mem_gb
    });
    if !fits {
        return Some(UserResponse::impossible(
            "a task fits no allowed machine type",
            "Instruments",
        ));
    }
    let at_once = match spec.kind {
        JobKind::Batch => 1.0,
        JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
    };
    let over = |need: f64, most: f64| most > 0.0 && need * at_once > most + 1e-9;
    if over(spec.cores, team.cores_max) {
        return Some(UserResponse::impossible(
            "more than the team's limit",
            "Cores",
        ));
    }
    if over(spec.accelerators, team.accelerators_max) {
        return Some(UserResponse::impossible(
            "more than the team's limit",
            "Accelerators",
        ));
    }
    None
}

async fn read(node: &Node, key: &str) -> Result<Option<KeyValue>, KvError> {
    patient(|| node.kv.get(key, STORE)).await
}

/// Reads a job's final record, and notes what it says before anybody is told.
async fn read_final(node: &Arc<Node>, id: &str) -> Result<Option<FinalRecord>, KvError> {
    let Some(item) = read(node, &keys::final_job(id)).await? else {
        return Ok(None);
    };
    let last: FinalRecord =
        serde_json::from_value(item.value).map_err(|e| KvError::Unexpected(e.to_string()))?;
    node.job_index.record_final(id, &last, item.mod_revision);
    node.notify_finished_jobs();
    Ok(Some(last))
}

/// Looks for the job among the unfinished ones first: a job moves from there to
/// its final record and never back, so that finding neither means it never was.
async fn poll(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    patient(|| node.catch_up()).await?;
    match node.job_index.find(id) {
        JobStatus::Open => {
            let counts = progress(node, id);
            let stage = if counts.running > 0 {
                Stage::Running
            } else {
                Stage::Pending
            };
            Ok(UserResponse::view(200, &view(id, stage, counts)))
        }
        JobStatus::Finished(stage, tasks) => {
            Ok(UserResponse::view(200, &final_view(id, stage, tasks)))
        }
        JobStatus::Unknown => Ok(match read_final(node, id).await? {
            Some(last) => UserResponse::view(200, &final_view(id, last.stage, last.tasks)),
            None => UserResponse::not_found(),
        }),
    }
}

/// The counts of a job's tasks: from the shard, or as its leader last
/// said.
fn progress(node: &Arc<Node>, id: &str) -> TaskCounts {
    let inner = node.lock();
    let seen = match &inner.leadership {
        Some(own) => own.shard.view(id),
        None => inner.peers.progress.get(id).copied(),
    };
    seen.unwrap_or_default()
}

fn final_view(id: &str, stage: Stage, tasks: u32) -> JobView {
    let done = if stage == Stage::Done { tasks } else { 0 };
    view(id, stage, TaskCounts { done, running: 0 })
}

async fn cancel(node: &Arc<Node>, id: &str) -> Result<UserResponse, KvError> {
    let mut attempt = 0;
    loop {
        let Some(item) = read(node, &keys::job(id)).await? else {
            return Ok(match read_final(node, id).await? {
                Some(last) => UserResponse::stage(200, id, last.stage),
                None => UserResponse::not_found(),
            });
        };
        let record: JobRecord =
            serde_json::from_value(item.value).map_err(|e| KvError::Unexpected(e.to_string()))?;
        let most = node.value_bytes();
        let last = FinalRecord::new(Stage::Cancelled, record.spec).within(most);
        let txn = job_transition::finish_job(id, item.mod_revision, &last)
            .map_err(|e| KvError::Unexpected(e.to_string()))?;
        match user_write(node, &txn).await? {
            TransactionOutcome::Committed { revision } => {
                node.job_index.record_final(id, &last, revision);
                node.notify_finished_jobs();
                return Ok(UserResponse::stage(200, id, Stage::Cancelled));
            }
            TransactionOutcome::Conflict => {
                attempt += 1;
                if attempt > 5 {
                    return Err(KvError::Refused(Refusal::TooManyConflicts));
                }
            }
        }
    }
}
