//! The client of the cloud's HTTP interface: machine types, the machine list, rentals and
//! deletions.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::protocol::MachineId;
use crate::protocol::cloud::{
    ListedMachine, MachineNames, MachinePage, MachineType, MachineTypes, Rental,
};
use crate::transport::client::{Answer, CallError, HttpClient};

/// Time from sending a request to the cloud until it counts as unanswered.
const CLOUD_DEADLINE: Duration = Duration::from_secs(4);
/// Number of machines requested for one page of the machine list.
const LIST_PAGE_ENTRIES: usize = 500;
/// Text in the body of a 503 by which the cloud refuses a rental for lack of capacity. A 503
/// without it means that the cloud is temporarily unavailable.
const NO_CAPACITY: &[u8] = b"no capacity";

/// Why a request to the cloud failed.
#[derive(Debug, Error)]
pub enum CloudError {
    /// The cloud refused the request: it has no machines of this kind now.
    #[error("the cloud has no capacity for this request")]
    NoCapacity,
    /// The cloud rejected the request as malformed and will never carry it out.
    #[error("the cloud calls the request malformed")]
    Malformed,
    /// The request could not be encoded and was not sent.
    #[error("the request cannot be encoded: {0}")]
    Unencodable(#[source] serde_json::Error),
    /// The cloud answered with a status that doesn't tell whether the request was carried out.
    #[error("the cloud answered with status {0}")]
    Unavailable(StatusCode),
    /// The call has no answer: unless it was not sent, the request may have been carried out or
    /// may still be.
    #[error("the request to the cloud failed: {0}")]
    Call(#[from] CallError),
    /// The cloud answered with success, but the body cannot be parsed.
    #[error("the cloud's answer cannot be parsed: {0}")]
    Unreadable(#[source] serde_json::Error),
}

/// A client of the cloud's HTTP interface.
pub struct CloudClient {
    http: HttpClient,
    addr: SocketAddr,
}

impl CloudClient {
    /// Creates a client of the cloud at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(),
            addr,
        }
    }

    /// Reads all machine types with their prices.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let answer: MachineTypes = self.get("/machine_types").await?;
        Ok(answer.types)
    }

    /// Reads the list of all rented machines, page by page.
    pub async fn list_machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let after = machines.last().map_or("", |machine| machine.id.as_str());
            let path = format!("/rentals?After={after}&Most={LIST_PAGE_ENTRIES}");
            let page: MachinePage = self.get(&path).await?;
            let has_next_page = page.has_more && !page.machines.is_empty();
            machines.extend(page.machines);
            if !has_next_page {
                return Ok(machines);
            }
        }
    }

    /// Rents machines and returns the names of those rented, which may be fewer than requested.
    /// The cloud carries out a request only once, however often it is sent with the same id.
    pub async fn rent(&self, rental: &Rental) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(rental).map_err(CloudError::Unencodable)?;
        let rented: MachineNames = self.call(Method::POST, "/rentals", body).await?;
        Ok(rented.machines)
    }

    /// Deletes machines, which returns them to the cloud.
    pub async fn delete(&self, machines: &[MachineId]) -> Result<(), CloudError> {
        let names = MachineNames {
            machines: machines.iter().map(|id| id.to_string()).collect(),
        };
        let body = serde_json::to_vec(&names).map_err(CloudError::Unencodable)?;
        let _: serde_json::Value = self.call(Method::POST, "/rentals/delete", body).await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CloudError> {
        self.call(Method::GET, path, Vec::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, CloudError> {
        let answer = self
            .http
            .call(method, self.addr, path, body, CLOUD_DEADLINE)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(classify_error(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(CloudError::Unreadable)
    }
}

/// Classifies an answer whose status is not 200.
fn classify_error(answer: &Answer) -> CloudError {
    let body_says_no_capacity = || {
        answer
            .body
            .windows(NO_CAPACITY.len())
            .any(|window| window == NO_CAPACITY)
    };
    match answer.status {
        StatusCode::BAD_REQUEST => CloudError::Malformed,
        StatusCode::SERVICE_UNAVAILABLE if body_says_no_capacity() => CloudError::NoCapacity,
        status => CloudError::Unavailable(status),
    }
}

#[cfg(test)]
mod tests;
