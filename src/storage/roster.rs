//! The roster: all machines that may have tasks, as the leader wants them stored.
//!
//! A new leader loads the roster to learn from which machines it has to await a heartbeat before
//! tasks that may be on them can start elsewhere. So a machine is added to the roster before its
//! first task, and removed after its last. Many machines share a page, which is one value of the
//! store, so that one write adds or removes all machines that are admitted or deleted together.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::keys;
use super::records::{FORMAT_VERSION, RosterRecord};
use crate::protocol::MachineId;
use crate::protocol::kv::Mutation;

/// Bytes of a page that are reserved for the fields around its entries.
const ROSTER_PAGE_OVERHEAD_BYTES: usize = 64;
/// Bytes that an entry takes in addition to its name and record: two quotes, a colon and a comma.
const ROSTER_ENTRY_OVERHEAD_BYTES: usize = 4;

/// One stored page.
#[derive(Debug, Serialize, Deserialize)]
struct StoredPage {
    #[serde(rename = "v")]
    format_version: u32,
    machines: BTreeMap<String, RosterRecord>,
}

/// One page as it should be stored.
#[derive(Debug, Default)]
struct Page {
    machines: BTreeMap<MachineId, RosterRecord>,
    /// Total size of the page's entries.
    bytes: usize,
}

impl Page {
    fn insert(&mut self, id: MachineId, record: RosterRecord) {
        self.bytes += entry_bytes(&id, &record);
        self.machines.insert(id, record);
    }

    fn remove(&mut self, id: &MachineId) {
        if let Some(record) = self.machines.remove(id) {
            self.bytes -= entry_bytes(id, &record);
        }
    }

    /// Removes and returns the last entries until the others fit; at least one entry stays.
    fn remove_excess(&mut self, capacity: usize) -> Vec<(MachineId, RosterRecord)> {
        let mut removed = Vec::new();
        while self.bytes > capacity
            && self.machines.len() > 1
            && let Some((id, record)) = self.machines.pop_last()
        {
            self.bytes -= entry_bytes(&id, &record);
            removed.push((id, record));
        }
        removed
    }

    fn has_capacity_for(&self, bytes: usize, capacity: usize) -> bool {
        self.machines.is_empty() || self.bytes + bytes <= capacity
    }
}

/// The roster as it should be stored, and the pages that have to be written to reach this state.
///
/// Every machine is on exactly one page.
#[derive(Debug, Default)]
pub struct Roster {
    pages: BTreeMap<u32, Page>,
    /// The number of the page that holds each machine.
    page_of: BTreeMap<MachineId, u32>,
    /// Pages that differ from the stored ones.
    changed: BTreeSet<u32>,
    /// Changed pages from which entries were moved to other pages. They are written last, so that
    /// no machine is ever missing from the store.
    shrinking: BTreeSet<u32>,
}

/// Decodes the entries of one stored page, by machine id.
pub fn decode_page(value: &Value) -> Result<BTreeMap<String, RosterRecord>, serde_json::Error> {
    StoredPage::deserialize(value).map(|page| page.machines)
}

/// Size of an entry in a page.
fn entry_bytes(id: &str, record: &RosterRecord) -> usize {
    let record = serde_json::to_vec(record).map_or(0, |text| text.len());
    id.len() + record + ROSTER_ENTRY_OVERHEAD_BYTES
}

/// Most bytes of entries in a page whose value takes at most `value_bytes`.
fn page_capacity(value_bytes: usize) -> usize {
    value_bytes.saturating_sub(ROSTER_PAGE_OVERHEAD_BYTES)
}

impl Roster {
    /// Adds an entry of a stored page. A machine is on two stored pages if an earlier leader's term
    /// ended while it was splitting the machine's page: the machine then stays on the page that is
    /// loaded first, and the other page has to be written again.
    pub fn load(&mut self, page: u32, id: MachineId, record: RosterRecord) {
        let target = self.pages.entry(page).or_default();
        if self.page_of.contains_key(&id) {
            self.changed.insert(page);
            return;
        }
        target.insert(id.clone(), record);
        self.page_of.insert(id, page);
    }

    /// Adds a machine or replaces its entry, on the first page with enough capacity. A page takes
    /// at most `value_bytes`.
    pub fn put(&mut self, id: &MachineId, record: RosterRecord, value_bytes: usize) {
        self.remove(id);
        let bytes = entry_bytes(id, &record);
        let capacity = page_capacity(value_bytes);
        let first_with_capacity = (0..).find(|number| {
            self.pages
                .get(number)
                .is_none_or(|page| page.has_capacity_for(bytes, capacity))
        });
        let number = first_with_capacity.unwrap_or(u32::MAX);
        let page = self.pages.entry(number).or_default();
        page.insert(id.clone(), record);
        self.page_of.insert(id.clone(), number);
        self.changed.insert(number);
    }

    /// Removes a machine.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(number) = self.page_of.remove(id) else {
            return;
        };
        if let Some(page) = self.pages.get_mut(&number) {
            page.remove(id);
        }
        self.changed.insert(number);
    }

    /// Moves entries from changed pages that take more than `value_bytes` to other pages: a page
    /// that was written under a larger limit can't be written again unchanged.
    fn split_oversized(&mut self, value_bytes: usize) {
        let capacity = page_capacity(value_bytes);
        let oversized: Vec<u32> = self
            .changed
            .iter()
            .copied()
            .filter(|number| {
                self.pages
                    .get(number)
                    .is_some_and(|page| page.bytes > capacity)
            })
            .collect();
        for number in oversized {
            let page = self.pages.get_mut(&number);
            let moved = page.map_or_else(Vec::new, |page| page.remove_excess(capacity));
            self.shrinking.insert(number);
            self.changed.remove(&number);
            for (id, record) in moved {
                self.page_of.remove(&id);
                self.put(&id, record, value_bytes);
            }
        }
    }

    /// Marks the page with this key as changed, since its write has failed; returns false if the
    /// key is not that of a roster page.
    pub fn mark_unwritten(&mut self, key: &str) -> bool {
        let page = key.strip_prefix(&keys::roster_prefix());
        let Some(number) = page.and_then(|page| page.parse().ok()) else {
            return false;
        };
        self.changed.insert(number);
        true
    }

    /// Whether some page has to be written.
    pub fn has_mutations(&self) -> bool {
        !(self.changed.is_empty() && self.shrinking.is_empty())
    }

    /// Returns the mutation that writes the next changed page, and marks the page as written; None
    /// if no changed page is left. A page takes at most `value_bytes`.
    pub fn next_mutation(&mut self, value_bytes: usize) -> Option<Mutation> {
        self.split_oversized(value_bytes);
        let number = self
            .changed
            .pop_first()
            .or_else(|| self.shrinking.pop_first())?;
        let key = keys::roster_page(number);
        let Some(page) = self.pages.get(&number) else {
            return Some(Mutation::delete(key));
        };
        if page.machines.is_empty() {
            self.pages.remove(&number);
            return Some(Mutation::delete(key));
        }
        let stored = StoredPage {
            format_version: FORMAT_VERSION,
            machines: page
                .machines
                .iter()
                .map(|(id, record)| (id.to_string(), record.clone()))
                .collect(),
        };
        let value = serde_json::to_value(stored).ok()?;
        Some(Mutation::put(key, value))
    }
}

#[cfg(test)]
mod tests;
