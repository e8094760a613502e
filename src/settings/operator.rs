//! The operators' own settings, an S-expression with every field optional.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::SettingsError;

/// Defaults and limits are described in `deploy/operator.lisp`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Operator {
    /// Time to live of a controller's lease in the key-value store.
    pub lease_s: f64,
    /// How often the lease is renewed.
    pub renew_s: f64,
    /// How long before the lease's earliest end a leader stops acting.
    pub lease_margin_s: f64,
    /// How often a changed shard is snapshotted.
    pub snapshot_s: f64,
    /// Age of unsnapshotted changes past which nothing is started.
    pub staleness_s: f64,
    /// Share of the key-value store's writes that snapshots may use.
    pub snapshot_write_share: f64,
    /// Silence past the latest usual heartbeat after which a machine gets no new
    /// tasks.
    pub suspect_late_s: f64,
    /// Silence past the latest usual heartbeat after which a machine is given back,
    /// so that its tasks can move.
    pub abandon_late_s: f64,
    /// Capacity held ready, as a multiple of what runs and waits.
    pub headroom: f64,
    /// How long a machine may stay idle before it is given back.
    pub idle_s: f64,
    /// How long unused room for a team's guarantee is held after its last job ended.
    pub guarantee_hold_s: f64,
    /// How long a refused kind of machine is not asked for again.
    pub refused_s: f64,
    /// How long a controller goes on answering workers without the key-value store
    /// and the leader, at the most.
    #[serde(rename = "keep-alone-s")]
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
            abandon_late_s: 3.25,
            headroom: 0.1,
            idle_s: 10.0,
            guarantee_hold_s: 30.0,
            refused_s: 15.0,
            advance_delegation_s: 45.0,
        }
    }
}

impl Operator {
    /// Reads and checks the file's text; `file` is for messages only.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let operator: Self =
            serde_lexpr::from_str(text).map_err(|error| SettingsError::Syntax {
                file: file.to_owned(),
                why: match error.location() {
                    Some(at) => format!("line {}, column {}: {error}", at.line(), at.column()),
                    None => error.to_string(),
                },
            })?;
        operator.check(file)?;
        Ok(operator)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let ranges = [
            ("lease-s", self.lease_s, 1.0, 60.0),
            ("renew-s", self.renew_s, 0.1, self.lease_s / 3.0),
            (
                "lease-margin-s",
                self.lease_margin_s,
                0.05,
                self.lease_s / 3.0,
            ),
            ("snapshot-s", self.snapshot_s, 0.2, 60.0),
            ("staleness-s", self.staleness_s, self.snapshot_s, 600.0),
            ("snapshot-write-share", self.snapshot_write_share, 0.05, 0.9),
            ("suspect-late-s", self.suspect_late_s, 0.5, 600.0),
            (
                "abandon-late-s",
                self.abandon_late_s,
                self.suspect_late_s,
                3600.0,
            ),
            ("headroom", self.headroom, 0.0, 10.0),
            ("idle-s", self.idle_s, 0.0, 86_400.0),
            ("guarantee-hold-s", self.guarantee_hold_s, 0.0, 86_400.0),
            ("refused-s", self.refused_s, 1.0, 3600.0),
            ("keep-alone-s", self.advance_delegation_s, 0.0, 600.0),
        ];
        for (field, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(SettingsError::Field {
                    file: file.to_owned(),
                    field: field.to_owned(),
                    why: format!("must be {least} to {most}, not {value}"),
                });
            }
        }
        Ok(())
    }

    /// Time to live of a controller's lease.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Pause between two renewals.
    pub fn renew(&self) -> Duration {
        Duration::from_secs_f64(self.renew_s)
    }

    /// Pause between two snapshots.
    pub fn snapshot(&self) -> Duration {
        Duration::from_secs_f64(self.snapshot_s)
    }

    /// Age of unsnapshotted changes past which nothing is started.
    pub fn staleness(&self) -> Duration {
        Duration::from_secs_f64(self.staleness_s)
    }

    /// Lateness after which a machine gets no new tasks.
    pub fn suspect_late(&self) -> Duration {
        Duration::from_secs_f64(self.suspect_late_s)
    }

    /// Lateness after which a machine is given back.
    pub fn abandon_late(&self) -> Duration {
        Duration::from_secs_f64(self.abandon_late_s)
    }

    /// How long a machine may stay idle.
    pub fn idle(&self) -> Duration {
        Duration::from_secs_f64(self.idle_s)
    }

    /// How long unused room for a guarantee is held.
    pub fn guarantee_hold(&self) -> Duration {
        Duration::from_secs_f64(self.guarantee_hold_s)
    }

    /// Pause before a refused kind of machine is asked for again.
    pub fn refused(&self) -> Duration {
        Duration::from_secs_f64(self.refused_s)
    }

    /// Longest time without the key-value store and the leader.
    pub fn advance_delegation(&self) -> Duration {
        Duration::from_secs_f64(self.advance_delegation_s)
    }
}

#[cfg(test)]
mod tests;
