//! The client of the cloud's interface.

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

/// Deadline of one request to the cloud.
const CLOUD_DEADLINE: Duration = Duration::from_secs(4);
/// Entries asked for on one page of the machine list.
const LIST_PAGE_ENTRIES: usize = 500;
/// What the body of a 503 says when the cloud refuses for want of capacity; any other
/// 503 means that it doesn't serve now.
const NO_CAPACITY: &[u8] = b"no capacity";

/// Why the cloud didn't do what it was asked.
#[derive(Debug, Error)]
pub enum CloudError {
    /// It answered, and will not carry the request out: it has no such machines now.
    #[error("the cloud has no capacity for this request")]
    NoCapacity,
    /// It answered that the request is malformed, and will never carry it out.
    #[error("the cloud calls the request malformed")]
    Malformed,
    /// The request could not be encoded, and was not sent.
    #[error("the request cannot be encoded: {0}")]
    Unencodable(#[source] serde_json::Error),
    /// An answer that leaves open whether the request was carried out.
    #[error("the cloud answered with status {0}")]
    Unavailable(StatusCode),
    /// No answer; the request may have been carried out, or may still be.
    #[error("the request to the cloud failed: {0}")]
    Call(#[from] CallError),
    /// Success, with a body that cannot be parsed.
    #[error("the cloud's answer cannot be parsed: {0}")]
    Unreadable(#[source] serde_json::Error),
}

/// The client of the cloud's interface.
pub struct CloudClient {
    http: HttpClient,
    addr: SocketAddr,
}

impl CloudClient {
    /// A client of the cloud at this address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(),
            addr,
        }
    }

    /// The machine types, with their prices.
    pub async fn machine_types(&self) -> Result<Vec<MachineType>, CloudError> {
        let answer: MachineTypes = self.get("/machine_types").await?;
        Ok(answer.types)
    }

    /// All rented machines, page by page.
    pub async fn list_machines(&self) -> Result<Vec<ListedMachine>, CloudError> {
        let mut machines: Vec<ListedMachine> = Vec::new();
        loop {
            let after = machines.last().map_or("", |machine| machine.id.as_str());
            let path = format!("/rentals?After={after}&Most={LIST_PAGE_ENTRIES}");
            let page: MachinePage = self.get(&path).await?;
            let more = page.more && !page.machines.is_empty();
            machines.extend(page.machines);
            if !more {
                return Ok(machines);
            }
        }
    }

    /// Rents machines; the names of those that were rented, perhaps fewer than asked for.
    /// The cloud carries out a repeated request of the same id only once.
    pub async fn rent(&self, rental: &Rental) -> Result<Vec<String>, CloudError> {
        let body = serde_json::to_vec(rental).map_err(CloudError::Unencodable)?;
        let rented: MachineNames = self.call(Method::POST, "/rentals", body).await?;
        Ok(rented.machines)
    }

    /// Deletes machines: they are returned to the cloud.
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
            return Err(refusal(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(CloudError::Unreadable)
    }
}

/// What an answer other than 200 says of the request.
fn refusal(answer: &Answer) -> CloudError {
    let says_no_capacity = || {
        answer
            .body
            .windows(NO_CAPACITY.len())
            .any(|window| window == NO_CAPACITY)
    };
    match answer.status {
        StatusCode::BAD_REQUEST => CloudError::Malformed,
        StatusCode::SERVICE_UNAVAILABLE if says_no_capacity() => CloudError::NoCapacity,
        status => CloudError::Unavailable(status),
    }
}

#[cfg(test)]
mod tests;
