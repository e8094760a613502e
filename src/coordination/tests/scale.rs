//! Heartbeats between controllers when the leader has 100,000 jobs.

use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use tokio::net::TcpListener;

use super::peering::make_leader;
use super::{heartbeat, node, peer};
use crate::api;
use crate::clock::FakeClock;
use crate::coordination::node::Node;
use crate::coordination::peering::heartbeat::{leader_heartbeat, record_heartbeat};
use crate::coordination::shard::TaskCounts;
use crate::protocol::TaskId;
use crate::protocol::peers::PeerRequest;
use crate::protocol::users::Submission;
use crate::protocol::workers::{TaskState, TaskStatus};
use crate::storage::records::{FORMAT_VERSION, JobRecord};
use crate::transport::client::HttpClient;

const TOKEN: u64 = 7;
/// The number of unfinished jobs.
const JOBS: u32 = 100_000;
/// The number of jobs whose task runs.
const STARTED_JOBS: u32 = 40_000;
const TASKS_PER_MACHINE: usize = 200;

const SUBMISSION: &str = r#"{"NameId":"run-1","Repertoire":"sums","Section":"red","Form":"batch",
    "Tempo":"standard","Voices":1,"Cores":0.25,"Accelerators":0.0,"MemGb":0.5,"Score":"img-0",
    "ImageGb":1.0,"Instruments":null,"Hall":null,"OneZone":false,"Scatter":false,"Borrowed":true,
    "DurationS":10.0,"BreathS":0.0,"FermataS":0.0,"CurtainS":null}"#;

/// Makes the controller the leader of [`JOBS`] jobs of one task each, of which the first
/// [`STARTED_JOBS`] run.
fn make_leader_of_many_jobs(node: &Arc<Node>) {
    let lease = make_leader(node, TOKEN);
    let parsed = crate::protocol::users::parse_submission(SUBMISSION.as_bytes());
    let Submission { spec, .. } = parsed.expect("a submission");
    node.with_shard(&lease, "jobs", |shard, now| {
        for n in 0..JOBS {
            let record = JobRecord {
                format_version: FORMAT_VERSION,
                accepted_at_ms: 0,
                spec: spec.clone(),
            };
            shard.job_accepted(&format!("run-{n:06}"), TOKEN + 1, record, now);
        }
        for first in (0..STARTED_JOBS).step_by(TASKS_PER_MACHINE) {
            let mut running = heartbeat(TOKEN);
            running.machine = format!("vm-{first:06}");
            running.tasks = (first..first + TASKS_PER_MACHINE as u32)
                .map(|n| TaskStatus {
                    task: TaskId::parse(&format!("run-{n:06}/0")).expect("a task"),
                    attempt: 9,
                    state: TaskState::Running,
                    outcome: None,
                })
                .collect();
            shard.heartbeat(&running, now);
        }
        shard.tick(now);
    });
}

/// A fault of the past: the leader's heartbeat listed every unfinished job. At 75,000 jobs it was
/// larger than the receiver's limit, and the leader appeared to have crashed.
#[tokio::test]
async fn the_heartbeat_of_a_leader_of_a_hundred_thousand_jobs_is_accepted() {
    let clock = Arc::new(FakeClock::new());
    let (sender, receiver) = (node(clock.clone()), peer(clock.clone()));
    make_leader_of_many_jobs(&sender);
    let heartbeat = leader_heartbeat(&sender);
    assert_eq!(heartbeat.progress.len(), STARTED_JOBS as usize);
    let frame = PeerRequest::Heartbeat(heartbeat.clone()).encode();
    // Older versions accept frames of up to 2 MiB.
    assert!(frame.len() < 2 << 20, "{} bytes", frame.len());

    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let addr = listener.local_addr().expect("its address");
    let router = api::internal_router(receiver.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    let deadline = Duration::from_secs(10);
    let client = HttpClient::new();
    let sent = client.call(Method::POST, addr, "/peer", frame, deadline);
    assert_eq!(sent.await.expect("an answer").status, StatusCode::OK);
    let counts = |job: &str| receiver.lock().peers.progress.get(job).copied();
    let running = TaskCounts {
        done: 0,
        running: 1,
    };
    assert_eq!(counts("run-000007"), Some(running));
    assert_eq!(
        counts("run-099999"),
        None,
        "no task of run-099999 has started"
    );
}

/// A receiver ignores an empty list of jobs in a heartbeat. If no job of the leader has running or
/// completed tasks, its heartbeat therefore lists one with counts of zero, and the receiver drops
/// all counts that it has kept.
#[test]
fn counts_are_dropped_when_no_job_runs_any_more() {
    let clock = Arc::new(FakeClock::new());
    let (sender, receiver) = (node(clock.clone()), peer(clock.clone()));
    let lease = make_leader(&sender, TOKEN);
    let parsed = crate::protocol::users::parse_submission(SUBMISSION.as_bytes());
    let Submission { id, spec } = parsed.expect("a submission");
    let record = JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: 0,
        spec,
    };
    sender.with_shard(&lease, "jobs", |shard, now| {
        shard.job_accepted(&id, TOKEN + 1, record, now)
    });
    receiver.lock().peers.progress.insert(
        id.clone(),
        TaskCounts {
            done: 0,
            running: 1,
        },
    );
    record_heartbeat(&receiver, leader_heartbeat(&sender));
    assert_eq!(
        receiver.lock().peers.progress.get(&id).copied(),
        Some(TaskCounts::default())
    );
}
