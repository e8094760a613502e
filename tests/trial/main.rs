//! Three controllers on loopback against the stand-ins: they accept, run and
//! finish a job, and survive a kill of the one that runs the machines.

mod meetings;
mod support;
mod upgrade;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use valegap::transport::client::{Answer, HttpClient};

/// Long enough for any machine: a trial that needs it has failed.
const PATIENCE: Duration = Duration::from_secs(60);

struct Controller {
    settings: Value,
    node_id: String,
    front: SocketAddr,
    internal: SocketAddr,
    child: Child,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn start(settings: &Value, node_id: &str, front: SocketAddr, internal: SocketAddr) -> Controller {
    let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &format!("{node_id}.json")]
        .iter()
        .collect();
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    let child = Command::new(env!("CARGO_BIN_EXE_valegap"))
        .arg("--config")
        .arg(&path)
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    Controller {
        settings: settings.clone(),
        node_id: node_id.to_owned(),
        front,
        internal,
        child,
    }
}

/// Three controllers whose node ids begin so, which name their settings files.
async fn start_all(name: &str) -> Vec<Controller> {
    start_on(support::kv::Service::default(), name, 10.0).await
}

/// The same on a key-value store of the test's own; workers' leases last this long.
async fn start_on(
    service: support::kv::Service,
    name: &str,
    worker_lease_s: f64,
) -> Vec<Controller> {
    let node_ids = [0, 1, 2].map(|n| format!("{name}{n}"));
    let fronts: Vec<SocketAddr> = node_ids.iter().map(|_| free_addr()).collect();
    let internals: Vec<SocketAddr> = node_ids.iter().map(|_| free_addr()).collect();
    let state = support::serve(support::kv::routes(service)).await;
    let named = node_ids.iter().map(|l| l.to_string()).zip(fronts.clone());
    let cloud = support::serve(support::cloud::router(named.collect())).await;
    let mut controllers = Vec::new();
    for (at, node_id) in node_ids.iter().enumerate() {
        let others: Vec<Value> = node_ids
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at)
            .map(|(other, l)| json!({ "label": l, "area": "north", "address": internals[other] }))
            .collect();
        let settings = json!({
            "label": node_id, "area": "north", "front": fronts[at],
            "internal_addr": internals[at], "others": others,
            "services": { "cloud": cloud, "state": state },
            "settings": {
                "zones": ["north"],
                "teams": [{ "name": "red", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0 }],
                "objectives": [],
                "workers": { "report_s": 0.5, "lease_s": worker_lease_s,
                    "cancel_s": worker_lease_s * 2.0 },
                "state": { "rps": 1000, "write_rps": 500, "value_kb": 16, "txn_ops": 16 },
                "cloud": { "rps": 100, "list_lag_s": 0.5 },
                "resources": { "cpu": 1.0, "ram_mb": 200, "max_connections": 1000 },
                "skew_ms": 10,
            },
        });
        controllers.push(start(&settings, node_id, fronts[at], internals[at]));
    }
    controllers
}

async fn ask(
    client: &HttpClient,
    to: &Controller,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<Answer> {
    client
        .call(method, to.front, path, body, Duration::from_secs(3))
        .await
        .ok()
}

/// Repeats a request to one controller until it gets this status.
async fn insist(
    client: &HttpClient,
    to: &Controller,
    method: Method,
    path: &str,
    body: &Value,
    wanted: impl Fn(&Answer, &Value) -> bool,
) -> Value {
    let end = Instant::now() + PATIENCE;
    let mut last = None;
    while Instant::now() < end {
        let sent = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        if let Some(answer) = ask(client, to, method.clone(), path, sent).await {
            let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
            if wanted(&answer, &value) {
                return value;
            }
            last = Some((answer.status, value));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{path} at {}: last answer {last:?}", to.node_id);
}

fn job(id: &str, form: &str, tasks: u32) -> Value {
    json!({ "NameId": id, "Repertoire": "sums", "Section": "red", "Form": form,
        "Tempo": "standard", "Voices": tasks, "Cores": 1.0, "Accelerators": 0.0, "MemGb": 1.0,
        "Score": "img", "ImageGb": 0.1, "OneZone": false, "Scatter": false, "Borrowed": false,
        "DurationS": 1.5, "BreathS": 0.0, "FermataS": 0.0 })
}

/// Submits a job to one controller until it is accepted, or was before.
async fn submit(client: &HttpClient, to: &Controller, job: &Value) -> Value {
    insist(client, to, Method::POST, "/v1/jobs", job, accepted).await
}

/// Asks one controller for a job until it is in this stage.
async fn wait_for(client: &HttpClient, to: &Controller, id: &str, stage: &str) {
    let path = format!("/v1/jobs/{id}");
    let in_stage = |answer: &Answer, value: &Value| answer.status == 200 && value["Stage"] == stage;
    insist(client, to, Method::GET, &path, &Value::Null, in_stage).await;
}

fn accepted(answer: &Answer, _: &Value) -> bool {
    answer.status == 201 || answer.status == 200
}

/// The one that answers a heartbeat's address question: the shard's leader.
async fn leader(client: &HttpClient, controllers: &[Controller]) -> usize {
    let heartbeat = json!({ "Stand": "vm-none", "Addr": "", "Instrument": "m4", "Hall": "north",
        "Borrowed": false, "Rehearsal": 1, "Bar": 1, "Baton": 0, "CueS": null, "Voices": [] });
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        for (at, controller) in controllers.iter().enumerate() {
            let body = heartbeat.to_string().into_bytes();
            let answer = ask(client, controller, Method::POST, "/v1/report", body).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                return at;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no controller owns the shard");
}

/// Ends a controller's process and starts it again at once.
fn restart(controllers: &mut Vec<Controller>, at: usize) {
    let ended = controllers.remove(at);
    let (settings, node_id) = (ended.settings.clone(), ended.node_id.clone());
    let (front, internal) = (ended.front, ended.internal);
    drop(ended);
    controllers.insert(at, start(&settings, &node_id, front, internal));
}

/// Controllers hand over and back, end and return within a fraction of a second,
/// at last all of them at once: jobs go on, and what was told stays true.
#[tokio::test]
async fn controllers_that_return_within_a_second_lose_nothing() {
    let mut controllers = start_all("m").await;
    let client = HttpClient::new();
    for (n, to) in controllers.iter().enumerate() {
        submit(&client, to, &job(&format!("run-00000{n}"), "batch", 8)).await;
    }
    for _ in 0..3 {
        let owns = leader(&client, &controllers).await;
        restart(&mut controllers, owns);
        // In the middle of the election that follows, another one too.
        restart(&mut controllers, (owns + 1) % 3);
    }
    for at in 0..3 {
        restart(&mut controllers, at);
    }
    for n in 0..3 {
        for to in &controllers {
            wait_for(&client, to, &format!("run-00000{n}"), "done").await;
        }
    }
}

#[tokio::test]
async fn three_controllers_finish_jobs_and_survive_a_kill() {
    let mut controllers = start_all("n").await;
    let client = HttpClient::new();
    for controller in &controllers {
        let ready = |answer: &Answer, _: &Value| answer.status == 200;
        let null = &Value::Null;
        insist(&client, controller, Method::GET, "/ready", null, ready).await;
    }
    submit(&client, &controllers[0], &job("run-000001", "batch", 6)).await;
    wait_for(&client, &controllers[1], "run-000001", "done").await;

    // A gang whose tasks don't fit on one machine: it runs whole, or never ends.
    support::worker::upload_gang("run-000007", 6);
    submit(&client, &controllers[1], &job("run-000007", "group", 6)).await;
    wait_for(&client, &controllers[1], "run-000007", "done").await;

    // A second job, and then the leader dies in the middle of it.
    submit(&client, &controllers[2], &job("run-000002", "batch", 12)).await;
    let dead = leader(&client, &controllers).await;
    let page = client
        .call(
            Method::GET,
            controllers[dead].internal,
            "/status",
            Vec::new(),
            Duration::from_secs(3),
        )
        .await
        .expect("a status page");
    let page = String::from_utf8_lossy(&page.body).into_owned();
    for part in ["fencing token ", "machines", "writes:", "p99"] {
        assert!(page.contains(part), "no {part:?} in {page}");
    }
    drop(controllers.remove(dead));
    for controller in &controllers {
        wait_for(&client, controller, "run-000002", "done").await;
        // What was told before the kill still holds.
        wait_for(&client, controller, "run-000001", "done").await;
    }

    // Cancelled stays cancelled, and strangers are unknown.
    submit(&client, &controllers[0], &job("run-000003", "batch", 2)).await;
    let path = "/v1/jobs/run-000003/cancel";
    let over = |answer: &Answer, value: &Value| {
        answer.status == 200 && (value["Stage"] == "cancelled" || value["Stage"] == "done")
    };
    let null = &Value::Null;
    let told = insist(&client, &controllers[0], Method::POST, path, null, over).await;
    let again = insist(&client, &controllers[1], Method::POST, path, null, over).await;
    assert_eq!(told["Stage"], again["Stage"]);
    let unknown = ask(
        &client,
        &controllers[0],
        Method::GET,
        "/v1/jobs/run-999999",
        Vec::new(),
    );
    assert_eq!(
        unknown.await.map(|answer| answer.status.as_u16()),
        Some(404)
    );
    let bad = ask(
        &client,
        &controllers[0],
        Method::POST,
        "/v1/jobs",
        b"{}".to_vec(),
    )
    .await;
    assert_eq!(bad.map(|answer| answer.status.as_u16()), Some(400));
}
