//! The encoding of the shard's snapshot: which tasks of each open job are done, and on which
//! machines the other tasks were last placed.
//!
//! Jobs are spread by a hash of their ids over buckets. Each bucket is divided into chunks, each
//! one value of the store, so that a change of one job rewrites only chunks of one bucket. A job
//! that is too large for one entry has several.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::keys;
use super::records::FORMAT_VERSION;
use super::task_set::{TaskSet, format_range};
use crate::protocol::users::MAX_TASKS;

/// Number of buckets over which jobs are spread by a hash of their ids.
const BUCKETS: usize = 8;
/// Bytes of a chunk that are reserved for the fields around its entries.
const CHUNK_OVERHEAD_BYTES: usize = 64;
/// Bytes that an entry takes in addition to the texts of its fields.
const ENTRY_OVERHEAD_BYTES: usize = 32;
/// Most bytes of each of an entry's two lists (done tasks and placements).
const MAX_LIST_BYTES: usize = 1024;
/// The same limit relative to a value: a list takes at most the value's size divided by this.
const LISTS_PER_VALUE: usize = 4;

/// One open job to be encoded.
#[derive(Debug, Clone)]
pub struct SnapshotRow<'a> {
    /// The job's id.
    pub job: &'a str,
    /// Its tasks that are done.
    pub done: &'a TaskSet,
    /// The placements of its other tasks, in the order of their indices.
    pub placements: Vec<TaskPlacement>,
}

/// Where a task was last placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskPlacement {
    /// The task's index in its job.
    pub index: u32,
    /// The machine's id.
    pub machine: String,
}

/// The progress of one job, as decoded from a snapshot.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobProgress {
    /// The tasks that are done.
    pub done: TaskSet,
    /// The machines on which other tasks were last placed, by the tasks' indices.
    pub placements: BTreeMap<u32, String>,
}

/// An entry of a chunk: a job's progress, or a part of it.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    #[serde(rename = "j")]
    job: String,
    /// Ranges of the tasks that are done, such as `0-4,7`.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    done: String,
    /// Placements, such as `3@vm-1,9@vm-2`.
    #[serde(rename = "p", default, skip_serializing_if = "String::is_empty")]
    placements: String,
}

impl Entry {
    fn bytes(&self) -> usize {
        self.job.len() + self.done.len() + self.placements.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// One chunk, stored as one value.
#[derive(Debug, Serialize, Deserialize)]
struct Chunk {
    #[serde(rename = "v")]
    format_version: u32,
    #[serde(rename = "jobs")]
    entries: Vec<Entry>,
}

/// The bucket of a job: FNV-1a of its id. It decides under which key a job is stored.
fn bucket(id: &str) -> usize {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash % BUCKETS as u64) as usize
}

/// Encodes jobs as chunks of at most `value_bytes` each, by key.
pub fn encode<'a>(
    rows: impl IntoIterator<Item = SnapshotRow<'a>>,
    value_bytes: usize,
) -> BTreeMap<String, Value> {
    let max_list_bytes = MAX_LIST_BYTES.min(value_bytes / LISTS_PER_VALUE);
    let mut buckets: Vec<Vec<Entry>> = (0..BUCKETS).map(|_| Vec::new()).collect();
    for row in rows {
        buckets[bucket(row.job)].extend(entries(row, max_list_bytes));
    }
    let capacity = value_bytes.saturating_sub(CHUNK_OVERHEAD_BYTES);
    let mut chunks = BTreeMap::new();
    for (bucket, entries) in buckets.into_iter().enumerate() {
        for (part, entries) in divide_into_chunks(entries, capacity)
            .into_iter()
            .enumerate()
        {
            let chunk = Chunk {
                format_version: FORMAT_VERSION,
                entries,
            };
            if let Ok(value) = serde_json::to_value(chunk) {
                chunks.insert(keys::chunk(bucket, part), value);
            }
        }
    }
    chunks
}

/// One job's entries, each with one piece of the done list and one of the placement list.
fn entries(row: SnapshotRow<'_>, max_list_bytes: usize) -> Vec<Entry> {
    let ranges = row.done.ranges();
    let done = join_up_to(max_list_bytes, ranges.iter().map(format_range));
    let placements = row
        .placements
        .into_iter()
        .map(|TaskPlacement { index, machine }| format!("{index}@{machine}"));
    let placements = join_up_to(max_list_bytes, placements);

    let count = done.len().max(placements.len());
    let (mut done, mut placements) = (done.into_iter(), placements.into_iter());
    let mut entries = Vec::with_capacity(count);
    for _ in 0..count {
        entries.push(Entry {
            job: row.job.to_owned(),
            done: done.next().unwrap_or_default(),
            placements: placements.next().unwrap_or_default(),
        });
    }
    entries
}

/// Joins items by commas into texts of at most `max_bytes`. An item that is longer by itself forms
/// a text of its own.
fn join_up_to(max_bytes: usize, items: impl Iterator<Item = String>) -> Vec<String> {
    let mut texts: Vec<String> = Vec::new();
    for item in items {
        match texts.last_mut() {
            Some(last) if last.len() + item.len() < max_bytes => {
                last.push(',');
                last.push_str(&item);
            }
            _ => texts.push(item),
        }
    }
    texts
}

/// Divides a bucket's entries into as many chunks as needed.
fn divide_into_chunks(entries: Vec<Entry>, capacity: usize) -> Vec<Vec<Entry>> {
    let mut chunks: Vec<Vec<Entry>> = Vec::new();
    let mut used = 0;
    for entry in entries {
        let bytes = entry.bytes();
        match chunks.last_mut() {
            Some(chunk) if used + bytes <= capacity => {
                used += bytes;
                chunk.push(entry);
            }
            _ => {
                used = bytes;
                chunks.push(vec![entry]);
            }
        }
    }
    chunks
}

/// Decodes chunks, and merges the entries of each job. A chunk that can't be decoded is left out:
/// its tasks count as not done, and run again.
pub fn decode<'a>(chunks: impl IntoIterator<Item = &'a Value>) -> BTreeMap<String, JobProgress> {
    let mut jobs: BTreeMap<String, JobProgress> = BTreeMap::new();
    for value in chunks {
        match Chunk::deserialize(value) {
            Ok(chunk) => {
                for entry in chunk.entries {
                    decode_entry(entry, &mut jobs);
                }
            }
            Err(error) => tracing::error!(%error, "cannot decode a snapshot chunk"),
        }
    }
    jobs
}

fn decode_entry(entry: Entry, jobs: &mut BTreeMap<String, JobProgress>) {
    let job = entry.job;
    let progress = jobs.entry(job.clone()).or_default();
    if let Err(error) = progress.done.insert_ranges(&entry.done, MAX_TASKS as u32) {
        tracing::error!(job, %error, "cannot decode the done tasks of a snapshot entry");
    }
    for placement in entry.placements.split(',') {
        if let Some((index, machine)) = placement.split_once('@')
            && let Ok(index) = index.parse()
        {
            progress.placements.insert(index, machine.to_owned());
        }
    }
}

#[cfg(test)]
mod tests;
