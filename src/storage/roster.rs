//! The machines that may hold tasks, many to a stored page, so that one write
//! admits or drops as many as come together.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::keys;
use super::records::{RosterRecord, VERSION};
use crate::protocol::MachineId;
use crate::protocol::state::Change;

/// Room left in a page for its frame.
const FRAME: usize = 64;
/// What an entry takes beside its texts.
const ENTRY: usize = 40;

/// One stored page.
#[derive(Debug, Serialize, Deserialize)]
struct StoredPage {
    v: u32,
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
}

/// Reads one stored page; None if it can't be read.
pub fn read_page(value: &Value) -> Option<BTreeMap<String, RosterRecord>> {
    let page = StoredPage::deserialize(value).ok()?;
    Some(page.machines)
}

fn size(id: &str, record: &RosterRecord) -> usize {
    id.len() + record.addr.len() + record.machine_type.len() + record.zone.len() + ENTRY
}

impl Roster {
    /// Takes in an entry of a stored page.
    pub fn load(&mut self, page: u32, id: MachineId, record: RosterRecord) {
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
        let room = value_bytes.saturating_sub(FRAME);
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
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// The write of the next changed page, which then counts as written.
    pub fn next_change(&mut self) -> Option<Change> {
        let at = self.changed.pop_first()?;
        let key = keys::roster_page(at);
        let machines = match self.pages.get(&at) {
            Some(page) if !page.machines.is_empty() => &page.machines,
            _ => {
                self.pages.remove(&at);
                return Some(Change::delete(key));
            }
        };
        let stored = StoredPage {
            v: VERSION,
            machines: machines
                .iter()
                .map(|(id, record)| (id.to_string(), record.clone()))
                .collect(),
        };
        match serde_json::to_value(stored) {
            Ok(value) => Some(Change::put(key, value)),
            Err(_) => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(n: u32) -> RosterRecord {
        RosterRecord {
            addr: format!("10.1.{}.{}:9000", n / 250, n % 250),
            machine_type: "roomy".into(),
            zone: "north-cellar".into(),
            spot: n.is_multiple_of(2),
            returning: false,
        }
    }

    fn apply(roster: &mut Roster, stored: &mut BTreeMap<String, Value>) -> usize {
        let mut writes = 0;
        while let Some(change) = roster.next_change() {
            writes += 1;
            match change {
                Change::Put { key, value, .. } => stored.insert(key, value),
                Change::Delete { key } => stored.remove(&key),
            };
        }
        writes
    }

    #[test]
    fn a_thousand_machines_take_few_pages_within_the_value_limit() {
        let mut roster = Roster::default();
        let mut stored = BTreeMap::new();
        for n in 0..1000 {
            roster.put(&format!("vm-{n:06}").into(), record(n), 8192);
        }
        let pages = apply(&mut roster, &mut stored);
        assert!(pages < 20, "{pages} pages");
        assert!(stored.values().all(|page| page.to_string().len() <= 8192));
        let read: usize = stored
            .values()
            .map(|page| read_page(page).expect("a page").len())
            .sum();
        assert_eq!(read, 1000);
        // One machine's end costs one write; the room is used again.
        roster.remove(&"vm-000500".into());
        assert_eq!(apply(&mut roster, &mut stored), 1);
        roster.put(&"vm-001000".into(), record(1), 8192);
        assert_eq!(apply(&mut roster, &mut stored), 1);
        assert_eq!(stored.len(), pages);
        for n in 0..=1000 {
            roster.remove(&format!("vm-{n:06}").into());
        }
        apply(&mut roster, &mut stored);
        assert!(stored.is_empty());
    }
}
