//! A cluster of three controller processes, which use the simulated cloud and key-value store, and
//! a client of their user API.

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
use super::worker::WorkerSettings;
use crate::settings::{ControllerSettings, Peer};
use crate::support;

/// How long a test waits for a state of the cluster before it fails: long enough on a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The pause between two tries of a request.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How many of the last lines of a controller's log a failed test shows.
const LOG_LINES_SHOWN: usize = 30;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
const WORKER_LEASE_S: f64 = 10.0;
const CLOCK_SKEW_MS: f64 = 10.0;
/// How many machines can be rented at the same time.
const MAX_RENTED_MACHINES: usize = 4;

/// A controller's process. Dropping this value kills the process.
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
    /// Writes the settings file, named after the node id, and starts the controller's process with
    /// it.
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
    /// Starts three controllers, whose node ids are this prefix and a number from 0 to 2.
    pub(crate) async fn start(node_id_prefix: &str) -> Self {
        Self::start_on(KvStore::default(), node_id_prefix, WORKER_LEASE_S).await
    }

    /// Starts three controllers that use the key-value store of the caller, and grant workers'
    /// leases of `worker_lease_s` seconds.
    pub(crate) async fn start_on(
        store: KvStore,
        node_id_prefix: &str,
        worker_lease_s: f64,
    ) -> Self {
        claim_prefix(node_id_prefix);
        let node_ids = [0, 1, 2].map(|n| format!("{node_id_prefix}{n}"));
        let public_addresses = [0, 1, 2].map(|_| unused_address());
        let peers: Vec<Peer> = node_ids
            .iter()
            .map(|node_id| Peer {
                node_id: node_id.clone(),
                internal_address: unused_address(),
            })
            .collect();
        node_ids.iter().for_each(|node_id| remove_log(node_id));
        let mut kv = Vec::new();
        for index in 0..node_ids.len() {
            kv.push(support::serve(support::kv::routes_for(store.clone(), index)).await);
        }
        let controllers = node_ids.iter().cloned().zip(public_addresses).collect();
        let lease = Duration::from_secs_f64(worker_lease_s);
        let workers = WorkerSettings::new(controllers, lease);
        let cloud = support::cloud::router(vec![workers], MAX_RENTED_MACHINES);
        let cloud = support::serve(cloud).await;
        let settings = |index: usize| ControllerSettings {
            public_address: public_addresses[index],
            internal_address: peers[index].internal_address,
            peers: peers
                .iter()
                .filter(|peer| peer.node_id != node_ids[index])
                .cloned()
                .collect(),
            cloud,
            kv: kv[index],
            worker_lease_s,
            max_cancellation_s: worker_lease_s * 2.0,
            clock_skew_ms: CLOCK_SKEW_MS,
            ..ControllerSettings::new(&node_ids[index])
        };
        Self::start_with((0..3).map(settings).collect())
    }

    /// Starts a controller with each of these settings.
    pub(crate) fn start_with(settings: Vec<ControllerSettings>) -> Self {
        Self {
            controllers: settings.into_iter().map(Controller::start).collect(),
            client: HttpClient::new(),
        }
    }

    /// The id of a controller's process; `None` if the process has ended.
    pub(crate) fn running_process(&mut self, index: usize) -> Option<u32> {
        let process = &mut self.controllers[index].process;
        let has_ended = !matches!(process.try_wait(), Ok(None));
        (!has_ended).then(|| process.id())
    }

    /// The log of a controller, of all its processes.
    pub(crate) fn log_of(&self, index: usize) -> String {
        let node_id = &self.controllers[index].settings.node_id;
        std::fs::read_to_string(log_path(node_id)).unwrap_or_default()
    }

    /// Kills a controller. [`Self::start_again`] starts it again.
    pub(crate) fn stop(&mut self, index: usize) {
        let process = &mut self.controllers[index].process;
        let _ = process.kill();
        let _ = process.wait();
    }

    /// Starts a stopped controller with the same settings.
    pub(crate) fn start_again(&mut self, index: usize) {
        let settings = self.controllers[index].settings.clone();
        self.controllers[index] = Controller::start(settings);
    }

    /// The number of running controllers.
    pub(crate) fn size(&self) -> usize {
        self.controllers.len()
    }

    /// Kills a controller and doesn't start it again. The indexes of the controllers after it
    /// decrease by one.
    pub(crate) fn kill(&mut self, index: usize) {
        drop(self.controllers.remove(index));
    }

    /// Kills a controller and starts it again immediately, with the same settings.
    pub(crate) fn restart(&mut self, index: usize) {
        let killed = self.controllers.remove(index);
        let settings = killed.settings.clone();
        drop(killed);
        self.controllers.insert(index, Controller::start(settings));
    }

    /// Waits until the shard has a leader; returns the leader's index, by the controllers' status pages.
    /// A heartbeat would tell as well, but its machine would count as one that the leader no longer
    /// reaches.
    pub(crate) async fn leader(&self) -> usize {
        let end = Instant::now() + MAX_WAIT;
        while Instant::now() < end {
            for index in 0..self.size() {
                let page = self.request_status_page(index).await;
                if page.is_some_and(|page| page.contains("before its deadline")) {
                    return index;
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        panic!("no controller leads the shard");
    }

    /// The status page that a controller serves to operators.
    pub(crate) async fn status_page(&self, index: usize) -> String {
        let page = self.request_status_page(index).await;
        page.expect("a status page")
    }

    /// The same; `None` if the controller doesn't answer.
    async fn request_status_page(&self, index: usize) -> Option<String> {
        let internal_address = self.controllers[index].settings.internal_address;
        let call = self.client.call(
            Method::GET,
            internal_address,
            "/status",
            Vec::new(),
            REQUEST_TIMEOUT,
        );
        let answer = call.await.ok()?;
        Some(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Sends one request to the public address of a controller; `None` if no answer arrives in
    /// time.
    pub(crate) async fn request(
        &self,
        index: usize,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<Answer> {
        let public_address = self.controllers[index].settings.public_address;
        let call = self
            .client
            .call(method, public_address, path, body, REQUEST_TIMEOUT);
        call.await.ok()
    }

    /// Repeats a request to one controller until `is_wanted` accepts an answer; returns that
    /// answer's body.
    pub(crate) async fn retry_until(
        &self,
        index: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
        is_wanted: impl Fn(&Answer, &Value) -> bool,
    ) -> Value {
        let body = body.map_or(Vec::new(), |body| body.to_string().into_bytes());
        let end = Instant::now() + MAX_WAIT;
        let mut last_answer = None;
        while Instant::now() < end {
            let answer = self
                .request(index, method.clone(), path, body.clone())
                .await;
            if let Some(answer) = answer {
                let value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
                if is_wanted(&answer, &value) {
                    return value;
                }
                last_answer = Some((answer.status, value));
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        let node_id = &self.controllers[index].settings.node_id;
        panic!(
            "{path} at {node_id}: last answer {last_answer:?}; its log ends with:\n{}",
            last_log_lines(node_id)
        );
    }

    /// Waits until a controller reports that it is ready to serve.
    pub(crate) async fn wait_until_ready(&self, index: usize) {
        let is_ready = |answer: &Answer, _: &Value| answer.status == 200;
        self.retry_until(index, Method::GET, "/ready", None, is_ready)
            .await;
    }

    /// Submits a job to one controller until the answer says that the job is accepted, now (201) or
    /// earlier (200).
    pub(crate) async fn submit(&self, index: usize, job: &Value) -> Value {
        let is_accepted = |answer: &Answer, _: &Value| answer.status == 201 || answer.status == 200;
        self.retry_until(index, Method::POST, "/v1/jobs", Some(job), is_accepted)
            .await
    }

    /// Requests a job's cancellation at one controller until the job is cancelled or done; returns
    /// the job's final stage.
    pub(crate) async fn cancel(&self, index: usize, id: &str) -> Value {
        let path = format!("/v1/jobs/{id}/cancel");
        let is_finished = |answer: &Answer, value: &Value| {
            answer.status == 200 && (value["Stage"] == "cancelled" || value["Stage"] == "done")
        };
        let answer = self
            .retry_until(index, Method::POST, &path, None, is_finished)
            .await;
        answer["Stage"].clone()
    }

    /// Polls a job at one controller until the job is in this stage.
    pub(crate) async fn wait_for_stage(&self, index: usize, id: &str, stage: &str) {
        let path = format!("/v1/jobs/{id}");
        let is_in_stage =
            |answer: &Answer, value: &Value| answer.status == 200 && value["Stage"] == stage;
        self.retry_until(index, Method::GET, &path, None, is_in_stage)
            .await;
    }
}

/// Panics if two tests use the same prefix of node ids, by which settings files are named.
pub(crate) fn claim_prefix(node_id_prefix: &str) {
    static CLAIMED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());
    let mut claimed = CLAIMED.lock().expect("prefixes");
    assert!(
        claimed.insert(node_id_prefix.to_owned()),
        "two clusters have the node id prefix {node_id_prefix:?}"
    );
}

/// The ports for controllers. The system assigns none of them to outgoing connections: if it did, a
/// connection of another test could take a port after it is chosen and before the controller's
/// process starts or restarts.
const CONTROLLER_PORTS: std::ops::Range<u16> = 10_000..30_000;

/// An address on which nothing listens. No address is returned twice in one run of the tests.
pub(crate) fn unused_address() -> SocketAddr {
    static HANDED_OUT: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut handed_out = HANDED_OUT.lock().expect("ports");
    loop {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(CONTROLLER_PORTS)));
        if handed_out.insert(address.port()) && TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The last [`LOG_LINES_SHOWN`] lines of a controller's log.
fn last_log_lines(node_id: &str) -> String {
    let log = std::fs::read_to_string(log_path(node_id)).unwrap_or_default();
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES_SHOWN)..].join("\n")
}

/// Removes the log that earlier processes of a controller left.
pub(crate) fn remove_log(node_id: &str) {
    let _ = std::fs::remove_file(log_path(node_id));
}

fn log_path(node_id: &str) -> PathBuf {
    [env!("CARGO_TARGET_TMPDIR"), &format!("{node_id}.log")]
        .iter()
        .collect()
}

/// The body of a submission of a job with tasks of one core, as a user sends it.
pub(crate) fn submission(id: &str, kind: &str, tasks: u32) -> Value {
    json!({ "NameId": id, "Repertoire": "sums", "Section": "red", "Form": kind,
        "Tempo": "standard", "Voices": tasks, "Cores": 1.0, "Accelerators": 0.0, "MemGb": 1.0,
        "Score": "img", "ImageGb": 0.1, "OneZone": false, "Scatter": false, "Borrowed": false,
        "DurationS": 1.5, "BreathS": 0.0, "FermataS": 0.0 })
}
