//! A simulated key-value store: keys with modification revisions, compare-and-swap transactions,
//! leases and watches. Tests can delay the commit of a transaction.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::middleware::from_fn_with_state;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{delete, get, post};
use serde_json::{Value, json};
use tokio::sync::Notify;
use valegap::protocol::kv::{KeyValue, LeaseRequest, Mutation, Precondition, Transaction};

use super::refusal::{Gate, Refusal, Refused, refuse};

/// A key's value, the revision of its last change, and the lease that the key is attached to, if
/// any: the key is deleted when the lease ends.
struct StoredKey {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

struct Lease {
    time_to_live: Duration,
    expires_at: Instant,
}

/// A change of a key: the event that watches of the key receive, and the store's revision after the
/// change.
struct RecordedEvent {
    key: String,
    revision: u64,
    event: Value,
}

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, StoredKey>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease_id: u64,
    events: Vec<RecordedEvent>,
}

impl Store {
    fn record_event(&mut self, key: String, event: Value) {
        let revision = self.revision;
        self.events.push(RecordedEvent {
            key,
            revision,
            event,
        });
    }

    fn delete_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = json!({ "Drop": key, "Mark": self.revision });
            self.record_event(key.to_owned(), event);
        }
    }

    /// Whether a mutation attaches its key to a lease that doesn't exist.
    fn refers_to_missing_lease(&self, mutation: &Mutation) -> bool {
        match mutation {
            Mutation::Put { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Mutation::Delete { .. } => false,
        }
    }

    /// The keys of the transaction's preconditions that don't hold.
    fn failed_preconditions(&self, txn: &Transaction) -> Vec<String> {
        let holds = |precondition: &&Precondition| {
            let stored = self.keys.get(&precondition.key);
            stored.map_or(0, |stored| stored.mod_revision) == precondition.mod_revision
        };
        let failed = txn
            .preconditions
            .iter()
            .filter(|precondition| !holds(precondition));
        failed
            .map(|precondition| precondition.key.clone())
            .collect()
    }

    /// Revokes the leases that have expired.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Gives all leases their full time again, as after an outage.
    fn extend_leases(&mut self) {
        let now = Instant::now();
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.time_to_live;
        }
    }

    /// Deletes a lease and the keys attached to it.
    fn revoke_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.delete_key(&key);
        }
    }
}

/// Transactions whose sender gets no answer, and which are executed only when the test asks for it.
#[derive(Default)]
struct DelayedTransactions {
    /// The next transaction that writes this key will be delayed.
    next_key: Option<String>,
    transactions: Vec<Transaction>,
}

/// The simulated store, shared by its HTTP routes and the test.
#[derive(Clone, Default)]
pub(crate) struct KvStore {
    store: Arc<Mutex<Store>>,
    /// Wakes watches when the store may have changed.
    changed: Arc<Notify>,
    delayed: Arc<Mutex<DelayedTransactions>>,
    /// Which controllers the store refuses.
    pub(crate) refusal: Refusal,
}

impl KvStore {
    /// Restores recorded keys with their revisions, except keys that are attached to a lease: those
    /// leases have expired since the recording.
    pub(crate) fn restore(&self, items: &[KeyValue]) {
        let mut store = self.store.lock().expect("store");
        for item in items.iter().filter(|item| item.lease.is_none()) {
            let stored = StoredKey {
                value: item.value.clone(),
                mod_revision: item.mod_revision,
                lease: None,
            };
            store.keys.insert(item.key.clone(), stored);
            store.revision = store.revision.max(item.mod_revision);
        }
    }

    /// Executes a transaction of the test itself. Returns false if a precondition fails.
    pub(crate) fn commit(&self, txn: Transaction) -> bool {
        self.execute(txn).status() == StatusCode::OK
    }

    /// Delays the next transaction that writes this key: its sender gets no answer, and it is
    /// executed only by [`Self::commit_delayed`].
    pub(crate) fn delay_next_write(&self, key: &str) {
        self.delayed.lock().expect("delayed").next_key = Some(key.to_owned());
    }

    /// The number of transactions that are delayed at present.
    pub(crate) fn delayed_count(&self) -> usize {
        self.delayed.lock().expect("delayed").transactions.len()
    }

    /// Executes the delayed transactions; returns for each whether its preconditions held, so that
    /// it was committed.
    pub(crate) fn commit_delayed(&self) -> Vec<bool> {
        let mut delayed = self.delayed.lock().expect("delayed");
        let transactions = std::mem::take(&mut delayed.transactions);
        drop(delayed);
        let committed = |txn| self.execute(txn).status() == StatusCode::OK;
        transactions.into_iter().map(committed).collect()
    }

    /// The value of a key; `None` if the key doesn't exist.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        let store = self.store.lock().expect("store");
        store.keys.get(key).map(|stored| stored.value.clone())
    }

    /// Keeps the transaction for later and returns true, if it writes the key that
    /// [`Self::delay_next_write`] was last called with.
    fn delay_if_requested(&self, txn: &Transaction) -> bool {
        let mut delayed = self.delayed.lock().expect("delayed");
        let writes = |key: &str| {
            txn.mutations.iter().any(|change| match change {
                Mutation::Put { key: put, .. } => put == key,
                Mutation::Delete { key: deleted } => deleted == key,
            })
        };
        let is_requested = delayed.next_key.as_deref().is_some_and(writes);
        if is_requested {
            delayed.next_key = None;
            delayed.transactions.push(txn.clone());
        }
        is_requested
    }
}

type Parameters = Query<HashMap<String, String>>;

/// A numeric query parameter; 0 if the parameter is missing or not a number.
fn query_number(query: &HashMap<String, String>, name: &str) -> u64 {
    query
        .get(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// The HTTP routes of a store for one controller, which the store may refuse.
pub(crate) fn routes_for(service: KvStore, controller: usize) -> Router {
    let gate = Gate {
        refusal: service.refusal.clone(),
        controller,
    };
    routes(service).layer(from_fn_with_state(gate, refuse))
}

/// The HTTP routes of a store. Also starts the task that expires the store's leases.
pub(crate) fn routes(service: KvStore) -> Router {
    let expiring = service.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut store = expiring.store.lock().expect("store");
            match expiring.refusal.get() {
                Refused::Everybody => store.extend_leases(),
                _ => store.expire_leases(),
            }
            drop(store);
            expiring.changed.notify_waiters();
        }
    });
    Router::new()
        .route("/store", get(list))
        .route("/store/{*key}", get(read))
        .route("/txn", post(txn))
        .route("/holds", post(grant))
        .route("/holds/{id}/renew", post(renew))
        .route("/holds/{id}", delete(revoke))
        .route("/follow", get(watch))
        .with_state(service)
}

async fn read(State(service): State<KvStore>, Path(key): Path<String>) -> Response {
    let store = service.store.lock().expect("store");
    match store.keys.get(&key) {
        Some(StoredKey {
            value,
            mod_revision,
            lease,
        }) => Json(json!({ "Path": key, "V": value, "Mark": mod_revision, "Tenure": lease }))
            .into_response(),
        None => {
            let body = Json(json!({ "Edition": store.revision }));
            (StatusCode::NOT_FOUND, body).into_response()
        }
    }
}

async fn list(State(service): State<KvStore>, Query(query): Parameters) -> Json<Value> {
    let prefix = query.get("Prefix").cloned().unwrap_or_default();
    let after = query.get("After").cloned().unwrap_or_default();
    let limit = query_number(&query, "Most").clamp(1, 1000) as usize;
    let store = service.store.lock().expect("store");
    let mut entries = store
        .keys
        .range(prefix.clone()..)
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .map(
            |(key, stored)| json!({ "Path": key, "V": stored.value, "Mark": stored.mod_revision }),
        );
    let items: Vec<Value> = entries.by_ref().take(limit).collect();
    let has_more = entries.next().is_some();
    Json(json!({ "Pairs": items, "HasNext": has_more, "Edition": store.revision }))
}

async fn txn(State(service): State<KvStore>, Json(txn): Json<Transaction>) -> Response {
    if service.delay_if_requested(&txn) {
        std::future::pending::<()>().await;
    }
    service.execute(txn)
}

impl KvStore {
    /// Commits a transaction, or answers with the keys of the preconditions that don't hold.
    fn execute(&self, txn: Transaction) -> Response {
        let mut store = self.store.lock().expect("store");
        store.expire_leases();
        if txn
            .mutations
            .iter()
            .any(|mutation| store.refers_to_missing_lease(mutation))
        {
            let body = Json(json!({ "error": "no such lease" }));
            return (StatusCode::BAD_REQUEST, body).into_response();
        }
        let failed = store.failed_preconditions(&txn);
        if !failed.is_empty() {
            let body = Json(json!({ "failed": failed, "Edition": store.revision }));
            return (StatusCode::CONFLICT, body).into_response();
        }
        if !txn.mutations.is_empty() {
            store.revision += 1;
        }
        let revision = store.revision;
        for change in txn.mutations {
            match change {
                Mutation::Put { key, value, lease } => {
                    let event = json!({ "Write": key, "V": value, "Mark": revision });
                    store.record_event(key.clone(), event);
                    let stored = StoredKey {
                        value,
                        mod_revision: revision,
                        lease,
                    };
                    store.keys.insert(key, stored);
                }
                Mutation::Delete { key } => store.delete_key(&key),
            }
        }
        drop(store);
        self.changed.notify_waiters();
        Json(json!({ "Edition": revision })).into_response()
    }
}

async fn grant(State(service): State<KvStore>, Json(request): Json<LeaseRequest>) -> Json<Value> {
    let mut store = service.store.lock().expect("store");
    store.last_lease_id += 1;
    let id = store.last_lease_id;
    let time_to_live = Duration::from_millis(request.ttl_ms);
    let lease = Lease {
        time_to_live,
        expires_at: Instant::now() + time_to_live,
    };
    store.leases.insert(id, lease);
    Json(json!({ "Tenure": id }))
}

async fn renew(State(service): State<KvStore>, Path(id): Path<u64>) -> StatusCode {
    let mut store = service.store.lock().expect("store");
    store.expire_leases();
    match store.leases.get_mut(&id) {
        Some(lease) => {
            lease.expires_at = Instant::now() + lease.time_to_live;
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn revoke(State(service): State<KvStore>, Path(id): Path<u64>) -> StatusCode {
    service.store.lock().expect("store").revoke_lease(id);
    service.changed.notify_waiters();
    StatusCode::OK
}

/// Answers with the events after a revision, as soon as there are any or the hold time has passed.
async fn watch(State(service): State<KvStore>, Query(query): Parameters) -> Json<Value> {
    let prefix = query.get("Prefix").cloned().unwrap_or_default();
    let after = query_number(&query, "After");
    let end = Instant::now() + Duration::from_millis(query_number(&query, "HoldMs"));
    loop {
        let changed = service.changed.notified();
        {
            let store = service.store.lock().expect("store");
            let events: Vec<&Value> = store
                .events
                .iter()
                .filter(|recorded| recorded.revision > after && recorded.key.starts_with(&prefix))
                .map(|recorded| &recorded.event)
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                return Json(json!({ "Edition": store.revision, "News": events }));
            }
        }
        let _ = tokio::time::timeout(Duration::from_millis(100), changed).await;
    }
}
