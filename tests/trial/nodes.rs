//! Controllers inside the test process, which run no background tasks, and user requests that call
//! them directly, without HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::settings::{ControllerSettings, Peer};
use crate::support::kv::{KvStore, routes};
use serde_json::{Value, json};
use valegap::clock::SystemClock;
use valegap::coordination::node::Node;
use valegap::coordination::requests::{RequestOrigin, UserRequest, UserResponse, answer};
use valegap::protocol::cloud::MachineType;
use valegap::protocol::users::{JobStage, Submission, parse_submission};
use valegap::settings::{Operator, Platform, Settings};
use valegap::storage::kv_client::TransactionOutcome;
use valegap::storage::records::FinalRecord;
use valegap::storage::{job_transition, keys};

/// The deadline of a request to the key-value store.
pub(crate) const DEADLINE: Duration = Duration::from_secs(2);

/// Creates a controller that has no peers and already knows the cloud's machine types.
pub(crate) fn node_without_peers(node_id: &str, kv: SocketAddr) -> Arc<Node> {
    node_with_peers(node_id, kv, Vec::new())
}

/// Creates a controller that has these peers and already knows the cloud's machine types.
pub(crate) fn node_with_peers(node_id: &str, kv: SocketAddr, peers: Vec<Peer>) -> Arc<Node> {
    let settings = ControllerSettings {
        kv,
        peers,
        max_cores: 8,
        max_accelerators: 3,
        ..ControllerSettings::new(node_id)
    };
    let settings = Settings {
        platform: Platform::parse("test", &settings.to_json().to_string()).expect("valid settings"),
        operator: Operator::default(),
    };
    let node = Node::new(settings, Arc::new(SystemClock));
    node.lock().machine_types = Some(vec![MachineType {
        name: "m8".into(),
        cores: 8.0,
        accelerators: 2.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: None,
        startup_s: 10.0,
        zones: vec!["north".into()],
    }]);
    node
}

/// Creates a key-value store and two controllers that use it.
pub(crate) async fn two_nodes() -> (KvStore, Arc<Node>, Arc<Node>) {
    let store = KvStore::default();
    let kv = crate::support::serve(routes(store.clone())).await;
    (
        store,
        node_without_peers("n0", kv),
        node_without_peers("n1", kv),
    )
}

/// The body of a submission of a batch job of two tasks, with `cores` cores for each task.
pub(crate) fn submission(id: &str, cores: f64) -> Value {
    json!({ "NameId": id, "Repertoire": "sums", "Section": "red", "Form": "batch",
        "Tempo": "standard", "Voices": 2, "Cores": cores, "Accelerators": 0.0, "MemGb": 1.0,
        "Score": "img", "ImageGb": 0.1, "OneZone": false, "Scatter": false, "Borrowed": false,
        "DurationS": 1.5, "BreathS": 0.0, "FermataS": 0.0 })
}

pub(crate) async fn submit(node: &Arc<Node>, body: &Value) -> UserResponse {
    answer(
        node,
        UserRequest::Submit(body.to_string().into_bytes()),
        RequestOrigin::User,
    )
    .await
}

pub(crate) async fn cancel(node: &Arc<Node>, id: &str) -> UserResponse {
    answer(
        node,
        UserRequest::Cancel(id.to_owned()),
        RequestOrigin::User,
    )
    .await
}

pub(crate) async fn poll(node: &Arc<Node>, id: &str) -> UserResponse {
    answer(node, UserRequest::Poll(id.to_owned()), RequestOrigin::User).await
}

/// The job's stage in the answer to a user; empty if the answer contains none.
pub(crate) fn job_stage(response: &UserResponse) -> String {
    let body: Value = serde_json::from_slice(&response.body).expect("JSON");
    body["Stage"].as_str().unwrap_or_default().to_owned()
}

/// Writes the final record of a job that is done, as the leader does. Returns false if the job is
/// finished already.
pub(crate) async fn finish_job(node: &Arc<Node>, id: &str) -> bool {
    let Some(stored_job) = node
        .clients
        .kv
        .get(&keys::job(id), DEADLINE)
        .await
        .expect("served")
    else {
        return false;
    };
    let body = submission(id, 1.0).to_string();
    let Submission { spec, .. } = parse_submission(body.as_bytes()).expect("a submission");
    let final_record = FinalRecord::new(JobStage::Done, spec);
    let txn = job_transition::finish_job_transaction(id, stored_job.mod_revision, &final_record)
        .expect("a transaction");
    matches!(
        node.clients.kv.txn(&txn, DEADLINE).await,
        Ok(TransactionOutcome::Committed { .. })
    )
}
