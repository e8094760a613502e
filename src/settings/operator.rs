//! The operators' own settings: an S-expression in which every key is optional.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Location, SettingsError};

/// The settings. `deploy/operator.lisp` lists every key with its default, range and reason.
///
/// Keys are the fields' names with hyphens, unless a serde rename says otherwise; an alias is
/// another name of the same key. Messages and the printed effective values use the former.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operator {
    /// Time to live of a shard leader's lease in the key-value store, in seconds.
    pub lease_s: f64,
    /// Time between two renewals of the lease, in seconds.
    pub renew_s: f64,
    /// How long before its lease may expire a leader stops acting, in seconds.
    pub lease_margin_s: f64,
    /// Time between two snapshots of a changed shard, in seconds.
    pub snapshot_s: f64,
    /// Age of changes not yet in a snapshot from which on no task is started, in seconds.
    pub staleness_s: f64,
    /// Share of the key-value store's write rate that snapshots may use.
    pub snapshot_write_share: f64,
    /// How late a heartbeat has to be for its machine to get no new tasks, in seconds.
    pub suspect_late_s: f64,
    /// How late a heartbeat has to be for a machine that answers no probe to be declared dead
    /// and deleted, so that its tasks can start elsewhere, in seconds.
    #[serde(rename = "abandon-late-s", alias = "declare-dead-late-s")]
    pub declare_dead_late_s: f64,
    /// Capacity kept free, as a multiple of what running and waiting tasks need.
    pub headroom: f64,
    /// How long a machine may be idle before it is scaled in, in seconds.
    pub idle_s: f64,
    /// How long capacity for a team's unused quota is kept after its last job ended, in seconds.
    #[serde(rename = "guarantee-hold-s", alias = "quota-hold-s")]
    pub quota_hold_s: f64,
    /// How long no machine is requested of a type and zone of which the cloud had none, in
    /// seconds.
    #[serde(rename = "refused-s", alias = "scale-out-retry-s")]
    pub scale_out_retry_s: f64,
    /// How long at the most a controller that can reach neither the key-value store nor the
    /// leader renews workers' leases under an advance delegation, in seconds.
    #[serde(rename = "keep-alone-s", alias = "advance-delegation-s")]
    pub advance_delegation_s: f64,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            lease_s: 3.0,
            renew_s: 0.5,
            lease_margin_s: 0.3,
            snapshot_s: 3.0,
            staleness_s: 15.0,
            snapshot_write_share: 0.5,
            suspect_late_s: 2.25,
            declare_dead_late_s: 3.25,
            headroom: 0.1,
            idle_s: 10.0,
            quota_hold_s: 30.0,
            scale_out_retry_s: 15.0,
            advance_delegation_s: 45.0,
        }
    }
}

/// A key's value and what it may be.
struct Bounded {
    key: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
}

impl Operator {
    /// Parses and checks the file's text; `file` is for messages only.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let operator: Self =
            serde_lexpr::from_str(text).map_err(|source| SettingsError::SExpression {
                file: file.to_owned(),
                location: Location::from(&source),
                source,
            })?;
        operator.check(file)?;
        Ok(operator)
    }

    /// Reports the first value that is out of its range.
    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let wrong = self
            .bounded_values()
            .into_iter()
            .find(|bounded| !bounded.range.contains(&bounded.value));
        match wrong {
            None => Ok(()),
            Some(Bounded { key, value, range }) => Err(SettingsError::Field {
                file: file.to_owned(),
                field: key.to_owned(),
                why: format!("must be {} to {}, not {value}", range.start(), range.end()),
            }),
        }
    }

    fn bounded_values(&self) -> [Bounded; 13] {
        let max_lease_share = self.lease_s / 3.0;
        [
            ("lease-s", self.lease_s, 1.0..=60.0),
            ("renew-s", self.renew_s, 0.1..=max_lease_share),
            (
                "lease-margin-s",
                self.lease_margin_s,
                0.05..=max_lease_share,
            ),
            ("snapshot-s", self.snapshot_s, 0.2..=60.0),
            ("staleness-s", self.staleness_s, self.snapshot_s..=600.0),
            (
                "snapshot-write-share",
                self.snapshot_write_share,
                0.05..=0.9,
            ),
            ("suspect-late-s", self.suspect_late_s, 0.5..=600.0),
            (
                "abandon-late-s",
                self.declare_dead_late_s,
                self.suspect_late_s..=3600.0,
            ),
            ("headroom", self.headroom, 0.0..=10.0),
            ("idle-s", self.idle_s, 0.0..=86_400.0),
            ("guarantee-hold-s", self.quota_hold_s, 0.0..=86_400.0),
            ("refused-s", self.scale_out_retry_s, 1.0..=3600.0),
            ("keep-alone-s", self.advance_delegation_s, 0.0..=600.0),
        ]
        .map(|(key, value, range)| Bounded { key, value, range })
    }

    /// Time to live of a shard leader's lease.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Time between two renewals of the lease.
    pub fn renew(&self) -> Duration {
        Duration::from_secs_f64(self.renew_s)
    }

    /// Time between two snapshots of a changed shard.
    pub fn snapshot(&self) -> Duration {
        Duration::from_secs_f64(self.snapshot_s)
    }

    /// Age of changes not yet in a snapshot from which on no task is started.
    pub fn staleness(&self) -> Duration {
        Duration::from_secs_f64(self.staleness_s)
    }

    /// Lateness of a heartbeat from which on its machine gets no new tasks.
    pub fn suspect_late(&self) -> Duration {
        Duration::from_secs_f64(self.suspect_late_s)
    }

    /// Lateness of a heartbeat from which on its machine may be declared dead.
    pub fn declare_dead_late(&self) -> Duration {
        Duration::from_secs_f64(self.declare_dead_late_s)
    }

    /// How long a machine may be idle before it is scaled in.
    pub fn idle(&self) -> Duration {
        Duration::from_secs_f64(self.idle_s)
    }

    /// How long capacity for a team's unused quota is kept after its last job ended.
    pub fn quota_hold(&self) -> Duration {
        Duration::from_secs_f64(self.quota_hold_s)
    }

    /// Pause before a refused scale-out of a machine type in a zone is tried again.
    pub fn scale_out_retry(&self) -> Duration {
        Duration::from_secs_f64(self.scale_out_retry_s)
    }

    /// Longest time of an advance delegation.
    pub fn advance_delegation(&self) -> Duration {
        Duration::from_secs_f64(self.advance_delegation_s)
    }
}

#[cfg(test)]
mod tests;
