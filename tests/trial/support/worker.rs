//! A worker: it sends heartbeats to one controller at a time, and runs tasks by the clock.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use valegap::protocol::FencingToken;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::post;
use hyper::Method;
use tokio::net::TcpListener;
use valegap::protocol::TaskId;
use valegap::protocol::workers::{
    AttemptOutcome, Command, CommandBatch, HeartbeatResponse, Redirect, TaskState, TaskStatus,
    WorkerHeartbeat,
};
use valegap::transport::client::HttpClient;

const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long every task runs; services are cancelled before.
const RUN: Duration = Duration::from_millis(1500);

/// A gang's attempt: which of its tasks wait, and when the last of them did.
#[derive(Default)]
struct GangAttempt {
    waiting: BTreeSet<u32>,
    started: Option<Instant>,
}

/// The numbers of tasks of the gangs that users have uploaded, and the attempts to run them,
/// by which the tasks find one another.
static GANGS: Mutex<BTreeMap<String, u32>> = Mutex::new(BTreeMap::new());
static ATTEMPTS: Mutex<BTreeMap<(String, u64), GangAttempt>> = Mutex::new(BTreeMap::new());

/// Uploads the description of a gang.
pub(crate) fn upload_gang(job: &str, tasks: u32) {
    GANGS.lock().expect("gangs").insert(job.to_owned(), tasks);
}

/// A task of a gang is ready.
fn join(task: &TaskId, attempt: u64) {
    let size = GANGS.lock().expect("gangs").get(&*task.job).copied();
    if let Some(size) = size {
        let mut attempts = ATTEMPTS.lock().expect("attempts");
        let key = (task.job.to_string(), attempt);
        let gang = attempts.entry(key).or_default();
        gang.waiting.insert(task.index);
        if gang.waiting.len() as u32 == size {
            gang.started.get_or_insert(Instant::now());
        }
    }
}

/// Whether a task belongs to a gang, and when that has started.
enum GangStart {
    NotInGang,
    Waiting,
    At(Instant),
}

fn gang_start(task: &TaskId, attempt: u64) -> GangStart {
    let attempts = ATTEMPTS.lock().expect("attempts");
    match attempts.get(&(task.job.to_string(), attempt)) {
        None => GangStart::NotInGang,
        Some(gang) => gang.started.map_or(GangStart::Waiting, GangStart::At),
    }
}

struct Machine {
    id: String,
    spot: bool,
    addr: String,
    sequence: u64,
    fencing_token: FencingToken,
    /// By task and attempt number.
    tasks: BTreeMap<(TaskId, u64), RunningTask>,
}

struct RunningTask {
    launched_at: Instant,
    outcome: Option<AttemptOutcome>,
}

impl Machine {
    fn heartbeat(&mut self) -> WorkerHeartbeat {
        self.sequence += 1;
        for ((task, attempt), running) in &mut self.tasks {
            let started_at = match gang_start(task, *attempt) {
                GangStart::NotInGang => running.launched_at,
                GangStart::Waiting => continue,
                GangStart::At(at) => at,
            };
            if running.outcome.is_none() && started_at.elapsed() >= RUN {
                running.outcome = Some(AttemptOutcome::Done);
            }
        }
        WorkerHeartbeat {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            machine_type: "m4".into(),
            zone: "north".into(),
            spot: self.spot,
            agent_epoch: 1,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), running)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: match running.outcome {
                        Some(_) => TaskState::Ended,
                        None if matches!(gang_start(task, *attempt), GangStart::Waiting) => {
                            TaskState::Waiting
                        }
                        None => TaskState::Running,
                    },
                    outcome: running.outcome,
                })
                .collect(),
        }
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Launch { task, attempt } => {
                    join(&task, attempt);
                    let entry = self.tasks.entry((task, attempt));
                    entry.or_insert(RunningTask {
                        launched_at: Instant::now(),
                        outcome: None,
                    });
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some(running) = self.tasks.get_mut(&(task, attempt)) {
                        running.outcome.get_or_insert(AttemptOutcome::Stopped);
                    }
                }
                Command::Clear { task, attempt } => {
                    self.tasks.remove(&(task, attempt));
                }
            }
        }
    }
}

type Shared = Arc<Mutex<Machine>>;

async fn commands(State(machine): State<Shared>, Json(batch): Json<CommandBatch>) -> Response {
    let mut machine = machine.lock().expect("machine");
    let accepted = batch.fencing_token >= machine.fencing_token && batch.agent_epoch == 1;
    if accepted {
        machine.fencing_token = batch.fencing_token;
        machine.execute(batch.commands);
    }
    let status = if accepted {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    (status, Json(machine.heartbeat())).into_response()
}

/// Runs a worker until its machine is deleted.
pub(crate) async fn run(id: String, spot: bool, controllers: Arc<Vec<(String, SocketAddr)>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    let machine: Shared = Arc::new(Mutex::new(Machine {
        id,
        spot,
        addr,
        sequence: 0,
        fencing_token: FencingToken::default(),
        tasks: BTreeMap::new(),
    }));
    let router = Router::new()
        .route("/commands", post(commands))
        .with_state(machine.clone());
    let heartbeats = send_heartbeats(machine, controllers);
    tokio::select! {
        served = async { axum::serve(listener, router).await } => served.expect("serving"),
        () = heartbeats => {}
    }
}

async fn send_heartbeats(machine: Shared, controllers: Arc<Vec<(String, SocketAddr)>>) {
    let client = HttpClient::new();
    let mut at = 0;
    loop {
        let heartbeat = machine.lock().expect("machine").heartbeat();
        let body = serde_json::to_vec(&heartbeat).expect("a heartbeat");
        let answer = client
            .call(
                Method::POST,
                controllers[at].1,
                "/v1/report",
                body,
                Duration::from_secs(2),
            )
            .await;
        let mut next = (at + 1) % controllers.len();
        if let Ok(answer) = answer {
            if answer.status == StatusCode::OK {
                let answer: HeartbeatResponse =
                    serde_json::from_slice(&answer.body).expect("a heartbeat's answer");
                let mut machine = machine.lock().expect("machine");
                if answer.fencing_token >= machine.fencing_token {
                    machine.fencing_token = answer.fencing_token;
                    machine.execute(answer.commands);
                }
                next = at;
            } else if answer.status == StatusCode::MISDIRECTED_REQUEST {
                let redirect: Redirect = serde_json::from_slice(&answer.body).expect("a redirect");
                let named = redirect.leader.and_then(|leader| {
                    controllers
                        .iter()
                        .position(|(node_id, _)| *node_id == leader)
                });
                next = named.unwrap_or(next);
            }
        }
        at = next;
        tokio::time::sleep(HEARTBEAT).await;
    }
}
