//! How long new machines take to boot, by what was observed recently.
//!
//! The cloud names a usual boot time for each machine type. During an incident all machines
//! of a type in a zone boot many times later than that, or none boots at all. Plans go by the
//! slower of the usual and the observed time, so that late machines are neither counted on too
//! early nor ordered again and again. Where none boots, at most as many again are ordered, and
//! each further round waits twice as long.
//!
//! All ratios are multiples of the usual boot time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::shard::Machine;

/// How long an observed boot counts.
const BOOT_MEMORY: Duration = Duration::from_secs(300);
/// Number of boots, those of the machines rented last, whose median is the current slowness.
const SAMPLES: usize = 5;
/// A boot under this ratio is in time.
const IN_TIME_RATIO: f64 = 2.0;
/// How long a boot counts as evidence that machines do boot.
const RECENT_BOOT: Duration = Duration::from_secs(60);
/// Least number of overdue machines of a type in a zone that show an incident, provided that
/// fewer booted recently.
const MIN_OVERDUE: usize = 3;
/// Machines that have not booted are expected to take this multiple of their age.
const OVERDUE_FACTOR: f64 = 1.5;
/// How often the wait for machines that never boot doubles at the most.
const MAX_WAIT_DOUBLINGS: u32 = 4;
/// Upper bound of the slowness, as a ratio.
const MAX_SLOWNESS: f64 = 30.0;

/// A machine that booted.
#[derive(Debug, Clone, Copy)]
struct ObservedBoot {
    rented: Instant,
    at: Instant,
    /// How long it took, as a ratio.
    ratio: f64,
}

/// A machine type in a zone: the unit in which boots are observed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BootPool {
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
}

impl From<&Machine> for BootPool {
    fn from(machine: &Machine) -> Self {
        Self {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
        }
    }
}

/// A machine that should have booted and has not.
#[derive(Debug, Clone)]
pub(super) struct OverdueBoot {
    pub pool: BootPool,
    pub rented: Instant,
    /// Its age, as a ratio.
    pub ratio: f64,
}

/// The boots of one machine type in one zone.
#[derive(Debug, Default)]
struct PoolBoots {
    /// Recent boots, in the order in which the machines were rented.
    observed: Vec<ObservedBoot>,
    /// Expected slowness by the ages of overdue machines; 0 without an incident.
    overdue_slowness: f64,
    /// How often in a row machines were abandoned without one having booted since.
    abandoned: u32,
    last_abandoned: Option<Instant>,
}

impl PoolBoots {
    fn record_boot(&mut self, boot: ObservedBoot) {
        let now = boot.at;
        self.observed
            .retain(|known| now.saturating_duration_since(known.at) < BOOT_MEMORY);
        self.observed.push(boot);
        self.observed.sort_by_key(|boot| boot.rented);
        self.abandoned = 0;
    }

    /// When the newest machine was rented that booted in time. Machines overdue from before
    /// say nothing about those rented now.
    fn last_rented_in_time(&self) -> Option<Instant> {
        let in_time = self
            .observed
            .iter()
            .rev()
            .find(|boot| boot.ratio < IN_TIME_RATIO);
        in_time.map(|boot| boot.rented)
    }

    fn update_overdue(&mut self, overdue: &[&OverdueBoot], now: Instant) {
        let since = self.last_rented_in_time();
        let relevant = overdue
            .iter()
            .filter(|machine| since.is_none_or(|at| machine.rented > at));
        let mut ratios: Vec<f64> = relevant.map(|machine| machine.ratio).collect();
        let is_recent = |boot: &&ObservedBoot| now.saturating_duration_since(boot.at) < RECENT_BOOT;
        let recent_boots = self.observed.iter().filter(is_recent).count();
        let incident = ratios.len() >= MIN_OVERDUE && ratios.len() > recent_boots;
        self.overdue_slowness = if incident {
            median(&mut ratios) * OVERDUE_FACTOR
        } else {
            0.0
        };
    }

    fn has_incident(&self) -> bool {
        self.overdue_slowness > 0.0
    }

    /// How slow the newest machines booted; 1 at least.
    fn observed_slowness(&self, now: Instant) -> f64 {
        let newest = self.observed.iter().rev().take(SAMPLES);
        let remembered = newest.filter(|boot| now.saturating_duration_since(boot.at) < BOOT_MEMORY);
        let mut ratios: Vec<f64> = remembered.map(|boot| boot.ratio).collect();
        median(&mut ratios).clamp(1.0, MAX_SLOWNESS)
    }

    /// The same, or as slow as the overdue machines suggest if that is more.
    fn slowness(&self, now: Instant) -> f64 {
        self.observed_slowness(now)
            .max(self.overdue_slowness.min(MAX_SLOWNESS))
    }

    fn wait_factor(&self, now: Instant) -> f64 {
        let doubled = 1 << self.abandoned.min(MAX_WAIT_DOUBLINGS);
        self.observed_slowness(now).max(f64::from(doubled))
    }

    fn record_abandoned(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECENT_BOOT;
        if self.has_incident() && !self.last_abandoned.is_some_and(is_recent) {
            self.abandoned += 1;
            self.last_abandoned = Some(now);
        }
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
    pools: BTreeMap<String, BTreeMap<String, PoolBoots>>,
}

impl BootTimes {
    fn get(&self, machine_type: &str, zone: &str) -> Option<&PoolBoots> {
        self.pools.get(machine_type)?.get(zone)
    }

    fn entry(&mut self, machine_type: &str, zone: &str) -> &mut PoolBoots {
        let zones = self.pools.entry(machine_type.to_owned()).or_default();
        zones.entry(zone.to_owned()).or_default()
    }

    /// How many times longer than usual machines of a type take to boot in a zone; 1 at least.
    pub(super) fn slowness(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        self.get(machine_type, zone)
            .map_or(1.0, |boots| boots.slowness(now))
    }

    /// Whether machines of some type in some zone take much longer than usual.
    pub(super) fn any_slow(&self, now: Instant) -> bool {
        let mut pools = self.pools.values().flat_map(BTreeMap::values);
        pools.any(|boots| boots.slowness(now) > OVERDUE_FACTOR)
    }

    /// How many times longer than usual to wait for a machine that has not booted: as long as
    /// others took, and twice as long each time that all had to be abandoned.
    pub(super) fn wait_factor(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        self.get(machine_type, zone)
            .map_or(1.0, |boots| boots.wait_factor(now))
    }

    /// Records that a machine booted.
    pub(super) fn record_boot(
        &mut self,
        machine_type: &str,
        zone: &str,
        rented: Instant,
        ratio: f64,
        now: Instant,
    ) {
        let at = now;
        let boot = ObservedBoot { rented, at, ratio };
        self.entry(machine_type, zone).record_boot(boot);
    }

    /// Records that a machine was abandoned that never booted.
    pub(super) fn record_abandoned(&mut self, pool: &BootPool, now: Instant) {
        self.entry(&pool.machine_type, &pool.zone)
            .record_abandoned(now);
    }

    /// Takes over which machines are overdue now, in all pools.
    pub(super) fn update_overdue(&mut self, overdue: &[OverdueBoot], now: Instant) {
        let mut by_pool: BTreeMap<(&str, &str), Vec<&OverdueBoot>> = BTreeMap::new();
        for machine in overdue {
            let BootPool { machine_type, zone } = &machine.pool;
            self.entry(machine_type, zone);
            by_pool
                .entry((machine_type, zone))
                .or_default()
                .push(machine);
        }
        for (machine_type, zones) in &mut self.pools {
            for (zone, boots) in zones {
                let had_incident = boots.has_incident();
                let overdue = by_pool.get(&(machine_type.as_str(), zone.as_str()));
                boots.update_overdue(overdue.map_or(&[], Vec::as_slice), now);
                let incident = boots.has_incident();
                if incident != had_incident {
                    tracing::info!(machine_type, zone, incident, "slow machine boots changed");
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
