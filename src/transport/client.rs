//! An HTTP client with pooled connections and a deadline for each call.

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

/// Maximum size of the body of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Default time for which an unused connection is kept in the pool.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of unused connections that are kept in the pool for one host.
const MAX_IDLE_PER_HOST: usize = 4;
/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call failed without a usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request was not sent, for instance because no connection was established. It is certain
    /// that the request was not carried out.
    #[error("not sent")]
    NotSent,
    /// The request may have been sent, wholly or in part, and no complete answer arrived before
    /// the deadline. The request may have been carried out, or may still be.
    #[error("no answer")]
    NoAnswer,
    /// The request was carried out, but its answer exceeds [`MAX_ANSWER_BYTES`].
    #[error("answer too large")]
    TooLarge,
}

/// The answer to a call, with any HTTP status.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// An HTTP client. Clones share one connection pool.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps unused connections for the default time.
    pub fn new() -> Self {
        Self::with_idle_timeout(DEFAULT_IDLE_TIMEOUT)
    }

    /// Creates a client that keeps unused connections for `idle_timeout`. If it is zero, no unused
    /// connection is kept.
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

    /// Sends a request and returns its answer. `deadline` is the maximum time from the start of the
    /// call until the whole answer has been received.
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
        tokio::time::timeout(deadline, self.send(request))
            .await
            .unwrap_or(Err(CallError::NoAnswer))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
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
