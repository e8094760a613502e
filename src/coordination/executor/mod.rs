//! Carrying out what the shard decides, and telling it how that went.

use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use tracing::{debug, error, info, warn};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::shard::{Action, CommandOutcome, RentalOutcome, ShardWrite};
use crate::protocol::cloud::{ListPage, Listed, MachineNames, MachineType, MachineTypes, Rental};
use crate::protocol::kv::{Mutation, Transaction};
use crate::protocol::users::Stage;
use crate::protocol::workers::{Command, CommandBatch};
use crate::protocol::{FencingToken, MachineId};
use crate::storage::kv_client::{KvError, TransactionOutcome, backoff};
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord, SequenceRecord};
use crate::storage::{job_transition, keys};
use crate::transport::client::CallError;

const COMMAND_DEADLINE: Duration = Duration::from_secs(2);
/// For an empty batch, which only asks for a heartbeat.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);
const CLOUD_DEADLINE: Duration = Duration::from_secs(4);
/// Entries on one page of the machine list.
const LIST_PAGE: usize = 500;

/// Carries out one action.
pub async fn execute(node: Arc<Node>, lease: Arc<ShardLease>, action: Action) {
    match action {
        Action::Command {
            machine,
            addr,
            agent_epoch,
            number,
            commands,
        } => {
            let outcome = command(&node, &lease, &addr, agent_epoch, &commands).await;
            node.with_shard(&lease, "answers", |shard, now| {
                shard.command_answered(&machine, number, &commands, outcome, now);
            });
        }
        Action::Write(write) => {
            let written = write_shard(&node, &lease, &write).await;
            node.with_shard(&lease, "written", |shard, now| match written {
                Written::Applied => shard.shard_written(&write, now),
                Written::TooLarge => shard.write_refused(&write, now),
                Written::Ended => {}
            });
        }
        Action::Finish { job, mod_revision } => finish(&node, &lease, &job, mod_revision).await,
        Action::ReadFinal { job } => read_final(&node, &lease, &job).await,
        Action::Rent(rental) => {
            let outcome = if lease.live(node.now()) {
                rent(&node, &rental).await
            } else {
                RentalOutcome::Unknown
            };
            node.with_shard(&lease, "cloud", |shard, now| {
                shard.rental_answered(&rental.request, outcome, now);
            });
        }
        Action::Delete(machines) => {
            let done = lease.live(node.now()) && delete(&node, &machines).await;
            node.with_shard(&lease, "cloud", |shard, now| {
                shard.deletion_answered(&machines, done, now);
            });
        }
        Action::Fenced { seen } => check_fence(&node, &lease, seen).await,
    }
}

async fn command(
    node: &Node,
    lease: &ShardLease,
    addr: &str,
    agent_epoch: u64,
    commands: &[Command],
) -> CommandOutcome {
    let Ok(addr) = addr.parse() else {
        return CommandOutcome::NotSent;
    };
    let batch = CommandBatch {
        fencing_token: lease.fencing_token,
        agent_epoch,
        commands: commands.to_vec(),
    };
    let Ok(body) = serde_json::to_vec(&batch) else {
        return CommandOutcome::NotSent;
    };
    let (deadline, turns) = if commands.is_empty() {
        (PROBE_DEADLINE, &node.probes)
    } else {
        (COMMAND_DEADLINE, &node.commands)
    };
    let _turn = turns.acquire().await;
    if !lease.live(node.now()) {
        return CommandOutcome::NotSent;
    }
    let answer = node
        .workers_http()
        .call(Method::POST, addr, "/commands", body, deadline)
        .await;
    match answer {
        Ok(answer) => match (answer.status, serde_json::from_slice(&answer.body)) {
            (StatusCode::OK, Ok(heartbeat)) => CommandOutcome::Executed(heartbeat),
            (StatusCode::CONFLICT, Ok(heartbeat)) => CommandOutcome::Refused(heartbeat),
            (status, _) => {
                warn!(%addr, %status, "a worker's answer can't be read");
                CommandOutcome::NoAnswer
            }
        },
        Err(CallError::NotSent) => CommandOutcome::NotSent,
        Err(CallError::NoAnswer | CallError::TooLarge) => CommandOutcome::NoAnswer,
    }
}

/// What became of a shard write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    Applied,
    /// The key-value store won't take it as it is, now or later.
    TooLarge,
    /// The lease ended before it was known to be applied.
    Ended,
}

/// Applies one shard write, fenced by the fencing token and ordered by the sequence
/// number.
async fn write_shard(node: &Node, lease: &ShardLease, write: &ShardWrite) -> Written {
    let mut sequence = lease.sequence.lock().await;
    let n = sequence.n + 1;
    let record = SequenceRecord {
        format_version: FORMAT_VERSION,
        fencing_token: lease.fencing_token,
        number: n,
    };
    let Ok(value) = serde_json::to_value(&record) else {
        return Written::Ended;
    };
    let mut attempt = 0;
    while !lease.ended() {
        let mut txn = Transaction::default()
            .guard(keys::leader(), lease.fencing_token.revision())
            .guard(keys::sequence(), sequence.mod_revision)
            .change(Mutation::put(keys::sequence(), value.clone()));
        txn.mutations.extend(write.mutations.iter().cloned());
        match node.kv.txn(&txn, KV_DEADLINE).await {
            Ok(TransactionOutcome::Committed { revision }) => {
                sequence.mod_revision = revision;
                sequence.n = n;
                return Written::Applied;
            }
            Ok(TransactionOutcome::Conflict) | Err(KvError::NoAnswer) => {
                // Either an earlier try was applied after all, or the shard is
                // not ours any more, or (without an answer) nothing is known.
                match read_sequence(node).await {
                    Ok(Some((mod_revision, at))) if at == record => {
                        sequence.mod_revision = mod_revision;
                        sequence.n = n;
                        return Written::Applied;
                    }
                    Ok(found) => {
                        let mod_revision = found.map_or(0, |(mod_revision, _)| mod_revision);
                        if mod_revision != sequence.mod_revision {
                            warn!(
                                fencing_token = %lease.fencing_token,
                                "the shard was written by another leader"
                            );
                            lease.finish();
                            return Written::Ended;
                        }
                        if !still_ours(node, lease).await {
                            return Written::Ended;
                        }
                    }
                    Err(_) => {}
                }
            }
            Err(KvError::TooLarge(why)) => {
                error!(why, "a shard write is refused");
                return Written::TooLarge;
            }
            Err(KvError::Unexpected(why)) => {
                error!(why, "a shard write is refused");
            }
            Err(_) => {}
        }
        attempt += 1;
        tokio::time::sleep(backoff(attempt)).await;
    }
    Written::Ended
}

async fn read_sequence(node: &Node) -> Result<Option<(u64, SequenceRecord)>, KvError> {
    let item = node.kv.get(&keys::sequence(), KV_DEADLINE).await?;
    Ok(item.and_then(|item| {
        let record = serde_json::from_value(item.value).ok()?;
        Some((item.mod_revision, record))
    }))
}

/// Whether the leadership record is still this lease's; ends the lease if it
/// surely isn't.
async fn still_ours(node: &Node, lease: &ShardLease) -> bool {
    match node.kv.get(&keys::leader(), KV_DEADLINE).await {
        Ok(Some(item)) if item.mod_revision == lease.fencing_token.revision() => true,
        Ok(_) => {
            warn!(
                fencing_token = %lease.fencing_token,
                "the shard is another's"
            );
            lease.finish();
            false
        }
        Err(_) => true,
    }
}

async fn check_fence(node: &Node, lease: &ShardLease, seen: FencingToken) {
    if still_ours(node, lease).await {
        debug!(%seen,
            fencing_token = %lease.fencing_token,
            "a worker has seen a higher fencing token"
        );
    }
}

/// Records that a job is done, unless its user cancelled it first.
async fn finish(node: &Arc<Node>, lease: &Arc<ShardLease>, job: &str, mod_revision: u64) {
    let mut attempt = 0;
    while !lease.ended() {
        let item = match node.kv.get(&keys::job(job), KV_DEADLINE).await {
            Ok(Some(item)) => item,
            Ok(None) => {
                node.with_shard(lease, "jobs", |shard, _| shard.job_finished(job, None));
                return;
            }
            Err(_) => {
                attempt += 1;
                tokio::time::sleep(backoff(attempt)).await;
                continue;
            }
        };
        let Ok(record) = serde_json::from_value::<JobRecord>(item.value) else {
            error!(job, "the record of a finished job can't be read");
            return;
        };
        let most = node.value_bytes();
        let last = FinalRecord::new(Stage::Done, record.spec).within(most);
        let Ok(txn) = job_transition::finish_job(job, mod_revision, &last) else {
            return;
        };
        let txn = txn.guard(keys::leader(), lease.fencing_token.revision());
        match node.kv.txn(&txn, KV_DEADLINE).await {
            Ok(TransactionOutcome::Committed { .. }) => {
                node.with_shard(lease, "jobs", |shard, _| {
                    shard.job_finished(job, Some(Stage::Done));
                });
                return;
            }
            Ok(TransactionOutcome::Conflict) => {
                if !still_ours(node, lease).await {
                    return;
                }
            }
            Err(_) => {}
        }
        attempt += 1;
        tokio::time::sleep(backoff(attempt)).await;
    }
}

async fn read_final(node: &Arc<Node>, lease: &Arc<ShardLease>, job: &str) {
    let mut attempt = 0;
    while !lease.ended() {
        if let Ok(item) = node.kv.get(&keys::final_job(job), KV_DEADLINE).await {
            let record = item.and_then(|item| serde_json::from_value(item.value).ok());
            node.with_shard(lease, "jobs", |shard, _| {
                shard.orphan_job_resolved(job, record)
            });
            return;
        }
        attempt += 1;
        tokio::time::sleep(backoff(attempt)).await;
    }
}

async fn cloud<T: DeserializeOwned>(
    node: &Node,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<T, Option<StatusCode>> {
    let addr = node.settings.platform.services.cloud;
    let answer = node
        .cloud_http
        .call(method, addr, path, body, CLOUD_DEADLINE)
        .await
        .map_err(|_| None)?;
    if answer.status != StatusCode::OK {
        // A refusal for want of capacity is an answer; trouble is not.
        let trouble = answer.status == StatusCode::SERVICE_UNAVAILABLE
            && !answer.body.windows(11).any(|w| w == b"no capacity");
        let final_answer = matches!(
            answer.status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_REQUEST
        ) && !trouble;
        return Err(final_answer.then_some(answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|_| None)
}

/// The machine types, if the cloud tells them now.
pub async fn machine_types(node: &Node) -> Option<Vec<MachineType>> {
    cloud::<MachineTypes>(node, Method::GET, "/machine_types", Vec::new())
        .await
        .ok()
        .map(|answer| answer.types)
}

async fn rent(node: &Node, rental: &Rental) -> RentalOutcome {
    let Ok(body) = serde_json::to_vec(rental) else {
        return RentalOutcome::Rejected;
    };
    match cloud::<MachineNames>(node, Method::POST, "/rentals", body).await {
        Ok(names) => RentalOutcome::Rented(names.machines),
        Err(Some(StatusCode::BAD_REQUEST)) => {
            warn!(
                request = rental.request,
                "the cloud calls a rental malformed"
            );
            RentalOutcome::Rejected
        }
        Err(Some(_)) => RentalOutcome::NoCapacity,
        Err(None) => RentalOutcome::Unknown,
    }
}

async fn delete(node: &Node, machines: &[MachineId]) -> bool {
    let names = MachineNames {
        machines: machines.iter().map(|id| id.to_string()).collect(),
    };
    let Ok(body) = serde_json::to_vec(&names) else {
        return false;
    };
    cloud::<serde_json::Value>(node, Method::POST, "/rentals/delete", body)
        .await
        .is_ok()
}

/// Reads the machine list again and again.
pub async fn watch_cloud(node: Arc<Node>, lease: Arc<ShardLease>) {
    let lag = node.settings.platform.settings.cloud.list_lag_s;
    let pause = Duration::from_secs_f64((lag / 2.0).clamp(2.0, 10.0));
    while !lease.ended() {
        if lease.live(node.now())
            && let Some(list) = machine_list(&node).await
        {
            node.with_shard(&lease, "cloud", |shard, now| shard.listed(&list, now));
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = lease.end.notified() => {}
        }
    }
}

async fn machine_list(node: &Node) -> Option<Vec<Listed>> {
    let mut list: Vec<Listed> = Vec::new();
    loop {
        let after = list.last().map_or("", |entry| entry.id.as_str());
        let path = format!("/rentals?After={after}&Most={LIST_PAGE}");
        let page = cloud::<ListPage>(node, Method::GET, &path, Vec::new())
            .await
            .ok()?;
        let more = page.more && !page.machines.is_empty();
        list.extend(page.machines);
        if !more {
            return Some(list);
        }
    }
}

/// Reads the cloud's machine types and prices from time to time, as long as the process lasts.
pub async fn refresh_machine_types(node: Arc<Node>) {
    let mut attempt = 0;
    loop {
        let pause = match machine_types(&node).await {
            Some(types) => {
                attempt = 0;
                let lease = {
                    let mut inner = node.lock();
                    if inner.types.is_none() {
                        info!(types = types.len(), "machine types known");
                    }
                    inner.types = Some(types.clone());
                    inner.leadership.as_ref().map(|own| own.lease.clone())
                };
                if let Some(lease) = lease {
                    node.with_shard(&lease, "types", |shard, _| shard.set_types(&types));
                }
                Duration::from_secs(30)
            }
            None => {
                attempt += 1;
                backoff(attempt + 2)
            }
        };
        tokio::time::sleep(pause).await;
    }
}
