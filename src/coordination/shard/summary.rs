//! Overviews of the shard for operators: a line for the log, and the text of the status page, which
//! is for people: no program may rely on its format.

use std::collections::BTreeMap;
use std::time::Instant;

use super::autoscaler::hosts_services;
use super::{Job, Shard};
use crate::protocol::users::JobKind;

impl Shard {
    /// The numbers of jobs, machines and attempts and the use of cores, as one line for the log.
    pub fn summary(&self) -> String {
        let attempts: usize = self.machines.values().map(|m| m.attempts.len()).sum();
        let waiting: u32 = self.jobs.values().map(Job::waiting).sum();
        let [on_demand, spot] = [false, true].map(|is_spot| self.core_usage(is_spot));
        format!(
            "jobs {} waiting {} machines {} attempts {} unreconciled {} on-demand {} spot {}",
            self.jobs.len(),
            waiting,
            self.machines.len(),
            attempts,
            self.unreconciled.len(),
            on_demand,
            spot,
        )
    }

    /// How the cores of on-demand machines, or of spot instances, are used.
    fn core_usage(&self, is_spot: bool) -> String {
        let (mut total, mut service_hosts, mut services, mut batch) = (0.0, 0.0, 0.0, 0.0);
        for machine in self.machines.values().filter(|m| m.spot == is_spot) {
            let cores = self
                .machine_types
                .get(&*machine.machine_type)
                .map_or(0.0, |machine_type| machine_type.cores);
            total += cores;
            if hosts_services(machine) {
                service_hosts += cores;
            }
            for (spec, count) in &machine.load.tasks {
                let cores = spec.cores * f64::from(*count);
                match spec.kind {
                    JobKind::Service => services += cores,
                    JobKind::Batch | JobKind::Gang => batch += cores,
                }
            }
        }
        format!("{total} cores ({services} services on {service_hosts}, {batch} batch)")
    }

    /// The summary, the queued writes, and the state of each team and machine, as text for the
    /// operators' status page.
    pub fn describe(&self, now: Instant) -> String {
        let mut text = format!(
            "{}\ncommands under tokens {} to {}\n{}\ninvariant violations: {}\n",
            self.summary(),
            self.command_tokens().leadership(),
            self.command_tokens().highest(),
            self.writes.describe(now),
            self.violation_count,
        );
        let mut tasks_by_team: BTreeMap<&str, (u32, usize)> = BTreeMap::new();
        for job in self.jobs.values() {
            let counts = tasks_by_team.entry(&job.spec.team).or_default();
            counts.0 += job.waiting();
            counts.1 += job.live().len();
        }
        for (team, (waiting, live)) in tasks_by_team {
            text.push_str(&format!(
                "team {team}: {waiting} tasks wait, {live} on machines\n"
            ));
        }
        for machine in self.machines.values() {
            let state = match machine {
                m if m.is_deleting() => "deleting",
                m if m.draining => "draining",
                m if m.last_contact.is_none() => "no contact yet",
                m if m.is_schedulable(now, &self.policy) => "schedulable",
                _ => "not schedulable",
            };
            text.push_str(&format!(
                "{} {} {}{}: {state}, {} attempts, last contact {:?} ago\n",
                machine.id,
                machine.machine_type,
                machine.zone,
                if machine.spot { " spot" } else { "" },
                machine.attempts.len(),
                machine
                    .last_contact
                    .map(|_| machine.since_last_contact(now)),
            ));
        }
        text
    }
}
