//! Controllers against a key-value store that carries transactions out late, and
//! against one another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::support::kv::{Service, routes};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use valegap::clock::SteadyClock;
use valegap::coordination::executor::execute;
use valegap::coordination::leadership::lease::ShardLease;
use valegap::coordination::node::Node;
use valegap::coordination::peering::cancellations::query_cancellations;
use valegap::coordination::peering::lease_votes::{all_grant_extension, all_vote_for_revival};
use valegap::coordination::requests::{RequestOrigin, UserRequest, UserResponse, answer};
use valegap::coordination::shard::{Action, ShardWrite};
use valegap::coordination::worker_leases::cancellation_freshness;
use valegap::protocol::FencingToken;
use valegap::protocol::cloud::MachineType;
use valegap::protocol::kv::{Mutation, Transaction};
use valegap::protocol::peers::{PeerAnswer, PeerRequest, decode_request, encode_answer};
use valegap::protocol::users::{Stage, parse_submission};
use valegap::settings::{Operator, Platform, Settings};
use valegap::storage::kv_client::TransactionOutcome;
use valegap::storage::records::FinalRecord;
use valegap::storage::{job_transition, keys};

const DEADLINE: Duration = Duration::from_secs(2);
/// Users wait this long for an answer to a submission or a cancellation.
const USERS_WAIT: Duration = Duration::from_secs(5);

/// A controller that knows the machine types, without loops of its own.
fn controller(node_id: &str, state: SocketAddr) -> Arc<Node> {
    among(node_id, state, json!([]))
}

/// The same among others.
fn among(node_id: &str, state: SocketAddr, others: Value) -> Arc<Node> {
    let settings = json!({
        "label": node_id, "area": "north", "front": "127.0.0.1:0", "internal_addr": "127.0.0.1:0",
        "others": others, "services": { "cloud": "127.0.0.1:1", "state": state },
        "settings": {
            "zones": ["north"],
            "teams": [{ "name": "red", "cpus": 0, "cpus_max": 8, "gpus": 0, "gpus_max": 3 }],
            "workers": { "report_s": 0.5, "lease_s": 10.0, "cancel_s": 20.0 },
            "state": { "rps": 1000, "write_rps": 500, "value_kb": 16, "txn_ops": 16 },
            "cloud": { "rps": 100, "list_lag_s": 0.5 },
            "resources": { "cpu": 1.0, "ram_mb": 200, "max_connections": 1000 },
        },
    });
    let settings = Settings {
        platform: Platform::parse("test", &settings.to_string()).expect("valid settings"),
        operator: Operator::default(),
    };
    let node = Node::new(settings, Arc::new(SteadyClock));
    node.lock().types = Some(vec![MachineType {
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

/// A key-value store and two controllers.
async fn two() -> (Service, Arc<Node>, Arc<Node>) {
    let service = Service::default();
    let state = crate::support::serve(routes(service.clone())).await;
    (service, controller("n0", state), controller("n1", state))
}

fn submission(id: &str, cores: f64) -> Value {
    json!({ "NameId": id, "Repertoire": "sums", "Section": "red", "Form": "batch",
        "Tempo": "standard", "Voices": 2, "Cores": cores, "Accelerators": 0.0, "MemGb": 1.0,
        "Score": "img", "ImageGb": 0.1, "OneZone": false, "Scatter": false, "Borrowed": false,
        "DurationS": 1.5, "BreathS": 0.0, "FermataS": 0.0 })
}

async fn submit(node: &Arc<Node>, body: &Value) -> UserResponse {
    answer(
        node,
        UserRequest::Submit(body.to_string().into_bytes()),
        RequestOrigin::User,
    )
    .await
}

async fn cancel(node: &Arc<Node>, id: &str) -> UserResponse {
    answer(
        node,
        UserRequest::Cancel(id.to_owned()),
        RequestOrigin::User,
    )
    .await
}

async fn poll(node: &Arc<Node>, id: &str) -> UserResponse {
    answer(node, UserRequest::Poll(id.to_owned()), RequestOrigin::User).await
}

fn stage(reply: &UserResponse) -> String {
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    body["Stage"].as_str().unwrap_or_default().to_owned()
}

/// Writes that a job is done, as its leader does; false if it is over already.
async fn finish(node: &Arc<Node>, id: &str) -> bool {
    let Some(item) = node
        .clients
        .kv
        .get(&keys::job(id), DEADLINE)
        .await
        .expect("served")
    else {
        return false;
    };
    let body = submission(id, 1.0).to_string();
    let (_, spec) = parse_submission(body.as_bytes()).expect("a submission");
    let last = FinalRecord::new(Stage::Done, spec);
    let txn = job_transition::finish_job(id, item.mod_revision, &last).expect("a transaction");
    matches!(
        node.clients.kv.txn(&txn, DEADLINE).await,
        Ok(TransactionOutcome::Committed { .. })
    )
}

/// A submission is carried out late: after its retry was accepted and the job
/// cancelled. It must not be opened again.
#[tokio::test]
async fn a_late_submission_opens_no_job_that_is_over() {
    let (service, first, second) = two().await;
    let body = submission("run-000001", 1.0);
    service.hold_up(&keys::job("run-000001"));
    assert_eq!(submit(&first, &body).await.status, 503);
    assert_eq!(service.held(), 1);
    assert_eq!(submit(&second, &body).await.status, 201);
    assert_eq!(submit(&first, &body).await.status, 200, "known already");
    assert_eq!(stage(&cancel(&first, "run-000001").await), "cancelled");
    assert_eq!(service.release(), [false]);
    for node in [&first, &second] {
        assert_eq!(stage(&poll(node, "run-000001").await), "cancelled");
        let again = submit(node, &body).await;
        assert_eq!((again.status, stage(&again).as_str()), (200, "cancelled"));
    }
    assert_eq!(service.value(&keys::job("run-000001")), None);
}

/// A cancellation that nobody confirmed is carried out late, after the job's end; and
/// one that comes before the end is confirmed on its retry, by whichever controller.
#[tokio::test]
async fn a_late_cancellation_changes_no_end_and_is_confirmed_on_its_retry() {
    let (service, first, second) = two().await;
    for id in ["run-000001", "run-000002"] {
        assert_eq!(submit(&first, &submission(id, 1.0)).await.status, 201);
    }
    service.hold_up(&keys::final_job("run-000001"));
    assert_eq!(cancel(&first, "run-000001").await.status, 503);
    assert!(finish(&second, "run-000001").await);
    assert_eq!(service.release(), [false]);
    for node in [&first, &second] {
        assert_eq!(stage(&poll(node, "run-000001").await), "done");
        assert_eq!(stage(&cancel(node, "run-000001").await), "done");
    }
    service.hold_up(&keys::final_job("run-000002"));
    assert_eq!(cancel(&first, "run-000002").await.status, 503);
    assert_eq!(service.release(), [true]);
    assert_eq!(stage(&cancel(&second, "run-000002").await), "cancelled");
    // Who confirmed it can tell others so, though another had written it.
    let told = second.job_index.cancelled_after(0).expect("all are known");
    assert_eq!(told.len(), 1);
    assert!(!finish(&second, "run-000002").await);
    assert_eq!(stage(&poll(&first, "run-000002").await), "cancelled");
}

/// A cancellation, a question and a repeated submission meet the end of a job's
/// last task: all controllers tell one history.
#[tokio::test]
async fn what_meets_the_end_of_a_job_is_answered_with_one_history() {
    let (_service, first, second) = two().await;
    let mut ends = Vec::new();
    for n in 0..24 {
        let id = format!("run-{n:06}");
        let body = submission(&id, 1.0);
        assert_eq!(submit(&first, &body).await.status, 201);
        let (done, cancelled, asked, repeated) = tokio::join!(
            async {
                tokio::time::sleep(Duration::from_micros(150 * (n % 8))).await;
                finish(&first, &id).await
            },
            cancel(&second, &id),
            poll(&first, &id),
            submit(&second, &body),
        );
        let end = if done { "done" } else { "cancelled" };
        assert_eq!(stage(&cancelled), end);
        assert!(["pending", end].contains(&stage(&asked).as_str()));
        assert_eq!(repeated.status, 200);
        for node in [&first, &second] {
            assert_eq!(stage(&poll(node, &id).await), end);
            assert_eq!(stage(&cancel(node, &id).await), end);
        }
        ends.push(done);
    }
    assert!(ends.contains(&false), "none was cancelled in time");
}

/// A shard write gets no answer, is tried again, and is carried out a second time
/// after newer writes of the same leader.
#[tokio::test]
async fn a_late_shard_write_undoes_no_newer_one() {
    let (service, node, _) = two().await;
    let lease_id = node
        .clients
        .kv
        .grant_lease(Duration::from_secs(60), DEADLINE)
        .await;
    let lease_id = lease_id.expect("a lease");
    let leader = Mutation::Put {
        key: keys::leader(),
        value: json!({ "v": 2, "label": "n0", "hold": lease_id, "run": 1 }),
        lease: Some(lease_id),
    };
    let txn = Transaction::default().change(leader);
    let Ok(TransactionOutcome::Committed { revision }) = node.clients.kv.txn(&txn, DEADLINE).await
    else {
        panic!("the shard is free");
    };
    let now = Instant::now();
    let until = now + Duration::from_secs(60);
    let lease = Arc::new(ShardLease::new(
        lease_id,
        FencingToken::new(revision),
        now,
        until,
        now,
    ));
    let key = keys::roster_page(0);
    let write = |value: Value| {
        let mutations = vec![Mutation::put(key.clone(), value)];
        let purposes = Vec::new();
        let action = Action::Write(ShardWrite {
            purposes,
            mutations,
        });
        execute(node.clone(), lease.clone(), action)
    };
    service.hold_up(&key);
    write(json!("first")).await;
    assert_eq!(service.held(), 1, "the first try got no answer");
    assert_eq!(service.value(&key), Some(json!("first")));
    write(json!("second")).await;
    assert_eq!(service.release(), [false]);
    assert_eq!(service.value(&key), Some(json!("second")));
    // The leader goes on: its next write finds the number that it expects.
    write(json!("third")).await;
    assert_eq!(service.value(&key), Some(json!("third")));
    assert!(!lease.ended());
}

/// What is wrong in itself is refused at once, whatever else fails, and never
/// accepted; what can't be decided is told to come back.
#[tokio::test]
async fn odd_requests_are_refused_whether_or_not_the_key_value_store_answers() {
    let (_service, served, _) = two().await;
    let cut_off = controller("n2", "127.0.0.1:1".parse().expect("an address"));
    let _ = cut_off.clients.kv.get("o/0/owner", DEADLINE).await;
    let mut lacking = submission("run-000001", 1.0);
    lacking.as_object_mut().expect("an object").remove("Cores");
    let unfitting = submission("run-000001", 9.0);
    // Two tasks of five cores: an array's run in turn, a gang's can't together.
    let mut whole = submission("run-000001", 5.0);
    whole["Form"] = json!("group");
    let mut formless = submission("run-000001", 1.0);
    formless["Form"] = json!("swarm");
    let mut nobody = submission("run-000001", 1.0);
    nobody["Form"] = json!("group");
    nobody["Voices"] = json!(0);
    // Two tasks of two accelerators, of which the team may use three.
    let mut dear = submission("run-000001", 1.0);
    dear["Form"] = json!("group");
    dear["Accelerators"] = json!(2.0);
    let mut stranger = submission("run-000001", 1.0);
    stranger["Section"] = json!("nobody");
    for node in [&served, &cut_off] {
        assert_eq!(submit(node, &lacking).await.status, 400);
        assert_eq!(submit(node, &unfitting).await.status, 422);
        assert_eq!(submit(node, &stranger).await.status, 422);
        assert_eq!(submit(node, &whole).await.status, 422);
        assert_eq!(submit(node, &formless).await.status, 400);
        assert_eq!(submit(node, &nobody).await.status, 400);
        assert_eq!(submit(node, &dear).await.status, 422);
        assert_eq!(poll(node, "no such id").await.status, 404);
    }
    assert_eq!(poll(&served, "run-000001").await.status, 404);
    assert_eq!(cancel(&served, "run-000001").await.status, 404);
    assert_eq!(
        poll(&cut_off, "run-000001").await.status,
        503,
        "it can't know"
    );
    let fine = submission("run-000001", 1.0);
    assert_eq!(submit(&cut_off, &fine).await.status, 503);
    let mut gang_of_one = submission("run-000002", 8.0);
    gang_of_one["Form"] = json!("group");
    gang_of_one["Voices"] = json!(1);
    assert_eq!(
        submit(&served, &gang_of_one).await.status,
        201,
        "a gang of one"
    );
    served.lock().types = None;
    assert_eq!(
        submit(&served, &unfitting).await.status,
        503,
        "not known yet"
    );
    assert_eq!(submit(&served, &fine).await.status, 503);
    assert_eq!(submit(&served, &lacking).await.status, 400);
}

/// The key-value store takes requests and answers none: users who cancel and ask are
/// told in time that nothing is known.
#[tokio::test]
async fn a_key_value_store_that_hangs_holds_no_user_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let node = controller("n0", listener.local_addr().expect("an address"));
    let _open = tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    let begun = Instant::now();
    let body = submission("run-000001", 1.0);
    let (submitted, cancelled, asked) = tokio::join!(
        submit(&node, &body),
        cancel(&node, "run-000001"),
        poll(&node, "run-000001"),
    );
    assert!(begun.elapsed() < USERS_WAIT);
    for reply in [submitted, cancelled, asked] {
        assert_eq!(reply.status, 503);
    }
}

/// A controller of the version in production, as far as others see it: it answers the
/// frames that it knows, and 404 at paths that it doesn't.
async fn older_controller() -> SocketAddr {
    let answer = |body: axum::body::Bytes| async move {
        encode_answer(&match decode_request(&body) {
            Some(PeerRequest::ExtendLease { .. }) => PeerAnswer::LeaseExtension { granted: true },
            _ => PeerAnswer::Unreadable,
        })
    };
    let routes = axum::Router::new().route("/peer", axum::routing::post(answer));
    crate::support::serve(routes).await
}

/// Beside an older controller a leader goes on by its votes, but no guarantee rests
/// on what it can't say: it neither speaks for what it told users nor stands aside.
#[tokio::test]
async fn an_older_controller_promises_and_says_nothing_more() {
    let older = older_controller().await;
    let others = json!([{ "label": "n1", "area": "north", "address": older }]);
    let node = among("n0", "127.0.0.1:1".parse().expect("an address"), others);
    let _ = node.clients.kv.get("o/0/owner", DEADLINE).await;
    let now = Instant::now();
    let time = Duration::from_secs(1);
    let lease = ShardLease::new(1, FencingToken::new(9), now, now + time, now);
    assert!(all_grant_extension(&node, time).await);
    assert!(!all_vote_for_revival(&node, &lease, time).await);
    // Its answers end with the bound after its own last look.
    let bound = cancellation_freshness::bound(&node.settings);
    node.lock().cancellations.caught_up(now);
    query_cancellations(node.clone(), node.settings.platform.others[0].clone(), 0).await;
    assert!(
        node.lock().peers.older.contains_key("n1"),
        "logged, and left alone for a while"
    );
    assert!(node.may_renew_leases(now + bound - DEADLINE));
    assert!(!node.may_renew_leases(now + bound));
}
