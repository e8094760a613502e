//! Workers that this owner can't hear, while another controller does.
//!
//! When zones are cut from one another, the owner lends the keeping of silent
//! workers to a controller that hears them: it may answer their reports with
//! the owner's term, so that their leases go on and what runs there runs on,
//! and it stops what belongs to jobs that are over. Meanwhile no lease is taken
//! to be over, and when the loan ends, leases count from the last moment at
//! which the keeper may have answered.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::commands::stop;
use super::{Fact, Job, Machine, Shard};
use crate::coordination::drift;
use crate::coordination::lease::KEEPING;
use crate::protocol::state::Change;
use crate::protocol::workers::{Command, Report, TaskState};
use crate::storage::keys;
use crate::storage::records::{KeeperRecord, VERSION};

/// How long keepers have to account for their workers: a report or two, and the
/// writing and reading of what they say.
const INVENTORY_WAIT: Duration = Duration::from_secs(12);

/// For what a keeper decided in time and sent a little later.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);

/// How a loan stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Loan {
    /// The keeper may answer from the moment the write is asked for.
    Lent,
    /// The end of the loan is being written.
    Ending,
    /// It ended in the state service before this moment.
    Ended(Instant),
}

/// Loans by the keeper's label.
pub(super) type Loans = BTreeMap<String, Loan>;

/// What a keeper answers to a report: it starts nothing, but what belongs to a
/// job that is over must go, since a worker that is kept outlives the time in
/// which a cancelled job has to end.
pub fn keeper_commands(report: &Report, is_open: impl Fn(&str) -> bool) -> Vec<Command> {
    report
        .tasks
        .iter()
        .filter(|line| line.state != TaskState::Ended && !is_open(&line.task.job))
        .map(|line| stop(&line.task, line.attempt, Duration::ZERO))
        .collect()
}

impl Shard {
    /// Whether a controller may keep silent workers.
    pub fn has_lent_to(&self, label: &str) -> bool {
        self.loans.get(label) == Some(&Loan::Lent)
    }

    /// The controllers that may keep silent workers.
    pub fn keepers(&self) -> Vec<String> {
        let lent = |(label, loan): (&String, &Loan)| (*loan == Loan::Lent).then(|| label.clone());
        self.loans.iter().filter_map(lent).collect()
    }

    /// Lends the keeping of silent workers to a controller that hears them. If
    /// this owner doesn't know yet what is on all machines, the keeper is asked
    /// to write what its workers hold.
    pub fn lend(&mut self, label: &str, now: Instant) {
        if self.has_lent_to(label) {
            return;
        }
        let record = KeeperRecord {
            v: VERSION,
            term: self.term,
            inventory: !self.unresolved.is_empty(),
        };
        self.lending_since.get_or_insert(now);
        let Ok(value) = serde_json::to_value(record) else {
            return;
        };
        tracing::info!(
            term = self.term,
            keeper = label,
            "keeping of silent workers lent"
        );
        self.loans.insert(label.to_owned(), Loan::Lent);
        self.writes
            .fact(Fact::Lent, Change::put(keys::keeper(label), value));
        self.restless = true;
    }

    /// Whether a keeper may write what this owner has to know.
    pub fn wants_inventories(&self) -> bool {
        self.others_keep() && !self.unresolved.is_empty()
    }

    /// A report that a worker gave to its keeper, perhaps a while ago. It tells
    /// what is on the machine, not that the machine can be reached.
    pub fn relayed(&mut self, report: &Report, now: Instant) {
        let id = report.machine.as_str();
        if report.term != self.term || !self.unresolved.contains(id) {
            return;
        }
        let heard = self.machines.get(id).and_then(|machine| machine.heard);
        self.apply_report(report, now);
        if let Some(machine) = self.machines.get_mut(id) {
            machine.heard = heard;
        }
    }

    /// Others may have answered workers by standing loans until `kept`, as far
    /// as is known at this moment.
    pub fn note_kept(&mut self, kept: Option<Instant>, at: Instant) {
        self.kept = Some((at, kept));
    }

    /// The moment for which others' answers are known, and the last of them.
    pub(super) fn kept_up_to(&self, now: Instant) -> Option<(Instant, Option<Instant>)> {
        if self.policy.alone.is_zero() {
            return Some((now, None));
        }
        self.kept
    }

    /// Whether a machine's zone is cut off, and a controller there may go on
    /// answering its worker by a standing loan.
    pub(super) fn kept_in_cut(&self, machine: &Machine) -> bool {
        !self.policy.alone.is_zero() && self.cut_off.contains(&*machine.zone)
    }

    /// Whether far more work waits to be accounted for than may be on machines
    /// that are not: then it is better to give these back than to wait.
    fn much_waits(&self) -> bool {
        let presumed: u32 = self
            .unresolved
            .iter()
            .filter_map(|id| self.presumed.get(id))
            .sum();
        let waiting: u32 = self.jobs.values().map(Job::unaccounted).sum();
        waiting > presumed.saturating_mul(2)
    }

    /// Whether a silent machine is better left alone: it may be cut off with
    /// its zone, and be kept there. But what no keeper has accounted for in
    /// time holds up all work that may have been on it.
    pub(super) fn left_to_keepers(&self, machine: &Machine, now: Instant) -> bool {
        if !self.unresolved.contains(&machine.id) {
            return self.others_keep() || self.cut_off.contains(&*machine.zone);
        }
        self.lending_since
            .is_some_and(|since| now.saturating_duration_since(since) < INVENTORY_WAIT)
            || (self.kept_in_cut(machine) && !self.much_waits())
    }

    /// Ends a loan: the keeper can be reached again, or hears nobody.
    pub fn recall(&mut self, label: &str) {
        if !self.has_lent_to(label) {
            return;
        }
        tracing::info!(
            term = self.term,
            keeper = label,
            "keeping of workers recalled"
        );
        self.loans.insert(label.to_owned(), Loan::Ending);
        self.writes.fact(
            Fact::Recalled(label.to_owned()),
            Change::delete(keys::keeper(label)),
        );
        self.restless = true;
    }

    /// The end of a loan is written; it may have been lent again since.
    pub(super) fn recalled(&mut self, label: &str, now: Instant) {
        if let Some(loan) = self.loans.get_mut(label)
            && *loan == Loan::Ending
        {
            *loan = Loan::Ended(now);
        }
    }

    /// Whether a worker's lease may have been renewed without our knowledge.
    pub(super) fn others_keep(&self) -> bool {
        !self.loans.is_empty()
    }

    /// Forgets loans under which nobody can answer any more. Until then the
    /// keeper may have answered any silent worker.
    pub(super) fn end_loans(&mut self, now: Instant) {
        let answers = drift::longest(KEEPING) + DELIVERY_MARGIN;
        let over = |loan: &Loan| matches!(loan, Loan::Ended(at) if *at + answers <= now);
        if !self.loans.values().any(over) {
            return;
        }
        self.loans.retain(|_, loan| !over(loan));
        if self.loans.is_empty() {
            self.lending_since = None;
        }
        let lease_over = now + self.policy.lease_surely_over();
        for id in self.machines.ids(|m| m.lease_over < lease_over) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.lease_over = lease_over;
            }
        }
    }
}
