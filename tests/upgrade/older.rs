//! How older versions read the records in the key-value store.
//!
//! The types of records are copies from the named commits and must not be changed: they show
//! whether a controller of such a version can read what this version writes.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The kinds of jobs that 5161cb0 knows.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindBeforeGangs {
    Batch,
    Standing,
}

/// The kinds of jobs that bee35ef knows.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindWithGangs {
    Batch,
    Standing,
    Gang,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Priority {
    BestEffort,
    Standard,
    High,
    Prod,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Stage {
    Pending,
    Running,
    Done,
    Cancelled,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct JobSpec<Kind> {
    class: String,
    team: String,
    kind: Kind,
    priority: Priority,
    tasks: u32,
    cores: f64,
    accelerators: f64,
    mem_gb: f64,
    image: String,
    image_gb: f64,
    machine_types: Option<Vec<String>>,
    zone: Option<String>,
    one_zone: bool,
    scatter: bool,
    spot: bool,
    duration_s: f64,
    checkpoint_s: f64,
    save_s: f64,
    deadline_s: Option<f64>,
}

/// The record of an unfinished job.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct JobRecord<Kind> {
    v: u32,
    at_ms: u64,
    spec: JobSpec<Kind>,
}

/// The record of a finished job.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct FinalRecord<Kind> {
    v: u32,
    stage: Stage,
    tasks: u32,
    spec: JobSpec<Kind>,
}

/// The record of the shard's leader.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct OwnerRecord {
    v: u32,
    label: String,
    hold: u64,
    run: u64,
}

/// The number of the shard's last write.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct SequenceRecord {
    v: u32,
    term: u64,
    n: u64,
}

/// One machine: its address, machine type, zone, whether it is a spot machine, and whether it is
/// being deleted.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct RosterRecord {
    a: String,
    t: String,
    z: String,
    #[serde(default)]
    s: bool,
    #[serde(default)]
    r: bool,
}

/// One of the keys that list the machines.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct RosterPage {
    v: u32,
    machines: BTreeMap<String, RosterRecord>,
}

/// The snapshot of a job, or of a part of it: the job's id, the ranges of its done tasks, and its
/// placed tasks with their machines.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct Piece {
    j: String,
    #[serde(default)]
    d: String,
    #[serde(default)]
    p: String,
}

/// One of the keys that hold the snapshot of the shard.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct Chunk {
    v: u32,
    jobs: Vec<Piece>,
}

/// A rental request: its name, machine type, zone, whether it is for spot machines, and the number
/// of machines.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code, reason = "the older version requires these fields")]
struct Rental {
    booking: String,
    instrument: String,
    hall: String,
    borrowed: bool,
    count: u32,
}

/// A rental that is not answered yet.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the older version requires these fields")]
struct BookingRecord {
    v: u32,
    rental: Rental,
}

/// What a leader of an older version reads from the stored keys.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Reading {
    /// The number of tasks of each unfinished job, by job id.
    pub unfinished_jobs: BTreeMap<String, u32>,
    /// For each finished job, by job id: true if it is done, false if it is cancelled.
    pub finished_jobs: BTreeMap<String, bool>,
    /// The machines that may have tasks.
    pub machines: BTreeSet<String>,
    /// The indexes of the done tasks, by job id.
    pub done_tasks: BTreeMap<String, BTreeSet<u32>>,
    /// The machine on which a task is placed, by job id and task index.
    pub placements: BTreeMap<(String, u32), String>,
    /// The names of rental requests that are not answered yet.
    pub pending_rentals: BTreeSet<String>,
    /// The keys whose values the older version can't read.
    pub unreadable: Vec<String>,
}

/// An older version whose reading of the stored keys is simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Version {
    /// 5161cb0.
    BeforeGangs,
    /// bee35ef.
    WithGangs,
}

fn parse<T: DeserializeOwned>(value: &Value) -> Option<T> {
    T::deserialize(value).ok()
}

impl Version {
    /// Reads all keys as a leader of this version does.
    pub(crate) fn read(self, keys: &BTreeMap<String, Value>) -> Reading {
        let mut reading = Reading::default();
        for (key, value) in keys {
            let read = match self {
                Self::BeforeGangs => reading.read_key::<KindBeforeGangs>(key, value),
                Self::WithGangs => reading.read_key::<KindWithGangs>(key, value),
            };
            if read.is_none() {
                reading.unreadable.push(key.clone());
            }
        }
        reading
    }
}

impl Reading {
    /// Adds what a key contains; `None` if the older version can't read the key.
    fn read_key<Kind: DeserializeOwned>(&mut self, key: &str, value: &Value) -> Option<()> {
        if let Some(id) = key.strip_prefix("j/open/") {
            let record: JobRecord<Kind> = parse(value)?;
            self.unfinished_jobs
                .insert(id.to_owned(), record.spec.tasks);
        } else if let Some(id) = key.strip_prefix("j/over/") {
            let record: FinalRecord<Kind> = parse(value)?;
            let done = matches!(record.stage, Stage::Done);
            self.finished_jobs.insert(id.to_owned(), done);
        } else if key.starts_with("m/0/") {
            let page: RosterPage = parse(value)?;
            self.machines.extend(page.machines.into_keys());
        } else if key.starts_with("s/0/snap/") {
            let chunk: Chunk = parse(value)?;
            chunk
                .jobs
                .into_iter()
                .for_each(|piece| self.read_piece(&piece));
        } else if key.starts_with("b/0/") {
            let record: BookingRecord = parse(value)?;
            self.pending_rentals.insert(record.rental.booking);
        } else if key == "s/0/seq" {
            parse::<SequenceRecord>(value)?;
        } else if key == "o/0/owner" {
            parse::<OwnerRecord>(value)?;
        } else {
            return None;
        }
        Some(())
    }

    /// Adds the done and the placed tasks of a job in the snapshot.
    fn read_piece(&mut self, piece: &Piece) {
        let done = self.done_tasks.entry(piece.j.clone()).or_default();
        for range in piece.d.split(',').filter(|range| !range.is_empty()) {
            let (first, last) = range.split_once('-').unwrap_or((range, range));
            if let (Ok(first), Ok(last)) = (first.parse::<u32>(), last.parse::<u32>()) {
                done.extend(first..=last);
            }
        }
        for entry in piece.p.split(',') {
            if let Some((task, machine)) = entry.split_once('@')
                && let Ok(task) = task.parse()
            {
                let key = (piece.j.clone(), task);
                self.placements.insert(key, machine.to_owned());
            }
        }
    }
}
