//! Tests of the components of a machine's state.

use std::time::{Duration, Instant};

use super::*;

fn heartbeat_number(agent_epoch: u64, sequence: u64) -> HeartbeatNumber {
    HeartbeatNumber {
        agent_epoch,
        sequence,
    }
}

#[test]
fn duplicate_and_overtaken_heartbeats_are_outdated() {
    let mut epochs = AgentEpochs::default();
    assert_eq!(epochs.advance(heartbeat_number(2, 7)), EpochChange::First);
    assert!(epochs.is_outdated(heartbeat_number(2, 7)), "a duplicate");
    assert!(
        epochs.is_outdated(heartbeat_number(2, 6)),
        "overtaken by a later heartbeat"
    );
    assert!(
        epochs.is_outdated(heartbeat_number(1, 9)),
        "of an earlier epoch"
    );
    assert!(!epochs.is_outdated(heartbeat_number(2, 8)));
    assert_eq!(
        epochs.advance(heartbeat_number(2, 8)),
        EpochChange::Unchanged
    );
}

#[test]
fn a_new_agent_epoch_ends_all_earlier_epochs() {
    let mut epochs = AgentEpochs::default();
    epochs.advance(heartbeat_number(2, 7));
    assert_eq!(
        epochs.advance(heartbeat_number(5, 1)),
        EpochChange::NewEpoch
    );
    assert_eq!(epochs.ended(), 4);
    assert!(epochs.is_live());
    epochs.end_current();
    assert!(!epochs.is_live());
    assert!(
        epochs.is_outdated(heartbeat_number(5, 2)),
        "its lease has expired"
    );
    assert!(!epochs.is_outdated(heartbeat_number(6, 1)));
}

#[test]
fn the_outcome_of_an_earlier_batch_does_not_complete_the_outstanding_one() {
    let now = Instant::now();
    let mut channel = CommandChannel::default();
    channel.note_sent(1, heartbeat_number(1, 1));
    channel.note_sent(2, heartbeat_number(1, 2));
    assert!(channel.complete(1).is_none());
    assert!(!channel.can_send(now));
    let batch = channel.complete(2).expect("batch 2 is outstanding");
    assert_eq!(batch.newest_heartbeat_when_sent, heartbeat_number(1, 2));
    assert!(channel.can_send(now));
}

#[test]
fn a_failed_batch_may_be_sent_again_after_the_retry_delay() {
    let now = Instant::now();
    let retry_at = now + Duration::from_secs(1);
    let mut channel = CommandChannel::default();
    channel.note_failure(retry_at);
    assert!(channel.is_unreachable());
    assert_eq!(channel.unanswered_batches(), 1);
    assert!(!channel.can_send(now));
    assert!(channel.can_send(retry_at));
    channel.note_heartbeat();
    assert_eq!(channel.unanswered_batches(), 0);
    assert!(
        channel.is_unreachable(),
        "only an answer to a batch shows that the machine is reachable"
    );
    channel.note_answer();
    assert!(!channel.is_unreachable());
}

#[test]
fn a_renewal_never_moves_the_lease_expiry_back() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut lease = WorkerLease::new(now, later);
    lease.note_periodic_heartbeat(now + Duration::from_secs(3));
    lease.extend_to(now + Duration::from_secs(10));
    assert_eq!(lease.expires_at(), later);
    let since = lease.since_periodic_heartbeat(now + Duration::from_secs(5));
    assert_eq!(since, Duration::from_secs(2));
}

#[test]
fn a_shorter_grace_period_replaces_a_longer_one() {
    let now = Instant::now();
    let mut attempt = Attempt::new(None, Phase::Running, now);
    attempt.request_stop(Duration::from_secs(30));
    attempt.note_stop_executed(Duration::from_secs(30));
    assert_eq!(
        attempt.stop_to_send(),
        None,
        "the worker has executed the stop"
    );
    attempt.request_stop(Duration::from_secs(60));
    assert_eq!(attempt.stop_grace(), Some(Duration::from_secs(30)));
    attempt.request_stop(Duration::ZERO);
    assert_eq!(attempt.stop_to_send(), Some(Duration::ZERO));
}

#[test]
fn a_deletion_is_decided_once_and_requested_again_when_due() {
    let now = Instant::now();
    let mut machine = Machine::new("vm-1".into(), now, now);
    assert!(machine.begin_deletion());
    assert!(!machine.begin_deletion());
    assert!(
        !machine.request_admission(),
        "a machine that is being deleted gets no tasks"
    );
    let retry_at = now + Duration::from_secs(1);
    machine.retry_deletion_at(retry_at);
    assert!(machine.is_deleting());
    assert!(!machine.deletion_retry_is_due(now));
    assert!(machine.deletion_retry_is_due(retry_at));
}

#[test]
fn deleted_machines_are_forgotten_after_their_retention() {
    let now = Instant::now();
    let retention = Duration::from_secs(10);
    let mut deleted = DeletedMachines::default();
    deleted.insert("vm-1".into(), now);
    deleted.forget_older(retention, now + Duration::from_secs(9));
    assert!(deleted.contains("vm-1"));
    deleted.forget_older(retention, now + retention);
    assert!(!deleted.contains("vm-1"));
}
