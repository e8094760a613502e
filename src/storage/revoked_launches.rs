//! The layout of the launches that a leader has revoked, as values of the key-value store, from which
//! delegates read them.
//!
//! A page is small, so that it fits into a value also after the limit on values was lowered. Launches
//! are only added while delegates act for the leader, so that one write records a new launch.

use std::collections::BTreeSet;

use super::keys;
use super::records::{FORMAT_VERSION, RevokedLaunch, RevokedLaunchesRecord};
use crate::protocol::FencingToken;
use crate::protocol::kv::{KeyValue, Mutation};

/// Most bytes of launches in a page.
const MAX_PAGE_BYTES: usize = 768;

/// One page, and the size of its launches.
#[derive(Debug, Default)]
struct Page {
    launches: Vec<RevokedLaunch>,
    bytes: usize,
}

/// The launches that a leader has revoked, in the pages that it stores.
#[derive(Debug, Default)]
pub struct RevokedLaunchPages {
    pages: Vec<Page>,
    recorded: BTreeSet<RevokedLaunch>,
}

impl RevokedLaunchPages {
    /// Adds the launches that no page has; returns the writes of the pages that change.
    pub fn add(
        &mut self,
        launches: impl IntoIterator<Item = RevokedLaunch>,
        fencing_token: FencingToken,
    ) -> Vec<Mutation> {
        let mut changed = BTreeSet::new();
        for launch in launches {
            if self.recorded.insert(launch.clone()) {
                changed.insert(self.append(launch));
            }
        }
        let writes = changed.into_iter();
        writes
            .filter_map(|page| self.write(page, fencing_token))
            .collect()
    }

    /// Removes all launches; returns the deletions of the pages.
    pub fn clear(&mut self) -> Vec<Mutation> {
        self.recorded.clear();
        let pages = 0..std::mem::take(&mut self.pages).len();
        pages
            .map(|page| Mutation::delete(keys::revoked_launches(page)))
            .collect()
    }

    /// Adds a launch to the last page, or to a new one; returns the page's number.
    fn append(&mut self, launch: RevokedLaunch) -> usize {
        let bytes = serde_json::to_vec(&launch).map_or(MAX_PAGE_BYTES, |text| text.len() + 1);
        let has_room = |page: &Page| page.bytes + bytes <= MAX_PAGE_BYTES;
        if !self.pages.last().is_some_and(has_room) {
            self.pages.push(Page::default());
        }
        if let Some(page) = self.pages.last_mut() {
            page.bytes += bytes;
            page.launches.push(launch);
        }
        self.pages.len() - 1
    }

    fn write(&self, page: usize, fencing_token: FencingToken) -> Option<Mutation> {
        let record = RevokedLaunchesRecord {
            format_version: FORMAT_VERSION,
            fencing_token,
            launches: self.pages.get(page)?.launches.clone(),
        };
        let value = serde_json::to_value(record).ok()?;
        Some(Mutation::put(keys::revoked_launches(page), value))
    }
}

/// The launches that the leader with this fencing token has revoked, from the pages among these items.
/// Pages of earlier leaders are ignored: their launches are fenced by the token.
pub fn decode_pages(items: &[KeyValue], fencing_token: FencingToken) -> Vec<RevokedLaunch> {
    let prefix = keys::revoked_launches_prefix();
    let pages = items.iter().filter(|item| item.key.starts_with(&prefix));
    let records = pages.filter_map(decode_page);
    let of_leader = records.filter(|record| record.fencing_token == fencing_token);
    of_leader.flat_map(|record| record.launches).collect()
}

fn decode_page(item: &KeyValue) -> Option<RevokedLaunchesRecord> {
    serde_json::from_value(item.value.clone())
        .inspect_err(|error| {
            tracing::error!(key = item.key, %error, "cannot decode a page of revoked launches");
        })
        .ok()
}

#[cfg(test)]
mod tests;
