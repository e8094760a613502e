//! The autoscaler: scales the shard's machines out and in.
//!
//! Every tick it retries what the cloud has not answered and declares lost machines dead. Every
//! half second it makes a plan: it compares the demand (waiting tasks, foreseen arrivals,
//! reserved quota) with the capacity that exists or is on its way, then rents machines,
//! drains little used ones and deletes those that are not needed.
//!
//! Decisions are functions of a read-only [`AutoscalerView`](view::AutoscalerView) and the
//! time; `impl Shard` in `plan`, `drain`, `scale_out`, `scale_in` and `machine_loss` carries
//! them out.
//!
//! [`Shard::tick`] calls [`Shard::autoscale`]; the scheduler asks which machines cost extra
//! and what is reserved for moving services; the reconciler reports boots and begins
//! deletions. The autoscaler never places a task and never calls the cloud: requests leave as
//! [`Action`](super::Action)s.

mod arrivals;
mod backoff;
mod boot_estimates;
mod boot_times;
mod capacity;
mod demand;
mod drain;
mod foreseen;
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

use self::arrivals::ClassHistory;
use self::backoff::CapacityBackoff;
use self::boot_times::BootTimes;
use self::machine_kind::usual_boot;
pub(super) use self::release::{costs_extra, hosts_services, releasable};
use self::rentals::PendingRentals;
pub(super) use self::scale_in::DeletionReason;
pub use self::scale_out::RentalOutcome;
use super::{Machine, Shard};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, Priority};

/// Pause between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Time constant of the moving average of the cores within reach of a priority.
const REACHABLE_CORES_WINDOW: Duration = Duration::from_secs(60);

/// The names of deleted machines are kept at least this long: an older machine list may
/// still contain them.
const DELETED_MACHINE_RETENTION: Duration = Duration::from_secs(900);

/// What the autoscaler remembers between two plans.
///
/// Invariant: a rental is requested from the cloud only after its record is durable, and the
/// name of a request is never used again (see [`PendingRentals`]).
#[derive(Debug, Default)]
pub(super) struct Autoscaler {
    rentals: PendingRentals,
    backoff: CapacityBackoff,
    boot_times: BootTimes,
    last_plan: Option<Instant>,
    /// Arrivals by job class.
    classes: BTreeMap<String, ClassHistory>,
    /// When each team last had an unfinished job, as far as this leader has seen.
    last_work: BTreeMap<String, Instant>,
    /// Moving average, by priority, of the cores on low-cost machines within its reach.
    reachable_cores: BTreeMap<Priority, f64>,
}

impl Autoscaler {
    /// Records how long a machine took to boot whose first heartbeat has come.
    pub(super) fn record_boot(&mut self, machine: &Machine, kind: &MachineType, now: Instant) {
        let took = now.saturating_duration_since(machine.rented);
        let ratio = took.as_secs_f64() / usual_boot(kind).as_secs_f64().max(1.0);
        let (kind, zone) = (&machine.machine_type, &machine.zone);
        self.boot_times
            .record_boot(kind, zone, machine.rented, ratio, now);
    }

    /// How many times longer than usual machines of a type take to boot in a zone; 1 at least.
    pub(super) fn boot_slowness(&self, machine_type: &str, zone: &str, now: Instant) -> f64 {
        self.boot_times.slowness(machine_type, zone, now)
    }

    /// Records a job that was accepted at a moment not long before `now`.
    pub(super) fn record_arrival(&mut self, spec: &JobSpec, at: Instant, now: Instant) {
        match self.classes.get_mut(&spec.class) {
            Some(history) => history.record(spec, at, now),
            None => {
                let mut history = ClassHistory::new(spec);
                history.record(spec, at, now);
                self.classes.insert(spec.class.clone(), history);
            }
        }
    }

    /// Records that a team has an unfinished job.
    fn record_work(&mut self, team: &str, now: Instant) {
        if let Some(last) = self.last_work.get_mut(team) {
            *last = now;
        } else {
            self.last_work.insert(team.to_owned(), now);
        }
    }

    /// When a team last had an unfinished job, if this leader has seen one.
    fn last_work(&self, team: &str) -> Option<Instant> {
        self.last_work.get(team).copied()
    }

    /// Updates the moving average of the cores within reach of a priority.
    fn record_reachable_cores(&mut self, priority: Priority, cores: f64) {
        let weight = PLAN_INTERVAL.as_secs_f64() / REACHABLE_CORES_WINDOW.as_secs_f64();
        let average = self.reachable_cores.entry(priority).or_insert(cores);
        *average += (cores - *average) * weight;
    }

    /// The average number of cores within reach of a priority; 0 if none was recorded.
    fn average_reachable_cores(&self, priority: Priority) -> f64 {
        self.reachable_cores.get(&priority).copied().unwrap_or(0.0)
    }

    /// Whether the next plan is due; if so, `now` counts as its time.
    fn begin_plan(&mut self, now: Instant) -> bool {
        let recent = |last| now.saturating_duration_since(last) < PLAN_INTERVAL;
        if self.last_plan.is_some_and(recent) {
            return false;
        }
        self.last_plan = Some(now);
        true
    }
}

impl Shard {
    /// Periodic work: retries, lost machines and, when it is due, a plan.
    pub(super) fn autoscale(&mut self, now: Instant) {
        self.retry_cloud_requests(now);
        self.delete_lost_machines(now);
        if !self.autoscaler.begin_plan(now) {
            return;
        }
        self.deleted_machines
            .forget_older(DELETED_MACHINE_RETENTION, now);
        if self.types.is_empty() {
            return;
        }
        self.plan(now);
    }
}
