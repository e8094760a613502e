//! Unit tests of zone constraints, quota usage and the queue order.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::queue::{QueueKey, next_due};
use super::quota::Usage;
use super::zones::ZoneConstraint;
use crate::coordination::shard::Job;
use crate::coordination::shard::tests::fixtures::{policy, record, spec};
use crate::protocol::users::JobSpec;

fn tasks(zones: &[(&str, u32)]) -> BTreeMap<Arc<str>, u32> {
    let entry = |(zone, tasks): &(&str, u32)| (Arc::from(*zone), *tasks);
    zones.iter().map(entry).collect()
}

fn one_zone(tasks: u32) -> JobSpec {
    JobSpec {
        one_zone: true,
        ..spec("red", 1.0, tasks)
    }
}

fn scattered(tasks: u32) -> JobSpec {
    JobSpec {
        scatter: true,
        ..spec("red", 1.0, tasks)
    }
}

fn job(id: &str, accepted_at_ms: u64, deadline_s: Option<f64>) -> Job {
    let mut record = record(JobSpec {
        deadline_s,
        ..spec("red", 1.0, 1)
    });
    record.accepted_at_ms = accepted_at_ms;
    Job::new(id.into(), 1, record)
}

#[test]
fn a_job_without_a_zone_rule_may_use_every_zone() {
    let mut zones = ZoneConstraint::new(&spec("red", 1.0, 2), BTreeMap::new());
    zones.add(&"north".into(), 2);
    assert!(zones.admits("north") && zones.admits("south"));
    assert!(!zones.must_choose_zone());
    assert_eq!(zones.zones_in_use().count(), 0);
}

#[test]
fn a_one_zone_job_stays_in_the_zone_of_its_first_task() {
    let mut zones = ZoneConstraint::new(&one_zone(3), BTreeMap::new());
    assert!(zones.must_choose_zone());
    assert!(zones.admits("north") && zones.admits("south"));
    zones.add(&"north".into(), 1);
    assert!(!zones.must_choose_zone());
    assert!(zones.admits("north") && !zones.admits("south"));
    let pinned = ZoneConstraint::pinned_to(&one_zone(3), "south".into());
    assert!(pinned.admits("south") && !pinned.admits("north"));
}

#[test]
fn a_scattered_job_has_at_most_half_of_its_tasks_in_a_zone() {
    let mut zones = ZoneConstraint::new(&scattered(5), tasks(&[("north", 2)]));
    assert_eq!(zones.remaining("north"), 1);
    assert_eq!(zones.remaining("south"), 3);
    zones.add(&"north".into(), 1);
    assert!(!zones.admits("north") && zones.admits("south"));
    // While machines are unreconciled, a zone may hold more tasks than the rule allows.
    let full = ZoneConstraint::new(&scattered(5), tasks(&[("north", 4)]));
    assert_eq!(full.remaining("north"), 0);
}

#[test]
fn a_quota_limit_counts_all_tasks_of_a_gang() {
    let (policy, red) = (policy(), spec("red", 8.0, 2));
    let mut usage = Usage::default();
    assert!(usage.all_within_limit(&policy, &red, 2));
    assert!(!usage.all_within_limit(&policy, &red, 3));
    usage.add(&red, 2);
    assert!(!usage.within_limit(&policy, &red));
    // A limit of zero means no limit, but an unknown team may run nothing.
    assert!(usage.all_within_limit(&policy, &spec("blue", 8.0, 1), 100));
    assert!(!usage.within_limit(&policy, &spec("unknown", 1.0, 1)));
}

#[test]
fn teams_within_their_guarantee_come_before_those_with_less_weighted_usage() {
    let (policy, mut usage) = (policy(), Usage::default());
    let (red, blue) = (spec("red", 4.0, 1), spec("blue", 4.0, 1));
    usage.add(&red, 1);
    let rank = |usage: &Usage, spec| usage.fair_share_rank(&policy, spec);
    assert!(rank(&usage, &red).compare(&rank(&usage, &blue)).is_lt());
    usage.add(&red, 1);
    assert!(rank(&usage, &red).compare(&rank(&usage, &blue)).is_gt());
}

#[test]
fn a_task_is_beyond_the_guarantee_only_if_the_other_tasks_of_the_team_use_all_of_it() {
    let (policy, mut usage) = (policy(), Usage::default());
    let red = spec("red", 4.0, 3);
    usage.add(&red, 2);
    assert!(!usage.beyond_guarantee_without(&policy, &red));
    usage.add(&red, 1);
    assert!(usage.beyond_guarantee_without(&policy, &red));
}

#[test]
fn jobs_are_ordered_by_the_next_deadline_that_they_can_still_meet() {
    let policy = policy();
    let key = |job: &Job| QueueKey::for_job(job, &policy, 20_000);
    let soon = job("soon", 0, Some(30.0));
    let later = job("later", 0, Some(60.0));
    let missed = job("missed", 0, Some(10.0));
    let without_deadline = job("without", 0, None);
    let newer = job("newer", 5, None);
    assert!(key(&soon) < key(&later));
    assert!(key(&later) < key(&without_deadline));
    assert!(key(&without_deadline) < key(&newer));
    assert!(key(&newer) < key(&missed));
    assert_eq!(next_due(&soon, &policy, 30_000), Some(30_000));
    assert_eq!(next_due(&soon, &policy, 30_001), None);
}
