//! Three controllers as processes, against the simulated cloud and key-value store, and a
//! client of their user API.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use valegap::transport::client::{Answer, HttpClient};

use super::kv::KvStore;
use crate::settings::{ControllerSettings, Peer};
use crate::support;

/// How long a test waits for anything: long enough for a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);
/// The pause between two tries of a request.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Lines of a controller's log that a failed test shows.
const LOG_LINES_SHOWN: usize = 30;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const WORKER_LEASE_S: f64 = 10.0;
const CLOCK_SKEW_MS: f64 = 10.0;

/// A controller's process; it is killed when this is dropped.
pub(crate) struct Controller {
    settings: ControllerSettings,
    process: Child,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Controller {
    /// Starts a process; its node id names its settings file.
    fn start(settings: ControllerSettings) -> Self {
        let file = format!("{}.json", settings.node_id);
        let path: PathBuf = [env!("CARGO_TARGET_TMPDIR"), &file].iter().collect();
        std::fs::write(&path, settings.to_json().to_string()).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_path(&settings.node_id))
            .expect("a log file");
        let process = Command::new(env!("CARGO_BIN_EXE_valegap"))
            .arg("--config")
            .arg(&path)
            .stderr(log)
            .spawn()
            .expect("the program starts");
        Self { settings, process }
    }
}

pub(crate) struct Cluster {
    controllers: Vec<Controller>,
    client: HttpClient,
}

impl Cluster {
    /// Three controllers whose node ids begin with this name.
    pub(crate) async fn start(name: &str) -> Self {
        Self::start_on(KvStore::default(), name, WORKER_LEASE_S).await
    }

    /// The same on a key-value store of the test's own, with workers' leases that last
    /// this long.
    pub(crate) async fn start_on(store: KvStore, name: &str, worker_lease_s: f64) -> Self {
        let node_ids = [0, 1, 2].map(|n| format!("{name}{n}"));
        let fronts = [0, 1, 2].map(|_| unused_address());
        let peers: Vec<Peer> = node_ids
            .iter()
            .map(|node_id| Peer {
                node_id: node_id.clone(),
                internal: unused_address(),
            })
            .collect();
        for node_id in &node_ids {
            let _ = std::fs::remove_file(log_path(node_id));
        }
        let kv = support::serve(support::kv::routes(store)).await;
        let named = node_ids.iter().cloned().zip(fronts);
        let cloud = support::serve(support::cloud::router(named.collect())).await;
        let settings = |at: usize| ControllerSettings {
            front: fronts[at],
            internal: peers[at].internal,
            peers: peers
                .iter()
                .filter(|peer| peer.node_id != node_ids[at])
                .cloned()
                .collect(),
            cloud,
            kv,
            worker_lease_s,
            clock_skew_ms: CLOCK_SKEW_MS,
            ..ControllerSettings::new(&node_ids[at])
        };
        Self {
            controllers: (0..3).map(|at| Controller::start(settings(at))).collect(),
            client: HttpClient::new(),
        }
    }

    /// How many controllers there are.
    pub(crate) fn size(&self) -> usize {
        self.controllers.len()
    }

    /// Kills a controller for good; the ones after it move up.
    pub(crate) fn kill(&mut self, at: usize) {
        drop(self.controllers.remove(at));
    }

    /// Kills a controller and starts it again at once.
    pub(crate) fn restart(&mut self, at: usize) {
        let killed = self.controllers.remove(at);
        let settings = killed.settings.clone();
        drop(killed);
        self.controllers.insert(at, Controller::start(settings));
    }

    /// The shard's leader: the one that answers heartbeats.
    pub(crate) async fn leader(&self) -> usize {
        let heartbeat = json!({ "Stand": "vm-none", "Addr": "", "Instrument": "m4",
            "Hall": "north", "Borrowed": false, "Rehearsal": 1, "Bar": 1, "Baton": 0,
            "CueS": null, "Voices": [] });
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            for at in 0..self.size() {
                let body = heartbeat.to_string().into_bytes();
                let answer = self.request(at, Method::POST, "/v1/report", body).await;
                if answer.is_some_and(|answer| answer.status == 200) {
                    return at;
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        panic!("no controller leads the shard");
    }

    /// The operators' status page of a controller.
    pub(crate) async fn status_page(&self, at: usize) -> String {
        let internal = self.controllers[at].settings.internal;
        let page = self
            .client
            .call(
                Method::GET,
                internal,
                "/status",
                Vec::new(),
                REQUEST_TIMEOUT,
            )
            .await
            .expect("a status page");
        String::from_utf8_lossy(&page.body).into_owned()
    }

    /// Sends one request to the user API of a controller.
    pub(crate) async fn request(
        &self,
        at: usize,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<Answer> {
        let front = self.controllers[at].settings.front;
        let call = self.client.call(method, front, path, body, REQUEST_TIMEOUT);
        call.await.ok()
    }

    /// Repeats a request to one controller until its answer is as wanted; returns the
    /// answer's body.
    pub(crate) async fn retry(
        &self,
        at: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
        wanted: impl Fn(&Answer, &Value) -> bool,
    ) -> Value {
        let body = body.map_or(Vec::new(), |body| body.to_string().into_bytes());
        let end = Instant::now() + PATIENCE;
        let mut last = None;
        while Instant::now() < end {
            let answer = self.request(at, method.clone(), path, body.clone()).await;
            if let Some(answer) = answer {
                let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                if wanted(&answer, &value) {
                    return value;
                }
                last = Some((answer.status, value));
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        let node_id = &self.controllers[at].settings.node_id;
        panic!(
            "{path} at {node_id}: last answer {last:?}; its log ends with:\n{}",
            last_log_lines(node_id)
        );
    }

    /// Waits until a controller is ready to serve.
    pub(crate) async fn wait_until_ready(&self, at: usize) {
        let ready = |answer: &Answer, _: &Value| answer.status == 200;
        self.retry(at, Method::GET, "/ready", None, ready).await;
    }

    /// Submits a job to one controller until it is accepted, or was before.
    pub(crate) async fn submit(&self, at: usize, job: &Value) -> Value {
        let accepted = |answer: &Answer, _: &Value| answer.status == 201 || answer.status == 200;
        self.retry(at, Method::POST, "/v1/jobs", Some(job), accepted)
            .await
    }

    /// Cancels a job at one controller until it is cancelled or done; returns its stage.
    pub(crate) async fn cancel(&self, at: usize, id: &str) -> Value {
        let path = format!("/v1/jobs/{id}/cancel");
        let finished = |answer: &Answer, value: &Value| {
            answer.status == 200 && (value["Stage"] == "cancelled" || value["Stage"] == "done")
        };
        let answer = self.retry(at, Method::POST, &path, None, finished).await;
        answer["Stage"].clone()
    }

    /// Polls a job at one controller until it is in this stage.
    pub(crate) async fn wait_for_stage(&self, at: usize, id: &str, stage: &str) {
        let path = format!("/v1/jobs/{id}");
        let in_stage =
            |answer: &Answer, value: &Value| answer.status == 200 && value["Stage"] == stage;
        self.retry(at, Method::GET, &path, None, in_stage).await;
    }
}

/// Ports that the system gives to no outgoing connection: another test's connection could take
/// a port of the usual range between this choice and the start, or restart, of the process.
const PORTS: std::ops::Range<u16> = 10_000..30_000;

/// An address on which nothing listens. Each is handed out once in this run.
fn unused_address() -> SocketAddr {
    static HANDED_OUT: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut handed_out = HANDED_OUT.lock().expect("ports");
    loop {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORTS)));
        if handed_out.insert(address.port()) && TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The end of a controller's log.
fn last_log_lines(node_id: &str) -> String {
    let log = std::fs::read_to_string(log_path(node_id)).unwrap_or_default();
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join("\n")
}

fn log_path(node_id: &str) -> PathBuf {
    [env!("CARGO_TARGET_TMPDIR"), &format!("{node_id}.log")]
        .iter()
        .collect()
}

/// A submission of a job, as its user sends it.
pub(crate) fn submission(id: &str, kind: &str, tasks: u32) -> Value {
    json!({ "NameId": id, "Repertoire": "sums", "Section": "red", "Form": kind,
        "Tempo": "standard", "Voices": tasks, "Cores": 1.0, "Accelerators": 0.0, "MemGb": 1.0,
        "Score": "img", "ImageGb": 0.1, "OneZone": false, "Scatter": false, "Borrowed": false,
        "DurationS": 1.5, "BreathS": 0.0, "FermataS": 0.0 })
}
