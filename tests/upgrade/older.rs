//! How older versions read what the state service holds.
//!
//! The types are those of the named commits, and stay as they are: they tell whether
//! a controller of that version can read what this one writes.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Kinds of jobs in 5161cb0.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindBeforeGangs {
    Batch,
    Standing,
}

/// Kinds of jobs in bee35ef.
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
#[allow(dead_code, reason = "fields that the older version needs to be there")]
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

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct JobRecord<Kind> {
    v: u32,
    at_ms: u64,
    spec: JobSpec<Kind>,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct FinalRecord<Kind> {
    v: u32,
    stage: Stage,
    tasks: u32,
    spec: JobSpec<Kind>,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct OwnerRecord {
    v: u32,
    label: String,
    hold: u64,
    run: u64,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct SequenceRecord {
    v: u32,
    term: u64,
    n: u64,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct RosterRecord {
    a: String,
    t: String,
    z: String,
    #[serde(default)]
    s: bool,
    #[serde(default)]
    r: bool,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct RosterPage {
    v: u32,
    machines: BTreeMap<String, RosterRecord>,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct Piece {
    j: String,
    #[serde(default)]
    d: String,
    #[serde(default)]
    p: String,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct Chunk {
    v: u32,
    jobs: Vec<Piece>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct Rental {
    booking: String,
    instrument: String,
    hall: String,
    borrowed: bool,
    count: u32,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "fields that the older version needs to be there")]
struct BookingRecord {
    v: u32,
    rental: Rental,
}

/// What an older owner makes of the stored keys.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Reading {
    /// Unfinished jobs by id, with their numbers of tasks.
    pub open: BTreeMap<String, u32>,
    /// Jobs that are over: by id, whether they are done.
    pub over: BTreeMap<String, bool>,
    /// Machines that may hold tasks.
    pub roster: BTreeSet<String>,
    /// By job, the tasks that are done.
    pub done: BTreeMap<String, BTreeSet<u32>>,
    /// By job and task, the machine that holds it.
    pub placed: BTreeMap<(String, u32), String>,
    /// Rentals not yet answered.
    pub bookings: BTreeSet<String>,
    /// Keys that it can't read.
    pub unreadable: Vec<String>,
}

/// An older version, as far as its rules of reading differ.
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
    /// Reads all keys as an owner of this version does.
    pub(crate) fn read(self, keys: &BTreeMap<String, Value>) -> Reading {
        let mut reading = Reading::default();
        for (key, value) in keys {
            let read = match self {
                Self::BeforeGangs => reading.take::<KindBeforeGangs>(key, value),
                Self::WithGangs => reading.take::<KindWithGangs>(key, value),
            };
            if read.is_none() {
                reading.unreadable.push(key.clone());
            }
        }
        reading
    }
}

impl Reading {
    fn take<Kind: DeserializeOwned>(&mut self, key: &str, value: &Value) -> Option<()> {
        if let Some(id) = key.strip_prefix("j/open/") {
            let record: JobRecord<Kind> = parse(value)?;
            self.open.insert(id.to_owned(), record.spec.tasks);
        } else if let Some(id) = key.strip_prefix("j/over/") {
            let record: FinalRecord<Kind> = parse(value)?;
            let done = matches!(record.stage, Stage::Done);
            self.over.insert(id.to_owned(), done);
        } else if key.starts_with("m/0/") {
            let page: RosterPage = parse(value)?;
            self.roster.extend(page.machines.into_keys());
        } else if key.starts_with("s/0/snap/") {
            let chunk: Chunk = parse(value)?;
            chunk.jobs.into_iter().for_each(|piece| self.piece(&piece));
        } else if key.starts_with("b/0/") {
            let record: BookingRecord = parse(value)?;
            self.bookings.insert(record.rental.booking);
        } else if key == "s/0/seq" {
            parse::<SequenceRecord>(value)?;
        } else if key == "o/0/owner" {
            parse::<OwnerRecord>(value)?;
        } else {
            return None;
        }
        Some(())
    }

    fn piece(&mut self, piece: &Piece) {
        let done = self.done.entry(piece.j.clone()).or_default();
        for range in piece.d.split(',').filter(|range| !range.is_empty()) {
            let (from, to) = range.split_once('-').unwrap_or((range, range));
            if let (Ok(from), Ok(to)) = (from.parse::<u32>(), to.parse::<u32>()) {
                done.extend(from..=to);
            }
        }
        for entry in piece.p.split(',') {
            if let Some((task, machine)) = entry.split_once('@')
                && let Ok(task) = task.parse()
            {
                let key = (piece.j.clone(), task);
                self.placed.insert(key, machine.to_owned());
            }
        }
    }
}
