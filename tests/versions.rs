//! Compatibility with the version in production: this version has to read the frames and records
//! that were recorded with that version, and to write the same bytes, so that the version in
//! production can read them.

#![allow(clippy::expect_used, reason = "a panic is how a test fails")]

use serde::Serialize;
use serde::de::DeserializeOwned;
use valegap::protocol::FencingToken;
use valegap::protocol::peers::{PeerAnswer, PeerHeartbeat, PeerRequest, Progress};
use valegap::protocol::users::{JobKind, JobStage};
use valegap::storage::records::{
    DelegateRecord, FinalRecord, JobRecord, LeaderRecord, ReachabilityRecord, RosterRecord,
    SequenceRecord,
};

const HEARTBEAT: &[&str] = &[
    "6764616e736b2d6c6f6674706f7a6e616e2d68616c6c72756e2d3136373431398a000000f6ffffff",
    "0300000039000000000000000000000063656c6c61722d318b000000c0ffffff01000000e4020000",
    "5d0000000000000001000000000000005e03000000000000010000008b0000009fffffffacffffff",
    "01000000000000000410000000000000",
];
const LEASE_EXTENSION: &[&str] = &[
    "0100000000000000e803000000000000000000000000000000000000000000000000000000000000",
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000",
    "0000000000000000",
];
const FORWARD: &[&str] = &[
    "2f76312f6a6f62732f72756e2d3136373431392f63616e63656c01020300000002000000504f5354",
    "ffffffff9a000000d4ffffffe6ffffff030000000000000000000000000000000000000000000000",
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000",
];
const ANSWERED_HEARTBEAT: &[&str] = &[
    "6764616e736b2d6c6f6674706f7a6e616e2d68616c6c72756e2d3136373431398a000000f6ffffff",
    "0300000039000000000000000000000063656c6c61722d318b000000c0ffffff01000000e4020000",
    "5d0000000000000001000000000000005e03000000000000010000008b0000009fffffffacffffff",
    "01000000000000000410000000000000",
];
const LEASE_EXTENSION_VOTE: &[&str] = &[
    "01010000000000000000000000000000000000000000000000000000000000000000000000000000",
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000",
    "0000000000000000",
];
const FORWARDED_RESPONSE: &[&str] = &[
    "7b7d0000000000000200c800f4ffffff020000000000000000000000000000000000000000000000",
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000",
    "00000000000000000000000000000000",
];
const UNREADABLE: &[&str] = &[
    "03000000000000000000000000000000000000000000000000000000000000000000000000000000",
    "00000000000000000000000000000000000000000000000000000000000000000000000000000000",
    "0000000000000000",
];
const JOB_RECORD: &str = r#"{"v":2,"at_ms":17,"spec":{"class":"train","team":"vision","kind":"batch","priority":"high","tasks":16,"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"image":"img-07","image_gb":6.2,"machine_types":["g8"],"zone":null,"one_zone":true,"scatter":false,"spot":true,"duration_s":240.0,"checkpoint_s":30.0,"save_s":4.0,"deadline_s":900.0}}"#;
const FINAL_RECORD: &str = r#"{"v":2,"stage":"cancelled","tasks":16,"spec":{"class":"train","team":"vision","kind":"batch","priority":"high","tasks":16,"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"image":"img-07","image_gb":6.2,"machine_types":["g8"],"zone":null,"one_zone":true,"scatter":false,"spot":true,"duration_s":240.0,"checkpoint_s":30.0,"save_s":4.0,"deadline_s":900.0}}"#;
const LEADER_RECORD: &str = r#"{"v":2,"label":"cellar-1","hold":4,"run":99}"#;
const DELEGATE_RECORD: &str = r#"{"v":2,"term":862,"inventory":true}"#;
const REACHABILITY_RECORD: &str = r#"{"v":2,"workers":7,"at_ms":1}"#;
const SEQUENCE_RECORD: &str = r#"{"v":2,"term":862,"n":41}"#;
const ROSTER_RECORD: &str = r#"{"a":"10.1.0.232:9000","t":"lectern","z":"gdansk-loft","s":true}"#;

/// Decodes hexadecimal digits that are split into several rows.
fn decode_hex(rows: &[&str]) -> Vec<u8> {
    let text = rows.concat();
    let byte = |start: usize| u8::from_str_radix(&text[start..start + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(byte).collect()
}

fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        node_id: "cellar-1".into(),
        zone: "gdansk-loft".into(),
        kv_served: true,
        reachable_workers: 740,
        up_s: 93,
        fencing_token: Some(FencingToken::new(862)),
        main_zone: Some("poznan-hall".into()),
        progress: vec![Progress {
            job: "run-167419".into(),
            done: 3,
            running: 57,
        }],
        ineligible: false,
        answered_by_advance_delegation_ago_ms: 4100,
    }
}

#[test]
fn frames_are_those_of_the_version_in_production() {
    let forward = PeerRequest::Forward {
        method: "POST".into(),
        path: "/v1/jobs/run-167419/cancel".into(),
        body: vec![1, 2, 3],
    };
    let extension = PeerRequest::ExtendLease { millis: 1000 };
    for (request, recorded) in [
        (PeerRequest::Heartbeat(heartbeat()), HEARTBEAT),
        (extension, LEASE_EXTENSION),
        (forward, FORWARD),
    ] {
        let recorded = decode_hex(recorded);
        assert_eq!(request.encode(), recorded);
        let read = PeerRequest::decode(&recorded).expect("a request");
        assert_eq!(format!("{read:?}"), format!("{request:?}"));
    }
    let response = PeerAnswer::ForwardedResponse {
        status: 200,
        body: b"{}".to_vec(),
    };
    for (answer, recorded) in [
        (PeerAnswer::Heartbeat(heartbeat()), ANSWERED_HEARTBEAT),
        (
            PeerAnswer::LeaseExtension { granted: true },
            LEASE_EXTENSION_VOTE,
        ),
        (response, FORWARDED_RESPONSE),
        (PeerAnswer::Unreadable, UNREADABLE),
    ] {
        let recorded = decode_hex(recorded);
        assert_eq!(answer.encode(), recorded);
        let read = PeerAnswer::decode(&recorded).expect("an answer");
        assert_eq!(format!("{read:?}"), format!("{answer:?}"));
    }
}

/// Parses a recorded record, and checks that writing it again gives the same text.
fn round_trip<T: Serialize + DeserializeOwned>(recorded: &str) -> T {
    let record: T = serde_json::from_str(recorded).expect("a record");
    assert_eq!(serde_json::to_string(&record).expect("JSON"), recorded);
    record
}

#[test]
fn records_are_those_of_the_version_in_production() {
    let job: JobRecord = round_trip(JOB_RECORD);
    assert_eq!((job.spec.kind, job.spec.tasks), (JobKind::Batch, 16));
    let final_record: FinalRecord = round_trip(FINAL_RECORD);
    assert_eq!(final_record.stage, JobStage::Cancelled);
    assert_eq!(round_trip::<LeaderRecord>(LEADER_RECORD).lease, 4);
    assert!(round_trip::<DelegateRecord>(DELEGATE_RECORD).inventory);
    assert_eq!(
        round_trip::<ReachabilityRecord>(REACHABILITY_RECORD).reachable_workers,
        7
    );
    assert_eq!(round_trip::<SequenceRecord>(SEQUENCE_RECORD).number, 41);
    assert!(round_trip::<RosterRecord>(ROSTER_RECORD).spot);
}

/// If the limit for values has been lowered below the length of a job's description, the job can
/// still finish. Its shortened final record keeps the resources of its tasks, which may still run,
/// and the version in production can read the record.
#[test]
fn a_final_record_fits_a_lowered_limit() {
    let mut job: JobRecord = round_trip(JOB_RECORD);
    job.spec.machine_types = Some((0..200).map(|n| format!("kind-{n:0100}")).collect());
    job.spec.image = "ä".repeat(100);
    let full_record = FinalRecord::new(JobStage::Done, job.spec);
    assert!(serde_json::to_vec(&full_record).expect("JSON").len() > 16_384);
    let shortened_record = full_record.clone().shortened_to(512);
    assert!(serde_json::to_vec(&shortened_record).expect("JSON").len() <= 512);
    let read: FinalRecord =
        serde_json::from_value(serde_json::to_value(&shortened_record).expect("JSON"))
            .expect("the older version reads the record");
    assert_eq!(
        (read.stage, read.tasks),
        (full_record.stage, full_record.tasks)
    );
    assert_eq!(read.spec.team, full_record.spec.team);
    assert_eq!(read.spec.cores, full_record.spec.cores);
    assert_eq!(
        full_record.clone().shortened_to(1 << 20),
        full_record,
        "unchanged within the limit"
    );
}
