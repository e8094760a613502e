//! All workers together: their steps, the messages to them, and faults of their
//! machines.

use std::time::Duration;

use rand::Rng;

use super::network::{CommandBatch, HeartbeatAnswer, Message};
use super::worker::{LaunchTimes, Worker};
use super::{STEP, Simulation, lasts};
use crate::coordination::shard::CommandOutcome;
use crate::protocol::workers::{Command, WorkerHeartbeat};

/// Share of the heartbeats that the network duplicates.
const DUPLICATES: f64 = 0.1;
/// How late a duplicate arrives, in milliseconds.
const DUPLICATE_DELAY_MS: std::ops::Range<u64> = 1_000..60_000;
/// The interval between two heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: std::ops::Range<u64> = 2250..3750;
/// How long an image takes to fetch, in milliseconds.
const FETCH_TIME_MS: std::ops::Range<u64> = 0..3000;
/// How long a task, or a gang, runs, in milliseconds.
pub(super) const RUN_TIME_MS: std::ops::Range<u64> = 2000..20_000;

impl Simulation {
    pub(super) fn step_workers(&mut self) {
        for id in self.machines() {
            self.step_worker(&id);
        }
    }

    fn step_worker(&mut self, id: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.dead) else {
            return;
        };
        worker.expire_partition(now);
        worker.expire_lease(now);
        if lasts(worker.hangs_until, now) {
            return;
        }
        worker.hangs_until = None;
        let started = worker.advance_tasks(&mut self.truth, now);
        if worker.next_heartbeat <= now {
            let heartbeat = worker.heartbeat();
            let interval = Duration::from_millis(self.rng.random_range(HEARTBEAT_INTERVAL_MS));
            worker.next_heartbeat = now + interval;
            if let Some(fencing_token) = worker.renew_by_delegate(&self.truth, now) {
                self.delegated_answers.insert(fencing_token, now);
            }
            self.send_heartbeat(heartbeat);
        }
        for task in started {
            self.check_start(&task, id);
        }
    }

    fn send_heartbeat(&mut self, heartbeat: WorkerHeartbeat) {
        if self.rng.random_bool(DUPLICATES) {
            let delay = Duration::from_millis(self.rng.random_range(DUPLICATE_DELAY_MS));
            self.send_after(delay, Message::DuplicateHeartbeat(heartbeat.clone()));
        }
        let sent = self.now;
        self.send(Message::Heartbeat { sent, heartbeat });
    }

    pub(super) fn receive_heartbeat_answer(&mut self, answer: &HeartbeatAnswer) {
        let now = self.now;
        let worker = self.workers.get_mut(&answer.machine);
        if worker.is_some_and(|worker| worker.accept_answer(answer, now)) {
            self.execute_commands(&answer.machine, &answer.commands);
        }
    }

    pub(super) fn receive_commands(&mut self, batch: CommandBatch) {
        let now = self.now;
        let worker = self.workers.get_mut(&batch.machine);
        let Some(worker) = worker.filter(|worker| !worker.dead) else {
            return;
        };
        if lasts(worker.inbound_unreachable_until, now) {
            self.send_no_answer(batch);
            return;
        }
        if let Some(until) = worker.hangs_until {
            let wait = until.saturating_duration_since(now) + STEP;
            self.send_after(wait, Message::Commands(batch));
            return;
        }
        let accepted = worker.accept_commands(&batch);
        if accepted {
            self.execute_commands(&batch.machine, &batch.commands);
        }
        self.answer_commands(batch, accepted);
    }

    /// A worker answers commands with a heartbeat, which may be lost.
    fn answer_commands(&mut self, batch: CommandBatch, accepted: bool) {
        let Some(worker) = self.workers.get_mut(&batch.machine) else {
            return;
        };
        let heartbeat = worker.heartbeat();
        let outcome = match accepted {
            true => CommandOutcome::Executed(heartbeat),
            false => CommandOutcome::Refused(heartbeat),
        };
        if self.rng.random_bool(self.faults.loss) {
            self.send_no_answer(batch);
        } else {
            self.send(Message::CommandAnswer { batch, outcome });
        }
    }

    fn execute_commands(&mut self, machine: &str, commands: &[Command]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        for command in commands {
            // Drawn for each command, so that a seed replays the same run.
            let times = LaunchTimes {
                fetch: Duration::from_millis(self.rng.random_range(FETCH_TIME_MS)),
                run: Duration::from_millis(self.rng.random_range(RUN_TIME_MS)),
            };
            worker.execute(command, &times, now);
        }
    }

    /// Holds all messages of a machine. Half of the time the leader has delegated
    /// the renewal of its lease in advance.
    pub(crate) fn partition(&mut self, id: &str, time: Duration) {
        let delegated = self.rng.random_bool(0.5);
        let fencing_token = delegated.then_some(self.store.leader_token);
        let now = self.now;
        self.set_fault(id, |worker| {
            worker.partition(now + time, fencing_token, now);
        });
    }

    pub(crate) fn hang(&mut self, id: &str, time: Duration) {
        let until = Some(self.now + time);
        self.set_fault(id, |worker| worker.hangs_until = until);
    }

    /// Neither answers nor commands reach the machine for a while.
    pub(crate) fn block_inbound(&mut self, id: &str, time: Duration) {
        let until = Some(self.now + time);
        self.set_fault(id, |worker| worker.inbound_unreachable_until = until);
    }

    /// The machine's heartbeats reach no controller for a while.
    pub(crate) fn block_outbound(&mut self, id: &str, time: Duration) {
        let until = Some(self.now + time);
        self.set_fault(id, |worker| worker.outbound_unreachable_until = until);
    }

    /// The machine stops for good, but stays listed until it is deleted.
    pub(crate) fn kill(&mut self, id: &str) {
        self.set_fault(id, |worker| {
            worker.dead = true;
            worker.tasks.clear();
        });
    }

    fn set_fault(&mut self, id: &str, fault: impl FnOnce(&mut Worker)) {
        if let Some(worker) = self.workers.get_mut(id) {
            fault(worker);
        }
    }
}
