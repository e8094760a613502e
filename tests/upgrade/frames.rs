//! Frames and records that bee35ef, the version in production, knows and 5161cb0 does not. They
//! were recorded by running bee35ef; this version has to read them, and to write the same bytes.

use serde::Serialize;
use serde::de::DeserializeOwned;
use valegap::protocol::FencingToken;
use valegap::protocol::kv::Mutation;
use valegap::protocol::peer_messages::{
    CANCELLATIONS_PATH, CancellationsRequest, CancelledJob, ConfirmedCancellations,
    REVIVE_LEASE_PATH, RevivalVote, ReviveLease,
};
use valegap::protocol::users::JobKind;
use valegap::protocol::workers::{AttemptOutcome, TaskState};
use valegap::storage::keys;
use valegap::storage::records::{InventoryRecord, RevokedLaunchesRecord, RosterRecord};
use valegap::storage::roster::{Roster, decode_page};

const CANCELLATIONS_REQUEST: &str = "6712000000000000";
const CONFIRMED_CANCELLATIONS: &str = "72756e2d31363734313972756e2d303030303033000000008a000000e8ffffff7012000000000000\
    8a000000e2ffffff7b12000000000000426c01000000000001000000d4ffffff0200000000000000";
const INCOMPLETE_CANCELLATIONS: &str = "426c01000000000000000000000000000000000000000000";
const REVIVE_LEASE_REQUEST: &str = "5e03000000000000e803000000000000";
const REVIVAL_VOTE: &str = "0100000000000000426c010000000000";
const INVENTORY: &str = r#"{"v":2,"term":862,"reports":[{"Stand":"vm-000231","Addr":"10.1.0.232:9000","Instrument":"lectern","Hall":"gdansk-loft","Borrowed":true,"Rehearsal":1,"Bar":88,"Baton":862,"CueS":null,"Voices":[{"Voice":"run-167419/3","Take":33554469,"Stage":"waiting"},{"Voice":"run-167419/4","Take":33554469,"Stage":"ended","Coda":"peers"}]}]}"#;
const REVOKED_LAUNCHES: &str =
    r#"{"v":2,"term":862,"launches":[{"m":"vm-000231","e":1,"t":"run-167419/3","a":33554469}]}"#;
const ROSTER_PAGE: &str = r#"{"machines":{"vm-000231":{"a":"10.1.0.232:9000","r":true,"s":true,"t":"lectern","z":"gdansk-loft"}},"v":2}"#;

/// Decodes hexadecimal digits.
fn decode_hex(text: &str) -> Vec<u8> {
    let byte = |start: usize| u8::from_str_radix(&text[start..start + 2], 16).expect("hexadecimal");
    (0..text.len()).step_by(2).map(byte).collect()
}

#[test]
fn numbered_frames_are_those_of_the_version_in_production() {
    assert_eq!(CANCELLATIONS_PATH, "/peer/cancellations/1");
    assert_eq!(REVIVE_LEASE_PATH, "/peer/stand-aside/1");

    let request = CancellationsRequest { after: 4711 };
    assert_eq!(request.encode(), decode_hex(CANCELLATIONS_REQUEST));
    let read = CancellationsRequest::decode(&decode_hex(CANCELLATIONS_REQUEST)).expect("a frame");
    assert_eq!(read.after, 4711);

    check_confirmed_cancellations();

    let revival = ReviveLease {
        fencing_token: FencingToken::new(862),
        millis: 1000,
    };
    assert_eq!(revival.encode(), decode_hex(REVIVE_LEASE_REQUEST));
    assert_eq!(
        ReviveLease::decode(&decode_hex(REVIVE_LEASE_REQUEST)).ok(),
        Some(revival)
    );

    let vote = RevivalVote {
        granted: true,
        up_ms: 93_250,
    };
    assert_eq!(vote.encode(), decode_hex(REVIVAL_VOTE));
    assert_eq!(
        RevivalVote::decode(&decode_hex(REVIVAL_VOTE)).ok(),
        Some(vote)
    );
}

fn check_confirmed_cancellations() {
    let job = |job: &str, revision| CancelledJob {
        job: job.into(),
        revision,
    };
    let confirmed = ConfirmedCancellations {
        up_ms: 93_250,
        jobs: Some(vec![job("run-167419", 4720), job("run-000003", 4731)]),
    };
    let incomplete = ConfirmedCancellations {
        up_ms: 93_250,
        jobs: None,
    };
    for (frame, recorded) in [
        (confirmed, CONFIRMED_CANCELLATIONS),
        (incomplete, INCOMPLETE_CANCELLATIONS),
    ] {
        assert_eq!(frame.encode(), decode_hex(recorded));
        assert_eq!(
            ConfirmedCancellations::decode(&decode_hex(recorded)).ok(),
            Some(frame)
        );
    }
}

/// Parses a recorded record, and checks that writing it again gives the same text.
fn round_trip<T: Serialize + DeserializeOwned>(recorded: &str) -> T {
    let record: T = serde_json::from_str(recorded).expect("a record");
    assert_eq!(serde_json::to_string(&record).expect("JSON"), recorded);
    record
}

#[test]
fn an_inventory_with_a_gang_is_that_of_the_version_in_production() {
    assert_eq!(keys::inventory("cellar-1", 3), "k/0/cellar-1/0003");
    let inventory: InventoryRecord = round_trip(INVENTORY);
    let tasks = &inventory.heartbeats[0].tasks;
    assert_eq!(tasks[0].state, TaskState::Waiting);
    assert_eq!(tasks[1].outcome, Some(AttemptOutcome::GangPeerLost));
}

/// Later versions have to read what this one writes; the version in production ignores the key.
#[test]
fn revoked_launches_keep_their_stored_form() {
    assert_eq!(keys::revoked_launches(3), "o/0/revoked/0003");
    let record: RevokedLaunchesRecord = round_trip(REVOKED_LAUNCHES);
    let attempt_id = record.launches[0].attempt_id();
    assert_eq!(attempt_id.to_string(), "run-167419/3#33554469");
}

#[test]
fn a_roster_page_is_that_of_the_version_in_production() {
    let record = RosterRecord {
        addr: "10.1.0.232:9000".into(),
        machine_type: "lectern".into(),
        zone: "gdansk-loft".into(),
        spot: true,
        deleting: true,
    };
    let mut roster = Roster::default();
    roster.put(&"vm-000231".into(), record.clone(), 8192);
    let Some(Mutation::Put { key, value, .. }) = roster.next_mutation(8192) else {
        panic!("a page is written");
    };
    assert_eq!(
        (key.as_str(), &*value.to_string()),
        ("m/0/0000", ROSTER_PAGE)
    );
    let page = decode_page(&serde_json::from_str(ROSTER_PAGE).expect("JSON")).expect("a page");
    assert_eq!(page["vm-000231"], record);
}

#[test]
fn records_of_gangs_are_those_of_the_version_in_production() {
    use valegap::storage::records::{FinalRecord, JobRecord};
    let recorded = super::Recorded::with_gangs().values();
    let job_record: JobRecord = JobRecord::round_trip_value(&recorded["j/open/run-000006"]);
    assert_eq!(
        (job_record.spec.kind, job_record.spec.tasks),
        (JobKind::Gang, 4)
    );
    let final_record: FinalRecord = FinalRecord::round_trip_value(&recorded["j/over/run-000007"]);
    assert_eq!(
        (final_record.spec.kind, final_record.tasks),
        (JobKind::Gang, 6)
    );
}

/// A record that is stored as JSON.
trait StoredRecord: Sized {
    /// Parses a stored value, and checks that storing the record again gives the same value.
    fn round_trip_value(value: &serde_json::Value) -> Self;
}

impl<T: Serialize + DeserializeOwned> StoredRecord for T {
    fn round_trip_value(value: &serde_json::Value) -> Self {
        let record: T = serde_json::from_value(value.clone()).expect("a record");
        assert_eq!(&serde_json::to_value(&record).expect("JSON"), value);
        record
    }
}
