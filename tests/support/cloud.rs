//! A simulated cloud that rents machines. A worker starts on a machine shortly after the machine is
//! rented, and stops when the machine is deleted.

use std::collections::BTreeMap;
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

use super::worker::{self, SharedMachine, WorkerSettings};

/// How long a machine takes to boot.
const BOOT_TIME: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Cloud {
    /// The settings of the workers. The machines use them in turn.
    workers: Arc<Vec<Arc<WorkerSettings>>>,
    /// How many machines can be rented at the same time.
    capacity: usize,
    state: Arc<Mutex<CloudState>>,
}

struct RentedMachine {
    zone: String,
    spot: bool,
    machine: SharedMachine,
    worker: JoinHandle<()>,
}

#[derive(Default)]
struct CloudState {
    /// The number in the name of the machine that was rented last.
    last_machine_number: u64,
    /// The rented machines by name.
    machines: BTreeMap<String, RentedMachine>,
    /// The names of the machines that were granted to each rental request, by the request's name. A
    /// repeated request gets the same answer, so that it rents no further machines.
    granted: BTreeMap<String, Vec<String>>,
}

/// The HTTP routes of a cloud that rents up to `capacity` machines, whose workers have these settings
/// in turn.
pub(crate) fn router(workers: Vec<WorkerSettings>, capacity: usize) -> Router {
    let cloud = Cloud {
        workers: Arc::new(workers.into_iter().map(Arc::new).collect()),
        capacity,
        state: Arc::default(),
    };
    Router::new()
        .route("/machine_types", get(machine_types))
        .route("/rentals", post(rent).get(list))
        .route("/rentals/delete", post(delete))
        .with_state(cloud)
}

async fn machine_types() -> Json<Value> {
    Json(json!({ "Instruments": [{
        "Name": "m4", "Cores": 4, "Accelerators": 0, "MemGb": 16, "CacheGb": 50,
        "FetchGbPerS": 10.0, "Price": 1.0, "LowPrice": 0.3, "StartupS": 1, "Halls": ["north"],
    }] }))
}

/// Rents as many of the requested machines as the capacity allows.
async fn rent(State(cloud): State<Cloud>, Json(rental): Json<Rental>) -> Response {
    let mut state = cloud.state.lock().expect("cloud");
    if let Some(names) = state.granted.get(&rental.request) {
        return Json(json!({ "Stands": names })).into_response();
    }
    let available = cloud.capacity.saturating_sub(state.machines.len());
    let mut names = Vec::new();
    for _ in 0..available.min(rental.count as usize) {
        state.last_machine_number += 1;
        let name = format!("vm-{:06}", state.last_machine_number);
        let turn = state.last_machine_number as usize % cloud.workers.len();
        let settings = cloud.workers[turn].clone();
        let machine = worker::new_machine(&name, rental.spot, settings.clone());
        let worker = tokio::spawn(boot(machine.clone(), settings));
        state.machines.insert(
            name.clone(),
            RentedMachine {
                zone: rental.zone.clone(),
                spot: rental.spot,
                machine,
                worker,
            },
        );
        names.push(name);
    }
    if names.is_empty() {
        let body = Json(json!({ "error": "no capacity" }));
        return (StatusCode::SERVICE_UNAVAILABLE, body).into_response();
    }
    state.granted.insert(rental.request, names.clone());
    Json(json!({ "Stands": names })).into_response()
}

async fn boot(machine: SharedMachine, settings: Arc<WorkerSettings>) {
    tokio::time::sleep(BOOT_TIME).await;
    worker::run(machine, settings).await;
}

async fn list(State(cloud): State<Cloud>) -> Json<Value> {
    let state = cloud.state.lock().expect("cloud");
    let machines: Vec<Value> = state
        .machines
        .iter()
        .map(|(name, machine)| {
            json!({ "NameId": name, "Addr": "", "Instrument": "m4", "Hall": machine.zone,
                    "Borrowed": machine.spot, "Stage": "running", "HeldS": 5.0 })
        })
        .collect();
    Json(json!({ "Stands": machines, "HasNext": false }))
}

async fn delete(State(cloud): State<Cloud>, Json(names): Json<MachineNames>) -> Json<Value> {
    let mut state = cloud.state.lock().expect("cloud");
    for name in names.machines {
        if let Some(machine) = state.machines.remove(&name) {
            worker::delete(&machine.machine);
            machine.worker.abort();
        }
    }
    Json(json!({}))
}
