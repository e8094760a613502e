//! What delegated workers hold, laid out as values of the key-value store.
//!
//! A page holds whole heartbeats. A heartbeat that is larger than a value may be, since the
//! limits were lowered, is divided into parts, each on a page of its own. An older
//! version ignores the field with the parts, and so takes no part for a whole heartbeat:
//! the machine is then reconciled by its worker's lease.

use crate::protocol::FencingToken;
use std::collections::BTreeMap;

use super::records::{FORMAT_VERSION, HeartbeatPart, InventoryRecord};
use crate::protocol::workers::{TaskStatus, WorkerHeartbeat};

/// Room left in a page for its frame.
const PAGE_FRAME: usize = 96;
/// Room left in a page with a part for what the part adds to a heartbeat.
const PART_FRAME: usize = 128;

/// Pages that belong together: a page of whole heartbeats, or all parts of one.
#[derive(Debug)]
pub struct Batch {
    /// The pages.
    pub pages: Vec<InventoryRecord>,
    /// What the pages hold, to be laid out again if they can't be written.
    pub heartbeats: Vec<WorkerHeartbeat>,
}

/// The heartbeats of delegated workers, by machine, that no page holds yet.
#[derive(Debug, Default)]
pub struct PendingHeartbeats {
    heartbeats: BTreeMap<String, WorkerHeartbeat>,
}

impl PendingHeartbeats {
    /// Takes a heartbeat in; a newer one replaces it.
    pub fn insert(&mut self, heartbeat: WorkerHeartbeat) {
        self.heartbeats.insert(heartbeat.machine.clone(), heartbeat);
    }

    /// Forgets all of them.
    pub fn clear(&mut self) {
        self.heartbeats.clear();
    }

    /// Takes heartbeats back that could not be written, unless there are newer ones.
    pub fn put_back(&mut self, heartbeats: Vec<WorkerHeartbeat>) {
        for heartbeat in heartbeats {
            self.heartbeats
                .entry(heartbeat.machine.clone())
                .or_insert(heartbeat);
        }
    }

    /// Lays out the next heartbeats for values of this size; None if there are none.
    /// `group` tells the parts of one heartbeat from those of all others.
    pub fn next_batch(
        &mut self,
        fencing_token: FencingToken,
        value_bytes: usize,
        group: u64,
    ) -> Option<Batch> {
        let room = value_bytes.saturating_sub(PAGE_FRAME);
        let mut heartbeats = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.heartbeats.first_entry() {
            let size = json_size(next.get()) + 1;
            if bytes + size > room && !heartbeats.is_empty() {
                break;
            }
            bytes += size;
            heartbeats.push(next.remove());
            if bytes > room {
                return Some(divided(heartbeats, fencing_token, room, group));
            }
        }
        if heartbeats.is_empty() {
            return None;
        }
        let page = InventoryRecord {
            format_version: FORMAT_VERSION,
            fencing_token,
            heartbeats: heartbeats.clone(),
            parts: Vec::new(),
        };
        Some(Batch {
            pages: vec![page],
            heartbeats,
        })
    }
}

/// Divides a heartbeat, the only one of these, into as many parts as it needs.
fn divided(
    heartbeats: Vec<WorkerHeartbeat>,
    fencing_token: FencingToken,
    room: usize,
    group: u64,
) -> Batch {
    let parts = heartbeats
        .iter()
        .flat_map(|heartbeat| divide(heartbeat, room, group));
    let pages = parts.map(|part| InventoryRecord {
        format_version: FORMAT_VERSION,
        fencing_token,
        heartbeats: Vec::new(),
        parts: vec![part],
    });
    Batch {
        pages: pages.collect(),
        heartbeats,
    }
}

fn divide(heartbeat: &WorkerHeartbeat, room: usize, group: u64) -> Vec<HeartbeatPart> {
    let part = |first: usize, tasks: &[TaskStatus]| HeartbeatPart {
        split_id: group,
        total_tasks: heartbeat.tasks.len(),
        first_task: first,
        heartbeat: WorkerHeartbeat {
            tasks: tasks.to_vec(),
            ..without_tasks(heartbeat)
        },
    };
    let frame = json_size(&without_tasks(heartbeat)) + PART_FRAME;
    let mut parts = Vec::new();
    let mut first = 0;
    let mut bytes = frame;
    for (at, task) in heartbeat.tasks.iter().enumerate() {
        let size = json_size(task) + 1;
        if bytes + size > room && at > first {
            parts.push(part(first, &heartbeat.tasks[first..at]));
            first = at;
            bytes = frame;
        }
        bytes += size;
    }
    parts.push(part(first, &heartbeat.tasks[first..]));
    parts
}

fn without_tasks(heartbeat: &WorkerHeartbeat) -> WorkerHeartbeat {
    WorkerHeartbeat {
        machine: heartbeat.machine.clone(),
        addr: heartbeat.addr.clone(),
        machine_type: heartbeat.machine_type.clone(),
        zone: heartbeat.zone.clone(),
        spot: heartbeat.spot,
        agent_epoch: heartbeat.agent_epoch,
        sequence: heartbeat.sequence,
        fencing_token: heartbeat.fencing_token,
        preemption_notice_s: heartbeat.preemption_notice_s,
        tasks: Vec::new(),
    }
}

fn json_size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX / 4, |text| text.len())
}

/// All heartbeats that pages of one fencing token hold whole, in one piece or in parts. A heartbeat
/// of which a part is missing is left out: less than all that a machine holds must
/// never be taken for all.
pub fn whole_heartbeats(
    pages: impl IntoIterator<Item = InventoryRecord>,
    fencing_token: FencingToken,
) -> Vec<WorkerHeartbeat> {
    let mut heartbeats = Vec::new();
    let mut parts: BTreeMap<(u64, String), Vec<HeartbeatPart>> = BTreeMap::new();
    for page in pages
        .into_iter()
        .filter(|page| page.fencing_token == fencing_token)
    {
        heartbeats.extend(page.heartbeats);
        for part in page.parts {
            let key = (part.split_id, part.heartbeat.machine.clone());
            parts.entry(key).or_default().push(part);
        }
    }
    heartbeats.extend(parts.into_values().filter_map(join));
    heartbeats
}

/// Joins the parts of one heartbeat; None if one is missing.
fn join(mut parts: Vec<HeartbeatPart>) -> Option<WorkerHeartbeat> {
    parts.sort_by_key(|part| part.first_task);
    let first = parts.first()?;
    let total = first.total_tasks;
    let mut joined = without_tasks(&first.heartbeat);
    for part in parts {
        let heartbeat = &part.heartbeat;
        let same = (part.total_tasks, heartbeat.agent_epoch, heartbeat.sequence)
            == (total, joined.agent_epoch, joined.sequence);
        if !same || part.first_task != joined.tasks.len() {
            return None;
        }
        joined.tasks.extend(part.heartbeat.tasks);
    }
    (joined.tasks.len() == total).then_some(joined)
}

#[cfg(test)]
mod tests;
