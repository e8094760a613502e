//! The roster: all machines that may have tasks, as the leader wants them stored.
//!
//! A new leader loads it to know of which machines it has to await a heartbeat before their tasks
//! may start elsewhere. So a machine is entered before its first task, and removed after its
//! last. Many machines share a page, a value of the store, so that one write admits or removes
//! all that come or go together.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::keys;
use super::records::{FORMAT_VERSION, RosterRecord};
use crate::protocol::MachineId;
use crate::protocol::kv::Mutation;

/// Bytes of a page that are kept free for what surrounds its entries.
const ROSTER_PAGE_OVERHEAD_BYTES: usize = 64;
/// Bytes that an entry takes beside its name and record: two quotes, a colon and a comma.
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
    /// Bytes of all its entries.
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

    /// Removes the last entries until the others fit; one entry always stays.
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

/// The roster as it should be stored, and which of its pages have to be written for that.
///
/// Every machine is on exactly one page.
#[derive(Debug, Default)]
pub struct Roster {
    pages: BTreeMap<u32, Page>,
    page_of: BTreeMap<MachineId, u32>,
    /// Pages that differ from what is stored.
    changed: BTreeSet<u32>,
    /// Changed pages of which some entries were moved to others. They are written last, so that
    /// no machine is missing from the store in between.
    shrinking: BTreeSet<u32>,
}

/// Decodes one stored page.
pub fn decode_page(value: &Value) -> Result<BTreeMap<String, RosterRecord>, serde_json::Error> {
    StoredPage::deserialize(value).map(|page| page.machines)
}

/// Bytes that an entry takes of a page.
fn entry_bytes(id: &str, record: &RosterRecord) -> usize {
    let record = serde_json::to_vec(record).map_or(0, |text| text.len());
    id.len() + record + ROSTER_ENTRY_OVERHEAD_BYTES
}

/// Bytes of a page's entries, for a value of at most `value_bytes`.
fn page_capacity(value_bytes: usize) -> usize {
    value_bytes.saturating_sub(ROSTER_PAGE_OVERHEAD_BYTES)
}

impl Roster {
    /// Adds an entry of a stored page. A machine may be on two stored pages, since its page was
    /// being split when its leader's term ended: it stays on the one loaded first, and the other
    /// has to be written again.
    pub fn load(&mut self, page: u32, id: MachineId, record: RosterRecord) {
        let target = self.pages.entry(page).or_default();
        if self.page_of.contains_key(&id) {
            self.changed.insert(page);
            return;
        }
        target.insert(id.clone(), record);
        self.page_of.insert(id, page);
    }

    /// Adds a machine or replaces its entry, on the first page with enough capacity.
    /// `value_bytes` is the most that a page may take.
    pub fn put(&mut self, id: &MachineId, record: RosterRecord, value_bytes: usize) {
        self.remove(id);
        let bytes = entry_bytes(id, &record);
        let capacity = page_capacity(value_bytes);
        let free = (0..).find(|number| {
            self.pages
                .get(number)
                .is_none_or(|page| page.has_capacity_for(bytes, capacity))
        });
        let number = free.unwrap_or(u32::MAX);
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

    /// Moves entries off changed pages that take more than a value may: what was written under a
    /// larger limit can't be written again as it is.
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

    /// Marks the page with this key as not written after all; false if it is no page's key.
    pub fn not_written(&mut self, key: &str) -> bool {
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

    /// The mutation that writes the next changed page, which then counts as written; None if no
    /// page is left. `value_bytes` is the most that a page may take.
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
