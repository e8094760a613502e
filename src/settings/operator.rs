//! The operators' settings file: an S-expression in which every key is optional.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Location, SettingsError};

/// The operators' settings. `deploy/operator.lisp` lists every key with its default, its range and
/// the reason for it.
///
/// A key is the name of its field with hyphens, or the name in the field's serde rename if there
/// is one. A serde alias is another accepted name of the key. Error messages and the printed
/// effective values use the key, not the alias.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operator {
    /// Time to live of a shard leader's lease in the key-value store, in seconds.
    pub lease_s: f64,
    /// Time between two renewals of the lease, in seconds.
    pub renew_s: f64,
    /// Safety margin of the lease: how long before its lease may expire a leader stops acting, in
    /// seconds.
    pub lease_margin_s: f64,
    /// Time between two snapshots of a changed shard, in seconds.
    pub snapshot_s: f64,
    /// How long changes of the shard may be missing from the snapshot before no more tasks are
    /// started, in seconds.
    pub staleness_s: f64,
    /// Share of the key-value store's write rate that snapshots may use.
    pub snapshot_write_share: f64,
    /// How late a machine's heartbeat has to be for the machine to get no new tasks, in seconds.
    pub suspect_late_s: f64,
    /// How late the heartbeat of a machine that answers no probe has to be for the machine to be
    /// declared dead and deleted, so that its tasks can start elsewhere, in seconds.
    #[serde(rename = "abandon-late-s", alias = "declare-dead-late-s")]
    pub declare_dead_late_s: f64,
    /// Free capacity to maintain, as a multiple of what running and waiting tasks need.
    pub headroom: f64,
    /// How long a machine may be idle before it is deleted by a scale-in, in seconds.
    pub idle_s: f64,
    /// How long capacity for a team's unused quota is kept after the team's last job ended, in
    /// seconds.
    #[serde(rename = "guarantee-hold-s", alias = "quota-hold-s")]
    pub quota_hold_s: f64,
    /// Pause before machines of a type are requested again in a zone where the cloud had no
    /// capacity of that type, in seconds.
    #[serde(rename = "refused-s", alias = "scale-out-retry-s")]
    pub scale_out_retry_s: f64,
    /// The longest time for which a controller that can reach neither the key-value store nor the
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

/// The value of a key and its allowed range.
struct BoundedValue {
    key: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
}

impl Operator {
    /// Parses and validates the file's text. `file` is the file's name for error messages.
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

    /// Checks that every value is within its range, and reports the first that isn't.
    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let out_of_range = self
            .bounded_values()
            .into_iter()
            .find(|bounded| !bounded.range.contains(&bounded.value));
        match out_of_range {
            None => Ok(()),
            Some(BoundedValue { key, value, range }) => Err(SettingsError::Field {
                file: file.to_owned(),
                field: key.to_owned(),
                why: format!("must be {} to {}, not {value}", range.start(), range.end()),
            }),
        }
    }

    fn bounded_values(&self) -> [BoundedValue; 13] {
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
        .map(|(key, value, range)| BoundedValue { key, value, range })
    }

    /// Returns the time to live of a shard leader's lease.
    pub fn lease_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Returns the time between two renewals of the lease.
    pub fn renewal_interval(&self) -> Duration {
        Duration::from_secs_f64(self.renew_s)
    }

    /// Returns the time between two snapshots of a changed shard.
    pub fn snapshot_interval(&self) -> Duration {
        Duration::from_secs_f64(self.snapshot_s)
    }

    /// Returns how long changes of the shard may be missing from the snapshot before no more tasks
    /// are started.
    pub fn staleness(&self) -> Duration {
        Duration::from_secs_f64(self.staleness_s)
    }

    /// Returns how late a machine's heartbeat has to be for the machine to get no new tasks.
    pub fn suspect_late(&self) -> Duration {
        Duration::from_secs_f64(self.suspect_late_s)
    }

    /// Returns how late a machine's heartbeat has to be for the machine to be declared dead, if it
    /// answers no probe.
    pub fn declare_dead_late(&self) -> Duration {
        Duration::from_secs_f64(self.declare_dead_late_s)
    }

    /// Returns how long a machine may be idle before it is deleted by a scale-in.
    pub fn max_idle_time(&self) -> Duration {
        Duration::from_secs_f64(self.idle_s)
    }

    /// Returns how long capacity for a team's unused quota is kept after the team's last job ended.
    pub fn quota_hold(&self) -> Duration {
        Duration::from_secs_f64(self.quota_hold_s)
    }

    /// Returns the pause before a refused scale-out of a machine type in a zone is retried.
    pub fn scale_out_retry(&self) -> Duration {
        Duration::from_secs_f64(self.scale_out_retry_s)
    }

    /// Returns the longest duration of an advance delegation.
    pub fn advance_delegation(&self) -> Duration {
        Duration::from_secs_f64(self.advance_delegation_s)
    }
}

#[cfg(test)]
mod tests;
