//! How long new machines take to come up, by what was seen lately.
//!
//! The cloud names a usual time for each type. In trouble, all machines of a type in a
//! zone come many times later than that, or none comes at all. Plans go by the slower of
//! the usual time and the one seen, so that late machines are neither counted on too soon
//! nor ordered again and again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Weight of the newest machine in the average.
const NEWEST: f64 = 0.3;
/// How long what was seen counts.
const MEMORY: Duration = Duration::from_secs(300);
/// How long a machine that came up shows that machines come up.
const ARRIVED_LATELY: Duration = Duration::from_secs(60);
/// Overdue machines of a type in a zone that show trouble, if fewer came up lately.
const OVERDUE_TO_WORRY: usize = 3;
/// Machines that are not up yet are reckoned to take so much longer than so far.
const STILL_TO_COME: f64 = 1.5;
/// Slowest boots that are reckoned with, in times of the usual.
const SLOWEST: f64 = 30.0;

/// Boots of one type of machine in one zone; times are in times of the usual one.
#[derive(Debug, Default)]
struct Boots {
    average: Option<f64>,
    /// When machines came up, as far back as it matters.
    arrivals: Vec<Instant>,
    /// By the ages of those that are overdue, if these show trouble.
    overdue: f64,
}

impl Boots {
    fn arrived_lately(&self, now: Instant) -> usize {
        let lately = |at: &&Instant| now.saturating_duration_since(**at) < ARRIVED_LATELY;
        self.arrivals.iter().filter(lately).count()
    }

    fn slowness(&self, now: Instant) -> f64 {
        let remembered = |at: &Instant| now.saturating_duration_since(*at) < MEMORY;
        let seen = self
            .average
            .filter(|_| self.arrivals.iter().any(remembered));
        seen.unwrap_or(1.0).max(self.overdue).clamp(1.0, SLOWEST)
    }
}

/// Boot times by machine type and zone.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    boots: BTreeMap<String, BTreeMap<String, Boots>>,
}

impl BootTimes {
    /// How many times longer than usual machines of a type take in a zone; 1 at least.
    pub(super) fn slowness(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        let zones = self.boots.get(machine_type);
        let boots = zones.and_then(|zones| zones.get(zone));
        boots.map_or(1.0, |boots| boots.slowness(now))
    }

    /// Whether machines of some kind take much longer than usual.
    pub(super) fn in_trouble(&self, now: Instant) -> bool {
        let mut boots = self.boots.values().flat_map(BTreeMap::values);
        boots.any(|boots| boots.slowness(now) > STILL_TO_COME)
    }

    fn entry(&mut self, machine_type: &str, zone: &str) -> &mut Boots {
        let zones = self.boots.entry(machine_type.to_owned()).or_default();
        zones.entry(zone.to_owned()).or_default()
    }

    /// A machine has come up after so many times the usual time.
    pub(super) fn note_arrival(
        &mut self,
        machine_type: &str,
        zone: &str,
        ratio: f64,
        now: Instant,
    ) {
        let boots = self.entry(machine_type, zone);
        let ratio = ratio.clamp(0.0, SLOWEST);
        let average = boots.average.unwrap_or(ratio);
        boots.average = Some(average + (ratio - average) * NEWEST);
        boots
            .arrivals
            .retain(|at| now.saturating_duration_since(*at) < MEMORY);
        boots.arrivals.push(now);
    }

    /// Takes in the machines that are not up yet: by type and zone, the ages of those that
    /// are overdue, in times of the usual boot.
    pub(super) fn note_overdue<'a>(
        &mut self,
        overdue: impl Iterator<Item = (&'a str, &'a str, f64)>,
        now: Instant,
    ) {
        let mut ages: BTreeMap<(&str, &str), Vec<f64>> = BTreeMap::new();
        for (machine_type, zone, age) in overdue {
            ages.entry((machine_type, zone)).or_default().push(age);
        }
        for (machine_type, zones) in &mut self.boots {
            for (zone, boots) in zones {
                if !ages.contains_key(&(machine_type.as_str(), zone.as_str())) {
                    boots.overdue = 0.0;
                }
            }
        }
        for ((machine_type, zone), mut ages) in ages {
            ages.sort_by(f64::total_cmp);
            let median = ages[ages.len() / 2];
            let boots = self.entry(machine_type, zone);
            let trouble = ages.len() >= OVERDUE_TO_WORRY && ages.len() > boots.arrived_lately(now);
            let was_trouble = boots.overdue > 0.0;
            boots.overdue = if trouble { median * STILL_TO_COME } else { 0.0 };
            if trouble != was_trouble {
                tracing::info!(
                    machine_type,
                    zone,
                    overdue = ages.len(),
                    trouble,
                    "machines come late"
                );
            }
        }
    }
}

#[cfg(test)]
mod tests;
