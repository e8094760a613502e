//! The autoscaler: rents and deletes the shard's machines.
//!
//! On every tick it repeats cloud requests that were not answered and declares lost machines dead.
//! Every half second it makes a plan: it compares the demand (waiting tasks, forecast arrivals,
//! reserved quota) with the capacity that exists or is being added, then rents machines, drains
//! machines on which services use only part of the cores, and deletes machines that are not needed.
//!
//! Decisions are functions of a read-only [`AutoscalerView`](view::AutoscalerView) and the time;
//! the `impl Shard` blocks in `plan`, `drain`, `scale_out`, `scale_in` and `machine_loss` carry
//! them out.
//!
//! [`Shard::tick`] calls [`Shard::autoscale`]. The scheduler asks which machines cost extra and
//! which resources are reserved for services that move; the reconciler reports boots and begins
//! deletions. The autoscaler never places a task and never calls the cloud: requests leave as
//! [`Action`](super::Action)s.

mod arrivals;
mod backoff;
mod boot_estimates;
mod boot_times;
mod capacity;
mod demand;
mod drain;
mod forecast;
mod machine_kind;
mod machine_loss;
mod offer;
mod plan;
mod release;
mod rentals;
mod reserved_quota;
mod scale_in;
mod scale_out;
mod service_moves;
mod slack;
mod urgency;
mod view;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use self::arrivals::ClassArrivals;
use self::backoff::CapacityBackoff;
use self::boot_times::BootTimes;
use self::machine_kind::usual_boot_time;
pub(super) use self::release::{costs_extra, hosts_services, is_releasable};
use self::rentals::PendingRentals;
pub(super) use self::scale_in::DeletionReason;
pub use self::scale_out::RentalOutcome;
use super::{Machine, Shard};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, Priority};

/// Minimum time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Time constant of the moving average of the cores that a priority can obtain.
const OBTAINABLE_CORES_WINDOW: Duration = Duration::from_secs(60);

/// The ids of deleted machines are kept at least this long, because an outdated machine list may
/// still contain them.
const DELETED_MACHINE_RETENTION: Duration = Duration::from_secs(900);

/// State that the autoscaler keeps between two plans.
///
/// Invariant: a rental is requested from the cloud only after its record is durable, and a
/// request's name is never used again (see [`PendingRentals`]).
#[derive(Debug, Default)]
pub(super) struct Autoscaler {
    rentals: PendingRentals,
    backoff: CapacityBackoff,
    boot_times: BootTimes,
    last_plan_at: Option<Instant>,
    /// Recent arrivals by job class.
    arrivals_by_class: BTreeMap<String, ClassArrivals>,
    /// When each team last had an unfinished job, as far as this leader knows.
    last_work_by_team: BTreeMap<String, Instant>,
    /// Moving average, by priority, of the cores that its batch jobs can obtain on machines that
    /// cost nothing extra.
    average_cores_by_priority: BTreeMap<Priority, f64>,
}

impl Autoscaler {
    /// Records how long a machine took to boot. Called when its first heartbeat arrives.
    pub(super) fn record_boot(
        &mut self,
        machine: &Machine,
        machine_type: &MachineType,
        now: Instant,
    ) {
        let boot_time = now.saturating_duration_since(machine.rented);
        let ratio = boot_time.as_secs_f64() / usual_boot_time(machine_type).as_secs_f64().max(1.0);
        let (type_name, zone) = (&machine.machine_type, &machine.zone);
        self.boot_times
            .record_boot(type_name, zone, machine.rented, ratio, now);
    }

    /// How many times longer than usual machines of a type take to boot in a zone; at least 1.
    pub(super) fn boot_slowness(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        self.boot_times.slowness(machine_type, zone, now)
    }

    /// Records a job accepted at `accepted_at`, shortly before `now`.
    pub(super) fn record_arrival(&mut self, spec: &JobSpec, accepted_at: Instant, now: Instant) {
        match self.arrivals_by_class.get_mut(&spec.class) {
            Some(history) => history.record(spec, accepted_at, now),
            None => {
                let mut history = ClassArrivals::new(spec);
                history.record(spec, accepted_at, now);
                self.arrivals_by_class.insert(spec.class.clone(), history);
            }
        }
    }

    /// Records that a team has an unfinished job now.
    fn record_team_work(&mut self, team: &str, now: Instant) {
        if let Some(last) = self.last_work_by_team.get_mut(team) {
            *last = now;
        } else {
            self.last_work_by_team.insert(team.to_owned(), now);
        }
    }

    /// When a team last had an unfinished job; None if this leader has seen none.
    fn last_work(&self, team: &str) -> Option<Instant> {
        self.last_work_by_team.get(team).copied()
    }

    /// Updates the moving average of the cores that a priority can obtain.
    fn record_obtainable_cores(&mut self, priority: Priority, cores: f64) {
        let weight = PLAN_INTERVAL.as_secs_f64() / OBTAINABLE_CORES_WINDOW.as_secs_f64();
        let average = self
            .average_cores_by_priority
            .entry(priority)
            .or_insert(cores);
        *average += (cores - *average) * weight;
    }

    /// Average number of cores that a priority can obtain; 0 if none was recorded.
    fn average_obtainable_cores(&self, priority: Priority) -> f64 {
        self.average_cores_by_priority
            .get(&priority)
            .copied()
            .unwrap_or(0.0)
    }

    /// Whether the next plan is due; if so, records `now` as the time of the last plan.
    fn begin_plan_if_due(&mut self, now: Instant) -> bool {
        let is_recent = |last| now.saturating_duration_since(last) < PLAN_INTERVAL;
        if self.last_plan_at.is_some_and(is_recent) {
            return false;
        }
        self.last_plan_at = Some(now);
        true
    }
}

impl Shard {
    /// Repeats unanswered cloud requests, deletes lost machines and, when a plan is due, makes one.
    pub(super) fn autoscale(&mut self, now: Instant) {
        self.retry_cloud_requests(now);
        self.delete_lost_machines(now);
        if !self.autoscaler.begin_plan_if_due(now) {
            return;
        }
        self.deleted_machines
            .forget_older(DELETED_MACHINE_RETENTION, now);
        if self.machine_types.is_empty() {
            return;
        }
        self.plan(now);
    }
}
