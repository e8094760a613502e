//! The layout of a delegate's inventory: the heartbeats of delegated workers, as values of the
//! key-value store, from which the leader reconciles machines that it can't reach.
//!
//! A page normally holds whole heartbeats. A heartbeat that exceeds the limit on values, which is
//! possible only after the limit was lowered, is split into parts, each on a page of its own.
//! Versions that don't know parts ignore them, and so never mistake a part for a whole heartbeat:
//! they reconcile the machine once its worker's lease has expired.

use std::collections::BTreeMap;

use super::records::{FORMAT_VERSION, HeartbeatPart, InventoryRecord};
use crate::protocol::FencingToken;
use crate::protocol::workers::{TaskStatus, WorkerHeartbeat};

/// Bytes of a page that are reserved for the fields around its heartbeats.
const INVENTORY_PAGE_OVERHEAD_BYTES: usize = 96;
/// Bytes of a page with a part that are reserved for the part's own fields.
const PART_OVERHEAD_BYTES: usize = 128;
/// Assumed size of a value that can't be encoded: larger than any page, but small enough that the
/// sum of a few such sizes doesn't overflow.
const UNENCODABLE_BYTES: usize = usize::MAX / 4;

/// Pages that are written together: one page of whole heartbeats, or the pages with all parts of
/// one heartbeat.
#[derive(Debug)]
pub struct InventoryBatch {
    /// The pages.
    pub pages: Vec<InventoryRecord>,
    /// The heartbeats on the pages, for [`PendingHeartbeats::put_back`] if the write fails.
    pub heartbeats: Vec<WorkerHeartbeat>,
}

/// The latest heartbeats of delegated workers that are not in a batch yet, by machine.
#[derive(Debug, Default)]
pub struct PendingHeartbeats {
    heartbeats: BTreeMap<String, WorkerHeartbeat>,
}

impl PendingHeartbeats {
    /// Adds a heartbeat in place of the machine's earlier one.
    pub fn insert(&mut self, heartbeat: WorkerHeartbeat) {
        self.heartbeats.insert(heartbeat.machine.clone(), heartbeat);
    }

    /// Removes all heartbeats.
    pub fn clear(&mut self) {
        self.heartbeats.clear();
    }

    /// Puts heartbeats back that could not be written, except where the machine has a newer one.
    pub fn put_back(&mut self, heartbeats: Vec<WorkerHeartbeat>) {
        for heartbeat in heartbeats {
            self.heartbeats
                .entry(heartbeat.machine.clone())
                .or_insert(heartbeat);
        }
    }

    /// Removes and returns the next heartbeats that together fit into one value of `value_bytes`,
    /// or one heartbeat that has to be split; None if no heartbeats are pending. `split_id`
    /// identifies the parts of one heartbeat among all parts.
    pub fn next_batch(
        &mut self,
        fencing_token: FencingToken,
        value_bytes: usize,
        split_id: u64,
    ) -> Option<InventoryBatch> {
        let capacity = value_bytes.saturating_sub(INVENTORY_PAGE_OVERHEAD_BYTES);
        let mut heartbeats = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.heartbeats.first_entry() {
            let size = json_bytes(next.get()) + 1;
            if bytes + size > capacity && !heartbeats.is_empty() {
                break;
            }
            bytes += size;
            heartbeats.push(next.remove());
        }
        if heartbeats.is_empty() {
            return None;
        }
        let pages = if bytes > capacity {
            let split = |heartbeat| split(heartbeat, capacity, split_id);
            let parts = heartbeats.iter().flat_map(split);
            parts
                .map(|part| page_with_part(part, fencing_token))
                .collect()
        } else {
            vec![page_with_heartbeats(heartbeats.clone(), fencing_token)]
        };
        Some(InventoryBatch { pages, heartbeats })
    }
}

fn page_with_heartbeats(
    heartbeats: Vec<WorkerHeartbeat>,
    fencing_token: FencingToken,
) -> InventoryRecord {
    InventoryRecord {
        format_version: FORMAT_VERSION,
        fencing_token,
        heartbeats,
        parts: Vec::new(),
    }
}

fn page_with_part(part: HeartbeatPart, fencing_token: FencingToken) -> InventoryRecord {
    InventoryRecord {
        format_version: FORMAT_VERSION,
        fencing_token,
        heartbeats: Vec::new(),
        parts: vec![part],
    }
}

/// Splits a heartbeat into as many parts as its tasks need, each with at least one task.
fn split(heartbeat: &WorkerHeartbeat, capacity: usize, split_id: u64) -> Vec<HeartbeatPart> {
    let part = |first_task: usize, tasks: &[TaskStatus]| HeartbeatPart {
        split_id,
        total_tasks: heartbeat.tasks.len(),
        first_task,
        heartbeat: WorkerHeartbeat {
            tasks: tasks.to_vec(),
            ..without_tasks(heartbeat)
        },
    };
    let overhead = json_bytes(&without_tasks(heartbeat)) + PART_OVERHEAD_BYTES;
    let mut parts = Vec::new();
    let mut first_task = 0;
    let mut bytes = overhead;
    for (index, task) in heartbeat.tasks.iter().enumerate() {
        let size = json_bytes(task) + 1;
        if bytes + size > capacity && index > first_task {
            parts.push(part(first_task, &heartbeat.tasks[first_task..index]));
            first_task = index;
            bytes = overhead;
        }
        bytes += size;
    }
    parts.push(part(first_task, &heartbeat.tasks[first_task..]));
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

fn json_bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(UNENCODABLE_BYTES, |text| text.len())
}

/// All heartbeats that these pages hold completely, whether whole or in parts, and that were
/// received on behalf of the leader with this fencing token. A heartbeat with a missing part is
/// left out: some of a machine's tasks must never be mistaken for all of them.
pub fn whole_heartbeats(
    pages: impl IntoIterator<Item = InventoryRecord>,
    fencing_token: FencingToken,
) -> Vec<WorkerHeartbeat> {
    let mut heartbeats = Vec::new();
    let mut parts: BTreeMap<(u64, String), Vec<HeartbeatPart>> = BTreeMap::new();
    for page in pages {
        if page.fencing_token != fencing_token {
            continue;
        }
        heartbeats.extend(page.heartbeats);
        for part in page.parts {
            let key = (part.split_id, part.heartbeat.machine.clone());
            parts.entry(key).or_default().push(part);
        }
    }
    heartbeats.extend(parts.into_values().filter_map(join_parts));
    heartbeats
}

/// Joins the parts of one heartbeat; None if a part is missing.
fn join_parts(mut parts: Vec<HeartbeatPart>) -> Option<WorkerHeartbeat> {
    parts.sort_by_key(|part| part.first_task);
    let first = parts.first()?;
    let total_tasks = first.total_tasks;
    let mut joined = without_tasks(&first.heartbeat);
    for part in parts {
        let is_same_heartbeat = part.total_tasks == total_tasks
            && part.heartbeat.agent_epoch == joined.agent_epoch
            && part.heartbeat.sequence == joined.sequence;
        if !is_same_heartbeat || part.first_task != joined.tasks.len() {
            return None;
        }
        joined.tasks.extend(part.heartbeat.tasks);
    }
    (joined.tasks.len() == total_tasks).then_some(joined)
}

#[cfg(test)]
mod tests;
