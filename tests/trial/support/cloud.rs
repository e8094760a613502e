//! A cloud that rents machines; each boots with a worker after a moment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use valegap::protocol::cloud::{MachineNames, Rental};

use super::worker;

/// Machines that can be rented at once.
const CAPACITY: usize = 4;

#[derive(Clone)]
struct Cloud {
    controllers: Arc<Vec<(String, SocketAddr)>>,
    state: Arc<Mutex<Rented>>,
}

struct RentedMachine {
    zone: String,
    worker: JoinHandle<()>,
}

#[derive(Default)]
struct Rented {
    next: u64,
    machines: BTreeMap<String, RentedMachine>,
    /// The machines rented under each request's name, which makes it idempotent.
    answers: BTreeMap<String, Vec<String>>,
}

/// The routes of a cloud whose machines send heartbeats to these controllers.
pub(crate) fn router(controllers: Vec<(String, SocketAddr)>) -> Router {
    let cloud = Cloud {
        controllers: Arc::new(controllers),
        state: Arc::default(),
    };
    Router::new()
        .route("/machine_types", get(types))
        .route("/rentals", post(rent).get(list))
        .route("/rentals/delete", post(delete))
        .with_state(cloud)
}

async fn types() -> Json<Value> {
    Json(json!({ "Instruments": [{
        "Name": "m4", "Cores": 4, "Accelerators": 0, "MemGb": 16, "CacheGb": 50,
        "FetchGbPerS": 10.0, "Price": 1.0, "LowPrice": 0.3, "StartupS": 1, "Halls": ["north"],
    }] }))
}

async fn rent(State(cloud): State<Cloud>, Json(rental): Json<Rental>) -> Response {
    let mut state = cloud.state.lock().expect("cloud");
    if let Some(names) = state.answers.get(&rental.request) {
        return Json(json!({ "Stands": names })).into_response();
    }
    let free = CAPACITY.saturating_sub(state.machines.len());
    let mut names = Vec::new();
    for _ in 0..free.min(rental.count as usize) {
        state.next += 1;
        let name = format!("vm-{:06}", state.next);
        let controllers = cloud.controllers.clone();
        let (id, spot) = (name.clone(), rental.spot);
        let worker = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(300)).await;
            worker::run(id, spot, controllers).await;
        });
        state.machines.insert(
            name.clone(),
            RentedMachine {
                zone: rental.zone.clone(),
                worker,
            },
        );
        names.push(name);
    }
    if names.is_empty() {
        let body = Json(json!({ "error": "no capacity" }));
        return (StatusCode::SERVICE_UNAVAILABLE, body).into_response();
    }
    state.answers.insert(rental.request, names.clone());
    Json(json!({ "Stands": names })).into_response()
}

async fn list(State(cloud): State<Cloud>) -> Json<Value> {
    let state = cloud.state.lock().expect("cloud");
    let machines: Vec<Value> = state
        .machines
        .iter()
        .map(|(name, machine)| {
            json!({ "NameId": name, "Addr": "", "Instrument": "m4", "Hall": machine.zone,
                    "Borrowed": false, "Stage": "running", "HeldS": 5.0 })
        })
        .collect();
    Json(json!({ "Stands": machines, "HasNext": false }))
}

async fn delete(State(cloud): State<Cloud>, Json(names): Json<MachineNames>) -> Json<Value> {
    let mut state = cloud.state.lock().expect("cloud");
    for name in names.machines {
        if let Some(machine) = state.machines.remove(&name) {
            machine.worker.abort();
        }
    }
    Json(json!({}))
}
