//! Tests of the components of a machine's state.

use std::time::{Duration, Instant};

use super::*;

fn number(agent_epoch: u64, sequence: u64) -> HeartbeatNumber {
    HeartbeatNumber {
        agent_epoch,
        sequence,
    }
}

#[test]
fn copies_and_overtaken_heartbeats_are_outdated() {
    let mut epochs = AgentEpochs::default();
    assert_eq!(epochs.advance(number(2, 7)), EpochChange::First);
    assert!(epochs.is_outdated(number(2, 7)), "a copy");
    assert!(epochs.is_outdated(number(2, 6)), "overtaken");
    assert!(epochs.is_outdated(number(1, 9)), "of an earlier epoch");
    assert!(!epochs.is_outdated(number(2, 8)));
    assert_eq!(epochs.advance(number(2, 8)), EpochChange::Unchanged);
}

#[test]
fn a_new_agent_epoch_ends_all_before_it() {
    let mut epochs = AgentEpochs::default();
    epochs.advance(number(2, 7));
    assert_eq!(epochs.advance(number(5, 1)), EpochChange::Restarted);
    assert_eq!(epochs.ended(), 4);
    assert!(epochs.is_live());
    epochs.end_current();
    assert!(!epochs.is_live());
    assert!(epochs.is_outdated(number(5, 2)), "its lease has expired");
    assert!(!epochs.is_outdated(number(6, 1)));
}

#[test]
fn a_late_outcome_leaves_the_outstanding_batch() {
    let now = Instant::now();
    let mut channel = CommandChannel::default();
    channel.note_sent(1, number(1, 1));
    channel.note_sent(2, number(1, 2));
    assert!(channel.complete(1).is_none());
    assert!(!channel.can_send(now));
    let batch = channel.complete(2).expect("it is outstanding");
    assert_eq!(batch.newest_heartbeat_when_sent, number(1, 2));
    assert!(channel.can_send(now));
}

#[test]
fn a_failed_batch_is_sent_again_after_the_pause() {
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
    assert!(channel.is_unreachable(), "only an answer shows a path");
    channel.note_answer();
    assert!(!channel.is_unreachable());
}

#[test]
fn a_lease_bound_never_goes_back() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut lease = WorkerLease::new(now, later);
    lease.renew(now + Duration::from_secs(3), now + Duration::from_secs(10));
    assert_eq!(lease.expires_at(), later);
    let since = lease.since_renewal(now + Duration::from_secs(5));
    assert_eq!(since, Duration::from_secs(2));
}

#[test]
fn a_shorter_grace_period_replaces_a_longer_one() {
    let now = Instant::now();
    let mut attempt = Attempt::new(None, Phase::Running, now);
    attempt.request_stop(Duration::from_secs(30));
    attempt.note_stop_executed(Duration::from_secs(30));
    assert_eq!(attempt.stop_to_send(), None, "it is executed");
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
    assert!(!machine.request_admission(), "it gets no tasks any more");
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
