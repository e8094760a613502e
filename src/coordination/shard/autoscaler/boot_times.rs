//! Observed boot times of new machines, by machine type and zone.
//!
//! The cloud states a usual boot time for each machine type. During an incident, all machines of a
//! type in a zone boot many times later than that, or none boots at all. Plans use the slower of
//! the usual and the observed time: machines that boot late are then neither counted on too early
//! nor rented again and again. If no machine boots, the replacements are together at most as many
//! as the machines that they replace, and each further round waits twice as long.
//!
//! The reconciler reports boots, scale-in reports abandoned machines, and every plan updates the
//! overdue machines. `boot_estimates` reads the result.
//!
//! All ratios are multiples of the machine type's usual boot time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::shard::Machine;

/// How long an observed boot counts towards the slowness of its pool.
const BOOT_RETENTION: Duration = Duration::from_secs(300);
/// The slowness of a pool is the median of this many boots: those of the machines rented last.
const MEDIAN_SAMPLES: usize = 5;
/// A boot with a ratio below this is on time.
const ON_TIME_RATIO: f64 = 2.0;
/// How long a boot counts as evidence that machines of the pool still boot, and the minimum time
/// between two counted rounds of abandoned machines.
const RECENT_BOOT_WINDOW: Duration = Duration::from_secs(60);
/// Fewest overdue machines in a pool that indicate an incident. There must also be more of them
/// than machines that booted recently.
const MIN_OVERDUE_MACHINES: usize = 3;
/// During an incident, the expected boot time is this multiple of the overdue machines' median age.
/// A pool whose slowness exceeds the same number counts as slow.
const OVERDUE_AGE_FACTOR: f64 = 1.5;
/// Most times that the wait for machines that never boot is doubled.
const MAX_WAIT_DOUBLINGS: u32 = 4;
/// Upper bound of a pool's slowness, as a ratio.
const MAX_SLOWNESS: f64 = 30.0;

/// The boot of one machine.
#[derive(Debug, Clone, Copy)]
struct ObservedBoot {
    rented: Instant,
    booted_at: Instant,
    /// Time from rental to boot, as a ratio.
    ratio: f64,
}

/// A machine type in a zone: boots are observed separately for each such pool.
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

/// A machine that has not booted although its boot is overdue.
#[derive(Debug, Clone)]
pub(super) struct OverdueBoot {
    pub pool: BootPool,
    pub rented: Instant,
    /// Time since the machine was rented, as a ratio.
    pub ratio: f64,
}

/// Recent boots, overdue machines and abandoned machines of one pool.
#[derive(Debug, Default)]
struct PoolBoots {
    /// Recent boots, ordered by when the machines were rented.
    observed_boots: Vec<ObservedBoot>,
    /// Slowness estimated from the ages of overdue machines; 0 if there is no incident.
    overdue_slowness: f64,
    /// Number of rounds in which machines were abandoned since the last boot.
    consecutive_abandonments: u32,
    last_abandonment: Option<Instant>,
}

impl PoolBoots {
    fn record_boot(&mut self, boot: ObservedBoot) {
        let now = boot.booted_at;
        self.observed_boots
            .retain(|known| now.saturating_duration_since(known.booted_at) < BOOT_RETENTION);
        self.observed_boots.push(boot);
        self.observed_boots.sort_by_key(|boot| boot.rented);
        self.consecutive_abandonments = 0;
    }

    /// Rental time of the most recently rented machine that booted on time. Overdue machines that
    /// were rented before it do not predict how machines rented now will boot.
    fn last_on_time_rental(&self) -> Option<Instant> {
        let newest_on_time = self
            .observed_boots
            .iter()
            .rev()
            .find(|boot| boot.ratio < ON_TIME_RATIO);
        newest_on_time.map(|boot| boot.rented)
    }

    fn update_overdue(&mut self, overdue: &[&OverdueBoot], now: Instant) {
        let last_on_time = self.last_on_time_rental();
        let relevant = overdue
            .iter()
            .filter(|machine| last_on_time.is_none_or(|at| machine.rented > at));
        let mut ratios: Vec<f64> = relevant.map(|machine| machine.ratio).collect();
        let is_recent = |boot: &&ObservedBoot| {
            now.saturating_duration_since(boot.booted_at) < RECENT_BOOT_WINDOW
        };
        let recent_boots = self.observed_boots.iter().filter(is_recent).count();
        let is_incident = ratios.len() >= MIN_OVERDUE_MACHINES && ratios.len() > recent_boots;
        self.overdue_slowness = if is_incident {
            median(&mut ratios) * OVERDUE_AGE_FACTOR
        } else {
            0.0
        };
    }

    fn has_incident(&self) -> bool {
        self.overdue_slowness > 0.0
    }

    /// Median ratio of the newest boots; at least 1.
    fn observed_slowness(&self, now: Instant) -> f64 {
        let newest = self.observed_boots.iter().rev().take(MEDIAN_SAMPLES);
        let remembered =
            newest.filter(|boot| now.saturating_duration_since(boot.booted_at) < BOOT_RETENTION);
        let mut ratios: Vec<f64> = remembered.map(|boot| boot.ratio).collect();
        median(&mut ratios).clamp(1.0, MAX_SLOWNESS)
    }

    /// The observed slowness, or the slowness estimated from overdue machines if that is greater.
    fn slowness(&self, now: Instant) -> f64 {
        self.observed_slowness(now)
            .max(self.overdue_slowness.min(MAX_SLOWNESS))
    }

    fn wait_factor(&self, now: Instant) -> f64 {
        let backoff_factor = 1 << self.consecutive_abandonments.min(MAX_WAIT_DOUBLINGS);
        self.observed_slowness(now).max(f64::from(backoff_factor))
    }

    fn record_abandoned(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECENT_BOOT_WINDOW;
        if self.has_incident() && !self.last_abandonment.is_some_and(is_recent) {
            self.consecutive_abandonments += 1;
            self.last_abandonment = Some(now);
        }
    }
}

/// The median of the numbers, the upper one of the two middle ones for an even count; 0 for an
/// empty slice.
fn median(numbers: &mut [f64]) -> f64 {
    numbers.sort_by(f64::total_cmp);
    numbers.get(numbers.len() / 2).copied().unwrap_or(0.0)
}

/// Boot times of all pools: by machine type, then by zone.
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

    /// How many times longer than usual machines of a type take to boot in a zone; at least 1.
    pub(super) fn slowness(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        self.get(machine_type, zone)
            .map_or(1.0, |boots| boots.slowness(now))
    }

    /// Whether any pool takes much longer than usual to boot machines.
    pub(super) fn is_any_pool_slow(&self, now: Instant) -> bool {
        let mut pools = self.pools.values().flat_map(BTreeMap::values);
        pools.any(|boots| boots.slowness(now) > OVERDUE_AGE_FACTOR)
    }

    /// The factor by which the usual wait for a machine that has not booted is extended: the
    /// observed slowness, or 2 to the power of the number of abandoned rounds (at most
    /// [`MAX_WAIT_DOUBLINGS`]) if that is greater.
    pub(super) fn wait_factor(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        self.get(machine_type, zone)
            .map_or(1.0, |boots| boots.wait_factor(now))
    }

    /// Records that a machine booted at `now`.
    pub(super) fn record_boot(
        &mut self,
        machine_type: &str,
        zone: &str,
        rented: Instant,
        ratio: f64,
        now: Instant,
    ) {
        let booted_at = now;
        let boot = ObservedBoot {
            rented,
            booted_at,
            ratio,
        };
        self.entry(machine_type, zone).record_boot(boot);
    }

    /// Records that a machine that never booted was abandoned. Counts only during an incident, and
    /// at most once per [`RECENT_BOOT_WINDOW`].
    pub(super) fn record_abandoned(&mut self, pool: &BootPool, now: Instant) {
        self.entry(&pool.machine_type, &pool.zone)
            .record_abandoned(now);
    }

    /// Updates the incident state of every pool from the complete list of overdue machines.
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
                    tracing::info!(
                        machine_type,
                        zone,
                        incident,
                        "slow-boot incident began or ended"
                    );
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
