//! Reads and parses the shard's records in the store, for the recovery of a new leader.
//!
//! The records are read only after the new leader's record has been written, so that no write of an
//! earlier leader can follow the read: each of its writes is conditional on its own leader record.
//! A record that cannot be parsed is logged and left in the store as it is.

use std::time::Duration;

use super::lease::Sequence;
use crate::coordination::shard::{RecoveredMachine, RecoveredState, UnfinishedJob};
use crate::protocol::kv::KeyValue;
use crate::storage::kv_client::{KvClient, KvError};
use crate::storage::records::SequenceRecord;
use crate::storage::{keys, roster};

/// Deadline of each read of the shard's records.
const RECORDS_READ_DEADLINE: Duration = Duration::from_secs(2);

/// The shard's keys and values as the store holds them.
#[derive(Debug, Default, Clone)]
pub struct StoredRecords {
    /// Unfinished jobs.
    pub jobs: Vec<KeyValue>,
    /// Pages of the roster.
    pub roster: Vec<KeyValue>,
    /// Chunks of the snapshot.
    pub snapshot: Vec<KeyValue>,
    /// Scale-out requests that the cloud has not answered yet.
    pub pending_rentals: Vec<KeyValue>,
    /// The sequence record, if the shard was ever written.
    pub sequence: Option<KeyValue>,
    /// The revision of the store from which to watch the jobs: no later than the read of any job,
    /// so that the watch misses no change.
    pub revision: u64,
}

impl StoredRecords {
    /// Reads all of the shard's keys.
    pub async fn read(kv: &KvClient) -> Result<Self, KvError> {
        let (roster, snapshot, pending_rentals, sequence) = (
            keys::roster_prefix(),
            keys::snapshot_prefix(),
            keys::rental_prefix(),
            keys::sequence(),
        );
        let (jobs, roster, snapshot, pending_rentals, sequence) = tokio::try_join!(
            kv.list(keys::JOBS, RECORDS_READ_DEADLINE),
            kv.list(&roster, RECORDS_READ_DEADLINE),
            kv.list(&snapshot, RECORDS_READ_DEADLINE),
            kv.list(&pending_rentals, RECORDS_READ_DEADLINE),
            kv.get(&sequence, RECORDS_READ_DEADLINE),
        )?;
        Ok(Self {
            revision: jobs.revision,
            jobs: jobs.items,
            roster: roster.items,
            snapshot: snapshot.items,
            pending_rentals: pending_rentals.items,
            sequence,
        })
    }

    /// The state of the sequence record, on which the shard's next write is conditional.
    pub fn sequence(&self) -> Sequence {
        let Some(item) = &self.sequence else {
            return Sequence::default();
        };
        Sequence {
            mod_revision: item.mod_revision,
            number: parse::<SequenceRecord>(item).map_or(0, |record| record.number),
        }
    }

    /// Converts the records to the shard's own types. Leaves out those that cannot be parsed.
    pub fn parse(self) -> RecoveredState {
        RecoveredState {
            jobs: self.jobs.into_iter().filter_map(parse_job).collect(),
            roster: self.roster.iter().flat_map(parse_roster_page).collect(),
            chunks: self
                .snapshot
                .into_iter()
                .map(|item| (item.key, item.value))
                .collect(),
            pending_rentals: self.pending_rentals.iter().filter_map(parse).collect(),
        }
    }
}

/// Parses the record of an unfinished job: the job's id, its modification revision and
/// the record.
pub(super) fn parse_job(item: KeyValue) -> Option<UnfinishedJob> {
    let id = item.key.strip_prefix(keys::JOBS)?.to_owned();
    let record = parse(&item)?;
    Some(UnfinishedJob::new(id, item.mod_revision, record))
}

fn parse<T: serde::de::DeserializeOwned>(item: &KeyValue) -> Option<T> {
    match serde_json::from_value(item.value.clone()) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key = item.key, %error, "a stored record cannot be parsed");
            None
        }
    }
}

fn parse_roster_page(item: &KeyValue) -> Vec<RecoveredMachine> {
    let page = item.key.strip_prefix(&keys::roster_prefix());
    let page = page.and_then(|page| page.parse().ok());
    let (Some(page), Ok(machines)) = (page, roster::decode_page(&item.value)) else {
        tracing::error!(key = item.key, "a page of the roster cannot be parsed");
        return Vec::new();
    };
    machines
        .into_iter()
        .map(|(id, record)| RecoveredMachine { id, page, record })
        .collect()
}
