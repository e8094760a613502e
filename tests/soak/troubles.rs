//! Brings about the troubles of a plan.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::deployment::Deployment;
use crate::plan::{CONTROLLERS, Plan, Trouble};
use crate::support::proxy::{Link, LinkFaults};
use crate::support::refusal::Refused;

/// How long a trouble of the leader waits for a leader.
const LEADER_WAIT: Duration = Duration::from_secs(4);
const LEADER_RECHECK: Duration = Duration::from_millis(100);

/// How much happened to the controllers of a run.
#[derive(Debug, Default)]
pub(crate) struct TroubleCounts {
    pub(crate) kills: AtomicUsize,
    pub(crate) pauses: AtomicUsize,
    pub(crate) refusals: AtomicUsize,
}

/// Brings about all troubles; returns when the last one is over.
pub(crate) async fn bring_about(plan: &Plan, deployment: &Arc<Deployment>) -> Arc<TroubleCounts> {
    let troubles = Arc::new(Troubles {
        deployment: deployment.clone(),
        counts: Arc::default(),
        store: tokio::sync::Mutex::default(),
    });
    let mut running = Vec::new();
    for planned in plan.troubles.clone() {
        let troubles = troubles.clone();
        running.push(tokio::spawn(async move {
            tokio::time::sleep(planned.at).await;
            troubles.run(planned.trouble).await;
        }));
    }
    for trouble in running {
        trouble.await.expect("a trouble ends");
    }
    troubles.counts.clone()
}

struct Troubles {
    deployment: Arc<Deployment>,
    counts: Arc<TroubleCounts>,
    /// The store refuses by one trouble at a time.
    store: tokio::sync::Mutex<()>,
}

impl Troubles {
    async fn run(&self, trouble: Trouble) {
        let links = &self.deployment.links;
        match trouble {
            Trouble::LeadersInSeries {
                leaders,
                term,
                down,
            } => self.end_leaders(leaders, term, down).await,
            Trouble::LeadersInSeriesWithFewConnections {
                leaders,
                term,
                heartbeats_refused,
            } => {
                let heartbeat_faults = LinkFaults {
                    refused: heartbeats_refused,
                    ..LinkFaults::default()
                };
                let heartbeats = add_faults(links.heartbeats.iter().flatten(), heartbeat_faults);
                let commands = add_faults(links.commands.iter(), cut(false));
                self.end_leaders(leaders, term, Duration::ZERO).await;
                remove_faults(heartbeats);
                remove_faults(commands);
            }
            Trouble::KillController { index, down } => self.kill(index, down).await,
            Trouble::PauseLeader { duration } => self.pause_leader(duration).await,
            Trouble::StoreRefuses { leader, all } => self.refuse(leader, all).await,
            Trouble::StoreUnreliable { duration, share } => {
                let faults = LinkFaults {
                    delayed: share,
                    answer_lost: share,
                    ..LinkFaults::default()
                };
                with_faults(links.store.iter(), faults, duration).await;
            }
            Trouble::PeersCut {
                first,
                second,
                duration,
                is_held,
            } => {
                let both = [&links.peers[first][second], &links.peers[second][first]];
                with_faults(both.into_iter(), cut(is_held), duration).await;
            }
            Trouble::FewConnections {
                group,
                duration,
                refused,
            } => {
                let faults = LinkFaults {
                    refused,
                    ..LinkFaults::default()
                };
                let group_links = links.heartbeats[group].iter();
                let group_links = group_links.chain([&links.commands[group]]);
                with_faults(group_links, faults, duration).await;
            }
            Trouble::WorkersMute { group, duration } => {
                with_faults(links.heartbeats[group].iter(), cut(false), duration).await;
            }
            Trouble::WorkersDeaf { group, duration } => {
                let answers_lost = LinkFaults {
                    answer_lost: 1.0,
                    ..LinkFaults::default()
                };
                tokio::join!(
                    with_faults(links.heartbeats[group].iter(), answers_lost, duration),
                    with_faults([&links.commands[group]].into_iter(), cut(true), duration),
                );
            }
            Trouble::CommandsLate {
                group,
                duration,
                share,
            } => {
                let faults = LinkFaults {
                    delayed: share,
                    ..LinkFaults::default()
                };
                with_faults([&links.commands[group]].into_iter(), faults, duration).await;
            }
            Trouble::HeartbeatsLate {
                group,
                duration,
                share,
            } => {
                let faults = LinkFaults {
                    repeated: share,
                    delayed: share / 2.0,
                    ..LinkFaults::default()
                };
                with_faults(links.heartbeats[group].iter(), faults, duration).await;
            }
            Trouble::LeaderCutFromWorkers { duration } => {
                if let Some(leader) = self.wait_for_leader().await {
                    let of_leader = links.heartbeats.iter().map(|group| &group[leader]);
                    with_faults(of_leader, cut(false), duration).await;
                }
            }
            Trouble::PartitionWithDelegate { group, duration } => {
                self.partition(group, duration).await;
            }
            Trouble::UserAnswersLost {
                index,
                duration,
                share,
            } => {
                let faults = LinkFaults {
                    answer_lost: share,
                    repeated: share,
                    ..LinkFaults::default()
                };
                with_faults([&links.users[index]].into_iter(), faults, duration).await;
            }
        }
    }

    /// Separates a group of workers and a controller that doesn't lead from the other controllers.
    async fn partition(&self, group: usize, duration: Duration) {
        let Some(leader) = self.wait_for_leader().await else {
            return;
        };
        let links = &self.deployment.links;
        let delegate = (leader + 1) % CONTROLLERS;
        let others = || (0..CONTROLLERS).filter(move |other| *other != delegate);
        let peers = others()
            .flat_map(|other| [&links.peers[delegate][other], &links.peers[other][delegate]]);
        let heartbeats = others().map(|other| &links.heartbeats[group][other]);
        let commands = std::iter::once(&links.commands[group]);
        tokio::join!(
            with_faults(peers.chain(commands), cut(true), duration),
            with_faults(heartbeats, cut(false), duration),
        );
    }

    async fn wait_for_leader(&self) -> Option<usize> {
        let find = async {
            loop {
                if let Some(leader) = self.deployment.leader().await {
                    return leader;
                }
                tokio::time::sleep(LEADER_RECHECK).await;
            }
        };
        tokio::time::timeout(LEADER_WAIT, find).await.ok()
    }

    async fn end_leaders(&self, leaders: u32, term: Duration, down: Duration) {
        for _ in 0..leaders {
            tokio::time::sleep(term).await;
            if let Some(leader) = self.wait_for_leader().await {
                self.kill(leader, down).await;
            }
        }
    }

    async fn kill(&self, index: usize, down: Duration) {
        self.deployment.cluster.lock().expect("cluster").stop(index);
        self.counts.kills.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(down).await;
        let mut cluster = self.deployment.cluster.lock().expect("cluster");
        cluster.start_again(index);
    }

    async fn pause_leader(&self, duration: Duration) {
        let Some(leader) = self.wait_for_leader().await else {
            return;
        };
        let Some(process_id) = self.signal(leader, None, Signal::SIGSTOP) else {
            return;
        };
        self.counts.pauses.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(duration).await;
        self.signal(leader, Some(process_id), Signal::SIGCONT);
    }

    /// Sends a signal to a controller's process if it runs and, if `expected` names one, is that
    /// process; returns its id.
    fn signal(&self, index: usize, expected: Option<u32>, signal: Signal) -> Option<u32> {
        let mut cluster = self.deployment.cluster.lock().expect("cluster");
        let process_id = cluster.running_process(index)?;
        if expected.is_some_and(|expected| expected != process_id) {
            return None;
        }
        kill(Pid::from_raw(process_id as i32), signal).ok()?;
        Some(process_id)
    }

    async fn refuse(&self, leader_only: Duration, all: Duration) {
        let _exclusive = self.store.lock().await;
        let refusal = &self.deployment.store.refusal;
        if let Some(leader) = self.wait_for_leader().await {
            refusal.set(Refused::Only(leader));
            tokio::time::sleep(leader_only).await;
        }
        refusal.set(Refused::Everybody);
        self.counts.refusals.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(all).await;
        refusal.set(Refused::Nobody);
    }
}

/// No request passes: each is refused, or held until the fault ends.
fn cut(is_held: bool) -> LinkFaults {
    LinkFaults {
        refused: if is_held { 0.0 } else { 1.0 },
        is_held,
        ..LinkFaults::default()
    }
}

fn add_faults<'a>(
    links: impl Iterator<Item = &'a Link>,
    faults: LinkFaults,
) -> Vec<(&'a Link, u64)> {
    links.map(|link| (link, link.add_faults(faults))).collect()
}

fn remove_faults(added: Vec<(&Link, u64)>) {
    for (link, number) in added {
        link.remove_faults(number);
    }
}

async fn with_faults(links: impl Iterator<Item = &Link>, faults: LinkFaults, duration: Duration) {
    let added = add_faults(links, faults);
    tokio::time::sleep(duration).await;
    remove_faults(added);
}
