//! An HTTP client with deadlines and pooled connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use thiserror::Error;

/// Largest answer that is read.
pub const MAX_ANSWER: usize = 4 << 20;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection came about: the request was surely not carried out.
    #[error("not sent")]
    NotSent,
    /// The request may have been carried out, or may still be.
    #[error("no answer")]
    NoAnswer,
    /// It was carried out, and its answer is larger than any that is read.
    #[error("answer too large")]
    TooLarge,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The answer's status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// The client; clones share their pool of connections.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client that keeps unused connections for a while.
    pub fn new() -> Self {
        Self::keeping(Duration::from_secs(30))
    }

    /// A client that keeps unused connections for so long, if at all.
    pub fn keeping(idle: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(if idle.is_zero() { 0 } else { 4 })
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
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    CallError::NotSent
                } else {
                    CallError::NoAnswer
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER)
                .collect()
                .await
                .map_err(|error| {
                    if error.is::<LengthLimitError>() {
                        CallError::TooLarge
                    } else {
                        CallError::NoAnswer
                    }
                })?
                .to_bytes();
            Ok(Answer { status, body })
        };
        tokio::time::timeout(deadline, exchange)
            .await
            .unwrap_or(Err(CallError::NoAnswer))
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}
