//! A worker: reports to one controller at a time, runs tasks by the clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::post;
use hyper::Method;
use tokio::net::TcpListener;
use valegap::protocol::TaskId;
use valegap::protocol::workers::{
    Command, CommandBatch, Ending, Redirect, Report, ReportAnswer, TaskReport, TaskState,
};
use valegap::transport::client::HttpClient;

const REPORT: Duration = Duration::from_millis(500);
/// How long every task runs; services in the trial are cancelled.
const RUN: Duration = Duration::from_millis(1500);

struct Machine {
    id: String,
    spot: bool,
    addr: String,
    seq: u64,
    term: u64,
    tasks: BTreeMap<(TaskId, u64), (Instant, Option<Ending>)>,
}

impl Machine {
    fn report(&mut self) -> Report {
        self.seq += 1;
        for (started, ending) in self.tasks.values_mut() {
            if ending.is_none() && started.elapsed() >= RUN {
                *ending = Some(Ending::Done);
            }
        }
        Report {
            machine: self.id.clone(),
            addr: self.addr.clone(),
            machine_type: "m4".into(),
            zone: "north".into(),
            spot: self.spot,
            session: 1,
            seq: self.seq,
            term: self.term,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), (_, ending))| TaskReport {
                    task: task.clone(),
                    attempt: *attempt,
                    state: match ending {
                        Some(_) => TaskState::Ended,
                        None => TaskState::Running,
                    },
                    ending: *ending,
                })
                .collect(),
        }
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Launch { task, attempt } => {
                    let entry = self.tasks.entry((task, attempt));
                    entry.or_insert((Instant::now(), None));
                }
                Command::Stop { task, attempt, .. } => {
                    if let Some((_, ending)) = self.tasks.get_mut(&(task, attempt)) {
                        ending.get_or_insert(Ending::Stopped);
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
    let taken = batch.term >= machine.term && batch.session == 1;
    if taken {
        machine.term = batch.term;
        machine.execute(batch.commands);
    }
    let status = if taken {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    (status, Json(machine.report())).into_response()
}

/// Runs a worker until its machine is deleted.
pub async fn run(id: String, spot: bool, controllers: Arc<Vec<(String, SocketAddr)>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    let machine: Shared = Arc::new(Mutex::new(Machine {
        id,
        spot,
        addr,
        seq: 0,
        term: 0,
        tasks: BTreeMap::new(),
    }));
    let router = Router::new()
        .route("/commands", post(commands))
        .with_state(machine.clone());
    let reports = report_for_ever(machine, controllers);
    tokio::select! {
        served = async { axum::serve(listener, router).await } => served.expect("serving"),
        () = reports => {}
    }
}

async fn report_for_ever(machine: Shared, controllers: Arc<Vec<(String, SocketAddr)>>) {
    let client = HttpClient::new();
    let mut at = 0;
    loop {
        let report = machine.lock().expect("machine").report();
        let body = serde_json::to_vec(&report).expect("a report");
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
                let answer: ReportAnswer =
                    serde_json::from_slice(&answer.body).expect("a report's answer");
                let mut machine = machine.lock().expect("machine");
                if answer.term >= machine.term {
                    machine.term = answer.term;
                    machine.execute(answer.commands);
                }
                next = at;
            } else if answer.status == StatusCode::MISDIRECTED_REQUEST {
                let redirect: Redirect = serde_json::from_slice(&answer.body).expect("a redirect");
                let named = redirect
                    .owner
                    .and_then(|owner| controllers.iter().position(|(label, _)| *label == owner));
                next = named.unwrap_or(next);
            }
        }
        at = next;
        tokio::time::sleep(REPORT).await;
    }
}
