//! The controller that leads the shard: its failover, its events, and the execution
//! of the actions that the shard decides.

use std::time::Instant;

use rand::Rng;

use super::network::{CommandBatch, FencedFinish, FencedWrite, HeartbeatAnswer, Message};
use super::worker::Worker;
use super::{Simulation, lasts};
use crate::coordination::shard::tests::fixtures::{machine_types, policy};
use crate::coordination::shard::{Action, CommandOutcome, HeartbeatOutcome, Shard};
use crate::protocol::workers::WorkerHeartbeat;
use crate::protocol::{FencingToken, MachineId};

/// The present leader. Messages to an earlier incarnation do not reach it.
pub(super) struct Leader {
    incarnation: u64,
    shard: Shard,
}

impl Simulation {
    /// The leader is lost; its messages that are under way still arrive.
    pub(crate) fn crash_leader(&mut self) {
        self.leader = None;
    }

    /// A new leader recovers the shard, once the key-value store works.
    pub(crate) fn elect_leader(&mut self) {
        if let Some(until) = self.store.outage_until.filter(|until| *until > self.now) {
            self.run(until - self.now);
        }
        let fencing_token = self.store.acquire_leadership();
        self.leader_incarnations += 1;
        let recovered = self.store.recovered_state();
        let mut shard = Shard::recover(policy(), fencing_token, recovered, self.now, 0);
        shard.set_machine_types(&machine_types());
        self.leader = Some(Leader {
            incarnation: self.leader_incarnations,
            shard,
        });
        self.execute_actions();
    }

    /// Applies an event to the leader's shard, if there is a leader.
    pub(super) fn on_leader(&mut self, event: impl FnOnce(&mut Shard)) {
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            event(&mut leader.shard);
            leader.shard.reconcile(now);
        }
        self.execute_actions();
    }

    /// Applies an event to the leader's shard, if the leader is this incarnation.
    pub(super) fn on_incarnation(&mut self, incarnation: u64, event: impl FnOnce(&mut Shard)) {
        let leader = self.leader.as_ref();
        if leader.is_some_and(|leader| leader.incarnation == incarnation) {
            self.on_leader(event);
        }
    }

    pub(super) fn leader_shard(&self) -> Option<&Shard> {
        self.leader.as_ref().map(|leader| &leader.shard)
    }

    /// Reports the delegates' answers to the leader, and lets its time pass.
    pub(super) fn tick_leader(&mut self) {
        let now = self.now;
        let answered = self.last_delegated_answer(now);
        self.on_leader(|shard| shard.note_advance_renewals(answered, now));
        self.on_leader(|shard| shard.tick(now));
    }

    /// When workers were last answered under a delegation of the present leader. A
    /// delegate that is partitioned with workers may answer them at any time.
    fn last_delegated_answer(&self, now: Instant) -> Option<Instant> {
        let fencing_token = self.store.leader_token;
        let may_be_answered = |worker: &Worker| {
            let delegation = worker.advance_delegation;
            delegation.is_some_and(|delegation| delegation.fencing_token == fencing_token)
        };
        match self.workers.values().any(may_be_answered) {
            true => Some(now),
            false => self.delegated_answers.get(&fencing_token).copied(),
        }
    }

    fn execute_actions(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (incarnation, fencing_token) = (leader.incarnation, leader.shard.fencing_token);
        for action in leader.shard.take_actions() {
            self.execute_action(incarnation, fencing_token, action);
        }
    }

    fn execute_action(&mut self, leader: u64, fencing_token: FencingToken, action: Action) {
        match action {
            Action::Command {
                machine,
                agent_epoch,
                number,
                commands,
                ..
            } => self.send_commands(CommandBatch {
                leader,
                fencing_token,
                machine: machine.to_string(),
                agent_epoch,
                number,
                commands,
            }),
            Action::Write(write) => self.send(Message::Write(FencedWrite {
                leader,
                fencing_token,
                write,
            })),
            Action::Finish { job, mod_revision } => self.send(Message::Finish(FencedFinish {
                fencing_token,
                job: job.to_string(),
                mod_revision,
            })),
            Action::ReadFinal { job } => {
                let record = self.store.final_record(&job);
                self.on_leader(|shard| shard.orphan_job_resolved(&job, record));
            }
            Action::Rent(rental) => self.send(Message::Rent { leader, rental }),
            Action::Delete(machines) => self.send(Message::Delete { leader, machines }),
            Action::Fenced { .. } => {}
        }
    }

    fn send_commands(&mut self, batch: CommandBatch) {
        if self.rng.random_bool(self.faults.loss) {
            self.send_no_answer(batch);
        } else {
            self.send(Message::Commands(batch));
        }
    }

    pub(super) fn receive_heartbeat(&mut self, sent: Instant, heartbeat: &WorkerHeartbeat) {
        // Another controller would forward it; the worker's next one serves as well.
        if self.rng.random_bool(self.faults.misdirection) {
            return;
        }
        let worker = self.workers.get(&heartbeat.machine);
        if worker.is_some_and(|worker| lasts(worker.outbound_unreachable_until, sent)) {
            return;
        }
        let now = self.now;
        let mut answer = None;
        self.on_leader(|shard| {
            if let HeartbeatOutcome::Answer(commands) = shard.heartbeat(heartbeat, now) {
                answer = Some((shard.fencing_token, commands));
            }
        });
        if let Some((fencing_token, commands)) = answer {
            self.send(Message::HeartbeatAnswer(HeartbeatAnswer {
                machine: heartbeat.machine.clone(),
                sent,
                agent_epoch: heartbeat.agent_epoch,
                fencing_token,
                commands,
            }));
        }
    }

    /// Only the first answer to a batch counts: then the leader stops waiting.
    pub(super) fn receive_command_answer(&mut self, batch: &CommandBatch, outcome: CommandOutcome) {
        let now = self.now;
        let machine: MachineId = batch.machine.as_str().into();
        let number = batch.number;
        self.on_incarnation(batch.leader, |shard| {
            let known = shard.machines().get(&machine);
            if known.is_some_and(|known| known.commands.awaits(number)) {
                shard.command_answered(&machine, number, &batch.commands, outcome, now);
            }
        });
    }
}
