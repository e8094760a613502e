//! Refusals by the simulated key-value store: an outage, in which it answers 503 to every
//! controller, or a refusal of one controller alone.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};

/// How often a watch that is held back checks whether its controller is served again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The path of watches. Those that are open wait while their controller is refused.
const WATCH_PATH: &str = "/follow";

/// Which controllers the store refuses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Refused {
    #[default]
    Nobody,
    /// The controller with this index.
    Only(usize),
    Everybody,
}

/// Which controllers the store refuses at present; shared by its routes and the test.
#[derive(Clone, Default)]
pub(crate) struct Refusal(Arc<Mutex<Refused>>);

impl Refusal {
    pub(crate) fn set(&self, refused: Refused) {
        *self.0.lock().expect("refusal") = refused;
    }

    pub(crate) fn get(&self) -> Refused {
        *self.0.lock().expect("refusal")
    }

    fn concerns(&self, controller: usize) -> bool {
        match self.get() {
            Refused::Nobody => false,
            Refused::Only(refused) => refused == controller,
            Refused::Everybody => true,
        }
    }
}

/// The refusal and the index of the controller whose requests it is applied to.
#[derive(Clone)]
pub(crate) struct Gate {
    pub(crate) refusal: Refusal,
    pub(crate) controller: usize,
}

impl Gate {
    fn is_closed(&self) -> bool {
        self.refusal.concerns(self.controller)
    }
}

/// Answers 503 while the controller is refused. The answer to a watch that was open before waits.
pub(crate) async fn refuse(State(gate): State<Gate>, request: Request, next: Next) -> Response {
    if gate.is_closed() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let is_watch = request.uri().path() == WATCH_PATH;
    let response = next.run(request).await;
    while is_watch && gate.is_closed() {
        tokio::time::sleep(RECHECK_INTERVAL).await;
    }
    response
}
