//! The shard's snapshot: which tasks are done and where the others were,
//! spread over chunks so that only what changed is written again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::keys;
use super::records::FORMAT_VERSION;
use crate::protocol::users::MAX_TASKS;

use super::task_set::{TaskSet, write_range};

/// Chunks that jobs are spread over by their id.
const BUCKETS: usize = 8;
/// Room left in a chunk for its frame.
const CHUNK_FRAME: usize = 64;
/// Longest piece of one job, in bytes of text, and in parts of a value.
const PIECE: usize = 1024;
const PIECES: usize = 4;

/// One job's part of a snapshot.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobProgress {
    /// The tasks that have completed.
    pub done: TaskSet,
    /// Where its other tasks were.
    pub placed: BTreeMap<u32, String>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Piece {
    j: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    d: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    p: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Chunk {
    #[serde(rename = "v")]
    format_version: u32,
    jobs: Vec<Piece>,
}

fn bucket(id: &str) -> usize {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash % BUCKETS as u64) as usize
}

fn join_pieces(items: impl Iterator<Item = String>, longest: usize) -> Vec<String> {
    let mut pieces: Vec<String> = Vec::new();
    for item in items {
        match pieces.last_mut() {
            Some(last) if last.len() + item.len() < longest => {
                last.push(',');
                last.push_str(&item);
            }
            _ => pieces.push(item),
        }
    }
    pieces
}

/// Lays jobs out as chunks of at most `value_bytes` each.
pub fn encode<'a>(
    jobs: impl Iterator<Item = (&'a str, &'a TaskSet, Vec<(u32, String)>)>,
    value_bytes: usize,
) -> BTreeMap<String, Value> {
    let mut buckets: Vec<Vec<Piece>> = (0..BUCKETS).map(|_| Vec::new()).collect();
    let longest = PIECE.min(value_bytes / PIECES);
    for (id, done, placed) in jobs {
        let target = &mut buckets[bucket(id)];
        let done = join_pieces(done.ranges().into_iter().map(write_range), longest);
        let placed = join_pieces(
            placed.into_iter().map(|(n, at)| format!("{n}@{at}")),
            longest,
        );
        let rows = done.len().max(placed.len());
        let (mut done, mut placed) = (done.into_iter(), placed.into_iter());
        for _ in 0..rows {
            target.push(Piece {
                j: id.to_owned(),
                d: done.next().unwrap_or_default(),
                p: placed.next().unwrap_or_default(),
            });
        }
    }
    let room = value_bytes.saturating_sub(CHUNK_FRAME);
    let mut chunks = BTreeMap::new();
    for (bucket, pieces) in buckets.into_iter().enumerate() {
        let mut part = 0;
        let mut jobs = Vec::new();
        let mut size = 0;
        for piece in pieces {
            let cost = piece.j.len() + piece.d.len() + piece.p.len() + 32;
            if size + cost > room && !jobs.is_empty() {
                push(&mut chunks, bucket, part, std::mem::take(&mut jobs));
                part += 1;
                size = 0;
            }
            size += cost;
            jobs.push(piece);
        }
        if !jobs.is_empty() {
            push(&mut chunks, bucket, part, jobs);
        }
    }
    chunks
}

fn push(chunks: &mut BTreeMap<String, Value>, bucket: usize, part: usize, jobs: Vec<Piece>) {
    let chunk = Chunk {
        format_version: FORMAT_VERSION,
        jobs,
    };
    if let Ok(value) = serde_json::to_value(chunk) {
        chunks.insert(keys::chunk(bucket, part), value);
    }
}

/// Reads chunks back; pieces of one job are joined.
pub fn decode<'a>(chunks: impl Iterator<Item = &'a Value>) -> BTreeMap<String, JobProgress> {
    let mut jobs: BTreeMap<String, JobProgress> = BTreeMap::new();
    for value in chunks {
        let Ok(chunk) = Chunk::deserialize(value) else {
            tracing::error!("a snapshot chunk can't be read; its tasks count as not done");
            continue;
        };
        for piece in chunk.jobs {
            let job = jobs.entry(piece.j).or_default();
            job.done.read_ranges(&piece.d, MAX_TASKS as u32);
            for entry in piece.p.split(',') {
                if let Some((n, at)) = entry.split_once('@')
                    && let Ok(n) = n.parse()
                {
                    job.placed.insert(n, at.to_owned());
                }
            }
        }
    }
    jobs
}

#[cfg(test)]
mod tests;
