//! The machines that may hold tasks, many to a stored page, so that one write
//! admits or drops as many as come together.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::keys;
use super::records::{FORMAT_VERSION, RosterRecord};
use crate::protocol::MachineId;
use crate::protocol::kv::Mutation;

/// Room left in a page for its frame.
const PAGE_FRAME: usize = 64;
/// What an entry takes beside its name and record: quotes, a colon and a comma.
const ENTRY: usize = 4;

/// One stored page.
#[derive(Debug, Serialize, Deserialize)]
struct StoredPage {
    #[serde(rename = "v")]
    format_version: u32,
    machines: BTreeMap<String, RosterRecord>,
}

#[derive(Debug, Default)]
struct Page {
    machines: BTreeMap<MachineId, RosterRecord>,
    bytes: usize,
}

/// The roster as it should be stored.
#[derive(Debug, Default)]
pub struct Roster {
    pages: BTreeMap<u32, Page>,
    page_of: BTreeMap<MachineId, u32>,
    /// Pages that differ from what is stored.
    changed: BTreeSet<u32>,
    /// Pages whose entries went to others: written after these.
    shrinking: BTreeSet<u32>,
}

/// Reads one stored page; None if it can't be read.
pub fn read_page(value: &Value) -> Option<BTreeMap<String, RosterRecord>> {
    let page = StoredPage::deserialize(value).ok()?;
    Some(page.machines)
}

/// Bytes that an entry takes of a page.
fn size(id: &str, record: &RosterRecord) -> usize {
    let record = serde_json::to_vec(record).map_or(0, |text| text.len());
    id.len() + record + ENTRY
}

impl Roster {
    /// Takes in an entry of a stored page. One that stands on two, since its page
    /// was being split when its leader ended, stays on the first.
    pub fn load(&mut self, page: u32, id: MachineId, record: RosterRecord) {
        if self.page_of.contains_key(&id) {
            self.pages.entry(page).or_default();
            self.changed.insert(page);
            return;
        }
        let target = self.pages.entry(page).or_default();
        target.bytes += size(&id, &record);
        target.machines.insert(id.clone(), record);
        self.page_of.insert(id, page);
    }

    /// Enters a machine or changes its entry; `value_bytes` is the most that a
    /// page may take.
    pub fn put(&mut self, id: &MachineId, record: RosterRecord, value_bytes: usize) {
        self.remove(id);
        let bytes = size(id, &record);
        let room = value_bytes.saturating_sub(PAGE_FRAME);
        // A new page if none has room: the first number that is free.
        let free = (0..).find(|n| {
            self.pages
                .get(n)
                .is_none_or(|page| page.machines.is_empty() || page.bytes + bytes <= room)
        });
        let at = free.unwrap_or(u32::MAX);
        let page = self.pages.entry(at).or_default();
        page.bytes += bytes;
        page.machines.insert(id.clone(), record);
        self.page_of.insert(id.clone(), at);
        self.changed.insert(at);
    }

    /// Divides changed pages that hold more than a value may: what was written
    /// under a larger limit can't be written again as it is. What moves is written
    /// before what it leaves, so that no entry is ever missing.
    fn split(&mut self, value_bytes: usize) {
        let room = value_bytes.saturating_sub(PAGE_FRAME);
        let too_large = |at: &u32| self.pages.get(at).is_some_and(|page| page.bytes > room);
        let large: Vec<u32> = self.changed.iter().copied().filter(too_large).collect();
        for at in large {
            let mut moving = Vec::new();
            if let Some(page) = self.pages.get_mut(&at) {
                while page.bytes > room
                    && page.machines.len() > 1
                    && let Some((id, record)) = page.machines.pop_last()
                {
                    page.bytes -= size(&id, &record);
                    moving.push((id, record));
                }
            }
            self.shrinking.insert(at);
            self.changed.remove(&at);
            for (id, record) in moving {
                self.page_of.remove(&id);
                self.put(&id, record, value_bytes);
            }
        }
    }

    /// Puts changes back that were not written.
    pub fn not_written(&mut self, key: &str) -> bool {
        let page = key.strip_prefix(&keys::roster_prefix());
        let Some(at) = page.and_then(|page| page.parse().ok()) else {
            return false;
        };
        self.changed.insert(at);
        true
    }

    /// Takes a machine off.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(at) = self.page_of.remove(id) else {
            return;
        };
        if let Some(page) = self.pages.get_mut(&at)
            && let Some(record) = page.machines.remove(id)
        {
            page.bytes -= size(id, &record);
        }
        self.changed.insert(at);
    }

    /// Whether some page has to be written.
    pub fn has_mutations(&self) -> bool {
        !(self.changed.is_empty() && self.shrinking.is_empty())
    }

    /// The write of the next changed page, which then counts as written;
    /// `value_bytes` is the most that a page may take.
    pub fn next_mutation(&mut self, value_bytes: usize) -> Option<Mutation> {
        self.split(value_bytes);
        let at = self
            .changed
            .pop_first()
            .or_else(|| self.shrinking.pop_first())?;
        let key = keys::roster_page(at);
        let machines = match self.pages.get(&at) {
            Some(page) if !page.machines.is_empty() => &page.machines,
            _ => {
                self.pages.remove(&at);
                return Some(Mutation::delete(key));
            }
        };
        let stored = StoredPage {
            format_version: FORMAT_VERSION,
            machines: machines
                .iter()
                .map(|(id, record)| (id.to_string(), record.clone()))
                .collect(),
        };
        match serde_json::to_value(stored) {
            Ok(value) => Some(Mutation::put(key, value)),
            Err(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
