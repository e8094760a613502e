//! Validation of the platform's settings file. Messages use the field names of the file.

use super::{KvLimits, Platform, Team, Workers};
use crate::settings::SettingsError;

/// Numbers that are not below this limit are rejected as mistakes.
const NUMBER_LIMIT: f64 = 1e9;

/// Minimum of the store's limit on mutations in one transaction: a transaction has to be able to
/// write the sequence record and a job's two records.
const MIN_TRANSACTION_MUTATIONS: usize = 3;

/// A requirement for the value of a field, and whether the value meets it.
struct Rule {
    field: &'static str,
    is_met: bool,
    /// The requirement as worded in the error message.
    requirement: &'static str,
}

impl Rule {
    fn new(field: &'static str, is_met: bool, requirement: &'static str) -> Self {
        Self {
            field,
            is_met,
            requirement,
        }
    }
}

/// Checks all rules and reports the first that isn't met.
pub(super) fn check(platform: &Platform, file: &str) -> Result<(), SettingsError> {
    let first_unmet = rules(platform).into_iter().find(|rule| !rule.is_met);
    match first_unmet {
        None => Ok(()),
        Some(rule) => Err(SettingsError::Field {
            file: file.to_owned(),
            field: rule.field.to_owned(),
            why: rule.requirement.to_owned(),
        }),
    }
}

/// Returns all rules. If several are not met, the first in this order is reported.
fn rules(platform: &Platform) -> Vec<Rule> {
    let settings = &platform.settings;
    let mut rules = identity_rules(platform);
    rules.extend(number_rules(platform));
    rules.push(worker_lease_rule(&settings.workers));
    rules.extend(transaction_rules(&settings.kv));
    rules.push(Rule::new(
        "settings.cloud.list_lag_s",
        is_valid_amount(settings.cloud.list_lag_s),
        "must be a number of 0 or more",
    ));
    rules.push(team_amounts_rule(&settings.teams));
    rules
}

fn identity_rules(platform: &Platform) -> Vec<Rule> {
    let node_id = &platform.node_id;
    let names_itself = platform.others.iter().any(|peer| peer.node_id == *node_id);
    vec![
        Rule::new("label", !node_id.is_empty(), "must not be empty"),
        Rule::new("others", !names_itself, "names this node itself"),
        Rule::new(
            "settings.teams",
            !platform.settings.teams.is_empty(),
            "must not be empty",
        ),
    ]
}

/// Returns the rules for the numbers that have to be above 0. An upcoming limit that isn't given
/// counts as valid.
fn number_rules(platform: &Platform) -> impl Iterator<Item = Rule> {
    let workers = &platform.settings.workers;
    let kv = &platform.settings.kv;
    let next = kv.next.clone().unwrap_or_default();
    let numbers = [
        (
            "settings.workers.report_s",
            Some(workers.heartbeat_interval_s),
        ),
        ("settings.workers.lease_s", Some(workers.lease_s)),
        ("settings.workers.cancel_s", Some(workers.cancel_s)),
        ("settings.workers.gang_wait_s", Some(workers.gang_wait_s)),
        ("settings.workers.gang_peer_s", Some(workers.gang_peer_s)),
        ("settings.state.rps", Some(kv.rps)),
        ("settings.state.write_rps", Some(kv.write_rps)),
        ("settings.state.value_kb", Some(kv.value_kb)),
        ("settings.cloud.rps", Some(platform.settings.cloud.rps)),
        ("settings.state.next.rps", next.rps),
        ("settings.state.next.write_rps", next.write_rps),
        ("settings.state.next.value_kb", next.value_kb),
    ];
    numbers.into_iter().map(|(field, value)| {
        let is_met = value.is_none_or(|value| value > 0.0 && value < NUMBER_LIMIT);
        Rule::new(field, is_met, "must be a number above 0")
    })
}

fn worker_lease_rule(workers: &Workers) -> Rule {
    Rule::new(
        "settings.workers.lease_s",
        workers.lease_s > workers.heartbeat_interval_s,
        "must be above report_s",
    )
}

fn transaction_rules(kv: &KvLimits) -> [Rule; 2] {
    let next_txn_ops = kv.next.as_ref().and_then(|next| next.txn_ops);
    [
        Rule::new(
            "settings.state.txn_ops",
            kv.txn_ops >= MIN_TRANSACTION_MUTATIONS,
            "must be at least 3",
        ),
        Rule::new(
            "settings.state.next.txn_ops",
            next_txn_ops.is_none_or(|mutations| mutations >= MIN_TRANSACTION_MUTATIONS),
            "must be at least 3",
        ),
    ]
}

fn team_amounts_rule(teams: &[Team]) -> Rule {
    let amounts = teams.iter().flat_map(|team| {
        [
            team.quota_cores,
            team.max_cores,
            team.quota_accelerators,
            team.max_accelerators,
        ]
    });
    Rule::new(
        "settings.teams",
        amounts.into_iter().all(is_valid_amount),
        "amounts must be numbers of 0 or more",
    )
}

fn is_valid_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
