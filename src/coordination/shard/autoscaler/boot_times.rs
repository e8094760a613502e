//! How long new machines attempt_number to come up, by what was seen lately.
//!
//! The cloud names a usual time for each type. In trouble, all machines of a type in a
//! zone come many times later than that, or none comes at all. Plans go by the slower of
//! the usual time and the one seen, so that late machines are neither counted on too soon
//! nor ordered again and again. Where none comes up, no more than as many again are ordered,
//! and the next ones are waited for twice as long.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long what was seen counts.
const MEMORY: Duration = Duration::from_secs(300);
/// Machines that came up, the last to be rented, that tell how long they attempt_number now.
const TELLING: usize = 5;
/// Times of the usual boot within which a machine is up in time.
const IN_TIME: f64 = 2.0;
/// How long a machine that came up shows that machines come up.
const ARRIVED_LATELY: Duration = Duration::from_secs(60);
/// Overdue machines of a type in a zone that show trouble, if fewer came up lately.
const OVERDUE_TO_WORRY: usize = 3;
/// Machines that are not up yet are reckoned to attempt_number so much longer than so far.
const STILL_TO_COME: f64 = 1.5;
/// How often the wait for machines that never come up doubles at the most.
const MOST_DOUBLINGS: u32 = 4;
/// Slowest boots that are reckoned with, in times of the usual.
const SLOWEST: f64 = 30.0;

/// A machine that came up.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    rented: Instant,
    at: Instant,
    /// How long it took, in times of the usual boot.
    ratio: f64,
}

/// A machine that should be up and isn't.
#[derive(Debug, Clone)]
pub(super) struct Overdue {
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub rented: Instant,
    /// Its age in times of the usual boot.
    pub ratio: f64,
}

/// Boots of one type of machine in one zone.
#[derive(Debug, Default)]
struct Boots {
    /// What came up lately, the last to be rented at the end.
    arrivals: Vec<Arrival>,
    /// How slow boots are by the ages of machines that are overdue; 0 without trouble.
    overdue: f64,
    /// How often in a row machines were given up without one having come up since.
    given_up: u32,
    last_given_up: Option<Instant>,
}

impl Boots {
    fn note_arrival(&mut self, arrival: Arrival) {
        let now = arrival.at;
        self.arrivals
            .retain(|known| now.saturating_duration_since(known.at) < MEMORY);
        self.arrivals.push(arrival);
        self.arrivals.sort_by_key(|arrival| arrival.rented);
        self.given_up = 0;
    }

    /// Until when machines were rented that came up in time: what is overdue from before
    /// says nothing of those rented now.
    fn in_time_up_to(&self) -> Option<Instant> {
        let in_time = self.arrivals.iter().rev().find(|a| a.ratio < IN_TIME);
        in_time.map(|arrival| arrival.rented)
    }

    fn note_overdue(&mut self, overdue: &[Overdue], now: Instant) {
        let since = self.in_time_up_to();
        let counts = overdue
            .iter()
            .filter(|machine| since.is_none_or(|at| machine.rented > at));
        let mut ratios: Vec<f64> = counts.map(|machine| machine.ratio).collect();
        let lately = |a: &&Arrival| now.saturating_duration_since(a.at) < ARRIVED_LATELY;
        let arrived = self.arrivals.iter().filter(lately).count();
        let trouble = ratios.len() >= OVERDUE_TO_WORRY && ratios.len() > arrived;
        self.overdue = if trouble {
            median(&mut ratios) * STILL_TO_COME
        } else {
            0.0
        };
    }

    /// How slow the last machines were that came up; 1 at least.
    fn seen_slowness(&self, now: Instant) -> f64 {
        let last = self.arrivals.iter().rev().take(TELLING);
        let remembered = last.filter(|a| now.saturating_duration_since(a.at) < MEMORY);
        let mut ratios: Vec<f64> = remembered.map(|arrival| arrival.ratio).collect();
        median(&mut ratios).clamp(1.0, SLOWEST)
    }

    /// The same, or as slow as those seem that are overdue.
    fn slowness(&self, now: Instant) -> f64 {
        self.seen_slowness(now).max(self.overdue.min(SLOWEST))
    }
}

/// The middle of some numbers; 0 if there are none.
fn median(numbers: &mut [f64]) -> f64 {
    numbers.sort_by(f64::total_cmp);
    numbers.get(numbers.len() / 2).copied().unwrap_or(0.0)
}

/// Boot times by machine type and zone.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    boots: BTreeMap<String, BTreeMap<String, Boots>>,
}

impl BootTimes {
    /// How many times longer than usual machines of a type attempt_number in a zone; 1 at least.
    pub(super) fn slowness(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        let zones = self.boots.get(machine_type);
        let boots = zones.and_then(|zones| zones.get(zone));
        boots.map_or(1.0, |boots| boots.slowness(now))
    }

    /// Whether machines of some kind attempt_number much longer than usual.
    pub(super) fn in_trouble(&self, now: Instant) -> bool {
        let mut boots = self.boots.values().flat_map(BTreeMap::values);
        boots.any(|boots| boots.slowness(now) > STILL_TO_COME)
    }

    fn entry(&mut self, machine_type: &str, zone: &str) -> &mut Boots {
        let zones = self.boots.entry(machine_type.to_owned()).or_default();
        zones.entry(zone.to_owned()).or_default()
    }

    /// A machine has come up.
    pub(super) fn note_arrival(
        &mut self,
        machine_type: &str,
        zone: &str,
        rented: Instant,
        ratio: f64,
        now: Instant,
    ) {
        let at = now;
        let arrival = Arrival { rented, at, ratio };
        self.entry(machine_type, zone).note_arrival(arrival);
    }

    /// Takes in the machines that are not up though they should be.
    pub(super) fn note_overdue(&mut self, overdue: &[Overdue], now: Instant) {
        let mut by_kind: BTreeMap<(&str, &str), Vec<Overdue>> = BTreeMap::new();
        for machine in overdue {
            let kind = (&*machine.machine_type, &*machine.zone);
            by_kind.entry(kind).or_default().push(machine.clone());
        }
        for (machine_type, zone) in by_kind.keys() {
            self.entry(machine_type, zone);
        }
        for (machine_type, zones) in &mut self.boots {
            for (zone, boots) in zones {
                let kind = (machine_type.as_str(), zone.as_str());
                let was_trouble = boots.overdue > 0.0;
                boots.note_overdue(by_kind.get(&kind).map_or(&[], Vec::as_slice), now);
                let trouble = boots.overdue > 0.0;
                if trouble != was_trouble {
                    tracing::info!(machine_type, zone, trouble, "machines come late");
                }
            }
        }
    }

    /// How many times longer than usual a machine is waited for that is not up yet: as long
    /// as others took, and twice as long each time that all had to be given up.
    pub(super) fn patience(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        let zones = self.boots.get(machine_type);
        let boots = zones.and_then(|zones| zones.get(zone));
        boots.map_or(1.0, |boots| {
            let doubled = 1 << boots.given_up.min(MOST_DOUBLINGS);
            boots.seen_slowness(now).max(f64::from(doubled))
        })
    }

    /// A machine is given up that never came up.
    pub(super) fn note_given_up(&mut self, machine_type: &str, zone: &str, now: Instant) {
        let boots = self.entry(machine_type, zone);
        let lately = |at: Instant| now.saturating_duration_since(at) < ARRIVED_LATELY;
        if boots.overdue > 0.0 && !boots.last_given_up.is_some_and(lately) {
            boots.given_up += 1;
            boots.last_given_up = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;
