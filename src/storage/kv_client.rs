//! The key-value store's client.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use hyper::{Method, StatusCode};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

use crate::clock::Clock;
use crate::protocol::kv::{
    Committed, KeyPage, KeyValue, LeaseGranted, LeaseRequest, Transaction, WatchPage,
};
use crate::transport::client::{Answer, CallError, HttpClient};

/// Why the key-value store didn't do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KvError {
    /// The request was not carried out, for this reason.
    #[error("refused ({0})")]
    Refused(Refusal),
    /// It may have done it, or may still do it.
    #[error("no answer")]
    NoAnswer,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The watch's starting point is too old, or too much has changed since: the
    /// keys have to be read again, in pages.
    #[error("the watch is too old")]
    TooOld,
    /// It calls the request malformed: larger than its limits, as far as is known.
    /// It will never take it as it is.
    #[error("too large: {0}")]
    TooLarge(String),
    /// An answer outside its protocol.
    #[error("unexpected answer: {0}")]
    Unexpected(String),
}

/// Why a request was surely not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The store answered 503: it serves nobody here now.
    #[error("503")]
    Unavailable,
    /// The store answered 429: it is at its rate limit.
    #[error("429")]
    RateLimited,
    /// No connection to the store came about.
    #[error("no connection")]
    NotConnected,
    /// This controller's own share of the store's writes is used up; nothing was sent.
    #[error("busy")]
    LocalRateLimit,
    /// Other writers changed the same keys at every try.
    #[error("conflicts")]
    TooManyConflicts,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It was carried out.
    Committed {
        /// The revision of its changes.
        revision: u64,
    },
    /// A condition did not hold: nothing was changed.
    Conflict,
}

/// How the service has answered lately.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    served: Option<Instant>,
    failed: Option<Instant>,
}

/// The client. Renewals and watches have connections of their own.
pub struct KvClient {
    addr: SocketAddr,
    clock: Arc<dyn Clock>,
    requests: HttpClient,
    renewals: HttpClient,
    watches: HttpClient,
    health: Mutex<Health>,
    /// Times of the answered requests, watches apart, in microseconds.
    latencies: Mutex<Histogram<u64>>,
}

/// Percentiles of the service's latencies.
#[derive(Debug, Clone, Copy)]
pub struct Latencies {
    /// Requests that were answered.
    pub answered: u64,
    /// The median.
    pub p50: Duration,
    /// The 99th percentile.
    pub p99: Duration,
    /// The longest.
    pub longest: Duration,
}

/// Longest latency that is told from longer ones.
const LONGEST_LATENCY_US: u64 = 60_000_000;

impl KvClient {
    /// A client for the service at this address.
    pub fn new(addr: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        Self {
            addr,
            clock,
            requests: HttpClient::new(),
            renewals: HttpClient::new(),
            watches: HttpClient::new(),
            health: Mutex::new(Health::default()),
            latencies: Mutex::new(
                Histogram::new_with_bounds(1, LONGEST_LATENCY_US, 2)
                    .expect("the bounds are constants in range"),
            ),
        }
    }

    /// How long the service has taken to answer since the start.
    pub fn latencies(&self) -> Latencies {
        let histogram = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
        let at = |quantile| Duration::from_micros(histogram.value_at_quantile(quantile));
        Latencies {
            answered: histogram.len(),
            p50: at(0.5),
            p99: at(0.99),
            longest: Duration::from_micros(histogram.max()),
        }
    }

    /// When it last served this node, and when it last failed to.
    pub fn health(&self) -> (Option<Instant>, Option<Instant>) {
        let health = *self.health.lock().unwrap_or_else(|e| e.into_inner());
        (health.served, health.failed)
    }

    fn note(&self, result: &Result<Answer, CallError>) {
        let mut health = self.health.lock().unwrap_or_else(|e| e.into_inner());
        let served = match result {
            Ok(answer) => answer.status != StatusCode::SERVICE_UNAVAILABLE,
            Err(error) => *error == CallError::TooLarge,
        };
        let now = self.clock.now();
        if served {
            health.served = Some(now);
        } else {
            health.failed = Some(now);
        }
    }

    async fn call(
        &self,
        client: &HttpClient,
        method: Method,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Result<Answer, KvError> {
        let sent = self.clock.now();
        let result = client.call(method, self.addr, path, body, deadline).await;
        if result.is_ok() && !path.starts_with("/follow") {
            let micros = (self.clock.now() - sent)
                .as_micros()
                .clamp(1, LONGEST_LATENCY_US.into());
            let mut histogram = self.latencies.lock().unwrap_or_else(|e| e.into_inner());
            histogram.saturating_record(micros as u64);
        }
        self.note(&result);
        match result {
            Ok(answer) => match answer.status {
                StatusCode::SERVICE_UNAVAILABLE => Err(KvError::Refused(Refusal::Unavailable)),
                StatusCode::TOO_MANY_REQUESTS => Err(KvError::Refused(Refusal::RateLimited)),
                _ => Ok(answer),
            },
            Err(CallError::NotSent) => Err(KvError::Refused(Refusal::NotConnected)),
            Err(CallError::NoAnswer) => Err(KvError::NoAnswer),
            // Only what a watch has missed has no limit of its own.
            Err(CallError::TooLarge) => Err(KvError::TooOld),
        }
    }

    /// Reads one key.
    pub async fn get(&self, key: &str, deadline: Duration) -> Result<Option<KeyValue>, KvError> {
        let path = format!("/store/{key}");
        let answer = self
            .call(&self.requests, Method::GET, &path, Vec::new(), deadline)
            .await?;
        match answer.status {
            StatusCode::OK => parse(&answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected(&answer)),
        }
    }

    /// Reads all keys with a prefix, with a revision no later than any of the
    /// pages: a watch from there misses nothing.
    pub async fn list(
        &self,
        prefix: &str,
        deadline: Duration,
    ) -> Result<(Vec<KeyValue>, u64), KvError> {
        let mut items = Vec::new();
        let mut revision = None;
        let mut after = String::new();
        loop {
            let path = format!("/store?Prefix={prefix}&After={after}&Most=500");
            let answer = self
                .call(&self.requests, Method::GET, &path, Vec::new(), deadline)
                .await?;
            if answer.status != StatusCode::OK {
                return Err(unexpected(&answer));
            }
            let page: KeyPage = parse(&answer)?;
            let first = *revision.get_or_insert(page.revision);
            let last = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            match last {
                Some(last) if page.more => after = last,
                _ => return Ok((items, first)),
            }
        }
    }

    /// Runs one transaction.
    pub async fn txn(
        &self,
        txn: &Transaction,
        deadline: Duration,
    ) -> Result<TransactionOutcome, KvError> {
        let body = serde_json::to_vec(txn).map_err(|e| KvError::Unexpected(e.to_string()))?;
        let answer = self
            .call(&self.requests, Method::POST, "/txn", body, deadline)
            .await?;
        match answer.status {
            StatusCode::OK => {
                let done: Committed = parse(&answer)?;
                Ok(TransactionOutcome::Committed {
                    revision: done.revision,
                })
            }
            StatusCode::CONFLICT => Ok(TransactionOutcome::Conflict),
            StatusCode::BAD_REQUEST if answer.body.windows(13).any(|w| w == b"no such lease") => {
                Err(KvError::LeaseEnded)
            }
            StatusCode::BAD_REQUEST => Err(KvError::TooLarge(text(&answer))),
            _ => Err(unexpected(&answer)),
        }
    }

    /// Asks for a lease.
    pub async fn grant_lease(&self, ttl: Duration, deadline: Duration) -> Result<u64, KvError> {
        let request = LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let body = serde_json::to_vec(&request).map_err(|e| KvError::Unexpected(e.to_string()))?;
        let answer = self
            .call(&self.renewals, Method::POST, "/holds", body, deadline)
            .await?;
        if answer.status != StatusCode::OK {
            return Err(unexpected(&answer));
        }
        parse::<LeaseGranted>(&answer).map(|granted| granted.lease)
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, lease: u64, deadline: Duration) -> Result<(), KvError> {
        let path = format!("/holds/{lease}/renew");
        let answer = self
            .call(&self.renewals, Method::POST, &path, Vec::new(), deadline)
            .await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => Err(KvError::LeaseEnded),
            _ => Err(unexpected(&answer)),
        }
    }

    /// Ends a lease at once.
    pub async fn revoke_lease(&self, lease: u64, deadline: Duration) -> Result<(), KvError> {
        let path = format!("/holds/{lease}");
        let answer = self
            .call(&self.renewals, Method::DELETE, &path, Vec::new(), deadline)
            .await?;
        if answer.status.is_success() || answer.status == StatusCode::NOT_FOUND {
            Ok(())
        } else {
            Err(unexpected(&answer))
        }
    }

    /// Waits for changes of keys with a prefix.
    pub async fn follow(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchPage, KvError> {
        let deadline = wait + Duration::from_millis(1500);
        self.watch_once(&self.watches, prefix, after, wait, deadline)
            .await
    }

    /// All changes of keys with a prefix up to now, without waiting.
    pub async fn catch_up(
        &self,
        prefix: &str,
        after: u64,
        deadline: Duration,
    ) -> Result<WatchPage, KvError> {
        self.watch_once(&self.requests, prefix, after, Duration::ZERO, deadline)
            .await
    }

    async fn watch_once(
        &self,
        client: &HttpClient,
        prefix: &str,
        after: u64,
        wait: Duration,
        deadline: Duration,
    ) -> Result<WatchPage, KvError> {
        let path = format!(
            "/follow?Prefix={prefix}&After={after}&HoldMs={}",
            wait.as_millis()
        );
        let answer = self
            .call(client, Method::GET, &path, Vec::new(), deadline)
            .await?;
        match answer.status {
            StatusCode::OK => parse(&answer),
            StatusCode::GONE => Err(KvError::TooOld),
            _ => Err(unexpected(&answer)),
        }
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, KvError> {
    serde_json::from_slice(&answer.body).map_err(|e| KvError::Unexpected(e.to_string()))
}

fn text(answer: &Answer) -> String {
    let text: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    format!("{} {text}", answer.status)
}

fn unexpected(answer: &Answer) -> KvError {
    KvError::Unexpected(text(answer))
}

/// A pause before another try, with jitter.
pub fn backoff(attempt: u32) -> Duration {
    let base = 50_u64 << attempt.min(5);
    Duration::from_millis(rand::rng().random_range(base / 2..=base))
}

#[cfg(test)]
mod tests;
