//! A key-value store: keys with versions, transactions, leases and watches.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{delete, get, post};
use serde_json::{Value, json};
use tokio::sync::Notify;
use valegap::protocol::kv::{KeyValue, LeaseRequest, Mutation, Transaction};

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    log: Vec<(String, u64, Value)>,
}

impl Store {
    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = json!({ "Drop": key, "Mark": self.revision });
            self.log.push((key.to_owned(), self.revision, event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.revoke_lease(id);
        }
    }

    fn revoke_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, lease))| *lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.drop_key(&key);
        }
    }
}

/// Transactions that get no answer and are carried out late.
#[derive(Default)]
struct Late {
    /// The next one that writes this key is held up.
    hold: Option<String>,
    held: Vec<Transaction>,
}

/// The stand-in.
#[derive(Clone, Default)]
pub struct Service {
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
    late: Arc<Mutex<Late>>,
}

impl Service {
    /// Takes in keys as another service held them, with their versions; whose lease
    /// has ended since is not among them.
    pub fn restore(&self, items: &[KeyValue]) {
        let mut store = self.store.lock().expect("store");
        for item in items.iter().filter(|item| item.lease.is_none()) {
            let entry = (item.value.clone(), item.mod_revision, None);
            store.keys.insert(item.key.clone(), entry);
            store.revision = store.revision.max(item.mod_revision);
        }
    }

    /// Carries out a transaction that comes from nowhere; false if it fails.
    pub fn apply(&self, txn: Transaction) -> bool {
        self.execute(txn).status() == StatusCode::OK
    }

    /// The next transaction that writes this key gets no answer, and isn't
    /// carried out before it is released.
    pub fn hold_up(&self, key: &str) {
        self.late.lock().expect("late").hold = Some(key.to_owned());
    }

    /// How many transactions are held up.
    pub fn held(&self) -> usize {
        self.late.lock().expect("late").held.len()
    }

    /// Carries out what was held up: for each whether it changed anything.
    pub fn release(&self) -> Vec<bool> {
        let held = std::mem::take(&mut self.late.lock().expect("late").held);
        let carried_out = |txn| self.execute(txn).status() == StatusCode::OK;
        held.into_iter().map(carried_out).collect()
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Value> {
        let store = self.store.lock().expect("store");
        store.keys.get(key).map(|(value, ..)| value.clone())
    }

    fn holds_up(&self, txn: &Transaction) -> bool {
        let mut late = self.late.lock().expect("late");
        let writes = |key: &str| {
            txn.mutations.iter().any(|change| match change {
                Mutation::Put { key: put, .. } => put == key,
                Mutation::Delete { key: gone } => gone == key,
            })
        };
        let held = late.hold.as_deref().is_some_and(writes);
        if held {
            late.hold = None;
            late.held.push(txn.clone());
        }
        held
    }
}

type Asked = Query<HashMap<String, String>>;

fn number(query: &HashMap<String, String>, name: &str) -> u64 {
    query
        .get(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// The routes of a stand-in whose answers a test holds up.
pub fn routes(service: Service) -> Router {
    let ticking = service.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            ticking.store.lock().expect("store").expire();
            ticking.changed.notify_waiters();
        }
    });
    Router::new()
        .route("/store", get(list))
        .route("/store/{*key}", get(read))
        .route("/txn", post(txn))
        .route("/holds", post(grant))
        .route("/holds/{id}/renew", post(renew))
        .route("/holds/{id}", delete(end))
        .route("/follow", get(follow))
        .with_state(service)
}

async fn read(State(service): State<Service>, Path(key): Path<String>) -> Response {
    let store = service.store.lock().expect("store");
    match store.keys.get(&key) {
        Some((value, mod_revision, lease)) => {
            Json(json!({ "Path": key, "V": value, "Mark": mod_revision, "Tenure": lease }))
                .into_response()
        }
        None => {
            let body = Json(json!({ "Edition": store.revision }));
            (StatusCode::NOT_FOUND, body).into_response()
        }
    }
}

async fn list(State(service): State<Service>, Query(query): Asked) -> Json<Value> {
    let prefix = query.get("Prefix").cloned().unwrap_or_default();
    let after = query.get("After").cloned().unwrap_or_default();
    let most = number(&query, "Most").clamp(1, 1000) as usize;
    let store = service.store.lock().expect("store");
    let mut found = store
        .keys
        .range(prefix.clone()..)
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .map(|(key, (value, mod_revision, _))| json!({ "Path": key, "V": value, "Mark": mod_revision }));
    let items: Vec<Value> = found.by_ref().take(most).collect();
    let more = found.next().is_some();
    Json(json!({ "Pairs": items, "HasNext": more, "Edition": store.revision }))
}

async fn txn(State(service): State<Service>, Json(txn): Json<Transaction>) -> Response {
    if service.holds_up(&txn) {
        std::future::pending::<()>().await;
    }
    service.execute(txn)
}

impl Service {
    fn execute(&self, txn: Transaction) -> Response {
        let mut store = self.store.lock().expect("store");
        store.expire();
        for change in &txn.mutations {
            if let Mutation::Put {
                lease: Some(id), ..
            } = change
                && !store.leases.contains_key(id)
            {
                let body = Json(json!({ "error": "no such lease" }));
                return (StatusCode::BAD_REQUEST, body).into_response();
            }
        }
        let failed: Vec<&String> = txn
            .preconditions
            .iter()
            .filter(|guard| {
                let mod_revision = store.keys.get(&guard.key).map_or(0, |entry| entry.1);
                mod_revision != guard.mod_revision
            })
            .map(|guard| &guard.key)
            .collect();
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
                    store.log.push((key.clone(), revision, event));
                    store.keys.insert(key, (value, revision, lease));
                }
                Mutation::Delete { key } => store.drop_key(&key),
            }
        }
        drop(store);
        self.changed.notify_waiters();
        Json(json!({ "Edition": revision })).into_response()
    }
}

async fn grant(State(service): State<Service>, Json(request): Json<LeaseRequest>) -> Json<Value> {
    let mut store = service.store.lock().expect("store");
    store.next_lease += 1;
    let id = store.next_lease;
    let ttl = Duration::from_millis(request.ttl_ms);
    store.leases.insert(id, (ttl, Instant::now() + ttl));
    Json(json!({ "Tenure": id }))
}

async fn renew(State(service): State<Service>, Path(id): Path<u64>) -> StatusCode {
    let mut store = service.store.lock().expect("store");
    store.expire();
    match store.leases.get_mut(&id) {
        Some((ttl, end)) => {
            *end = Instant::now() + *ttl;
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}

async fn end(State(service): State<Service>, Path(id): Path<u64>) -> StatusCode {
    service.store.lock().expect("store").revoke_lease(id);
    service.changed.notify_waiters();
    StatusCode::OK
}

async fn follow(State(service): State<Service>, Query(query): Asked) -> Json<Value> {
    let prefix = query.get("Prefix").cloned().unwrap_or_default();
    let after = number(&query, "After");
    let end = Instant::now() + Duration::from_millis(number(&query, "HoldMs"));
    loop {
        let changed = service.changed.notified();
        {
            let store = service.store.lock().expect("store");
            let events: Vec<&Value> = store
                .log
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix))
                .map(|(_, _, event)| event)
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                return Json(json!({ "Edition": store.revision, "News": events }));
            }
        }
        let _ = tokio::time::timeout(Duration::from_millis(100), changed).await;
    }
}
