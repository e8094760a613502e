//! An HTTP client with a deadline for each call and pooled connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use thiserror::Error;

/// Largest answer that is accepted, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// How long an unused connection is kept, unless the caller says otherwise.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of unused connections that are kept for one host.
const MAX_IDLE_PER_HOST: usize = 4;
/// Longest time until a connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection was established: the request was surely not carried out.
    #[error("not sent")]
    NotSent,
    /// The request was sent, in part at least, and not answered before the deadline: it may have
    /// been carried out, or may still be.
    #[error("no answer")]
    NoAnswer,
    /// The request was carried out, and its answer exceeds [`MAX_ANSWER_BYTES`].
    #[error("answer too large")]
    TooLarge,
}

/// An answer, of whatever status.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// The client; clones share their pool of connections.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client that keeps unused connections for a default time.
    pub fn new() -> Self {
        Self::with_idle_timeout(DEFAULT_IDLE_TIMEOUT)
    }

    /// A client that keeps unused connections for this time, or none if it is zero.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let max_idle = if idle_timeout.is_zero() {
            0
        } else {
            MAX_IDLE_PER_HOST
        };
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(max_idle)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for its answer until the deadline.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        deadline: Duration,
    ) -> Result<Answer, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body.into()))
            .map_err(|_| CallError::NotSent)?;
        tokio::time::timeout(deadline, self.exchange(request))
            .await
            .unwrap_or(Err(CallError::NoAnswer))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotSent
            } else {
                CallError::NoAnswer
            }
        })?;
        let status = response.status();
        let body = read_body(response.into_body()).await?;
        Ok(Answer { status, body })
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(CallError::TooLarge),
        Err(_) => Err(CallError::NoAnswer),
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}
