//! The key-value store's client.
//!
//! The store is consensus-backed: reads are linearizable, and a transaction is a compare-and-swap
//! of several keys. The error of a failed request says what was requested and whether the request
//! may have taken effect; the client never retries a request by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;

use self::health::HealthMonitor;
use self::http::{
    decode, encode, http_method, is_served, says_no_such_lease, status_and_body, unexpected_answer,
};
use self::latencies::LatencyHistogram;
use crate::clock::Clock;
use crate::protocol::kv::{
    Committed, KeyPage, KeyValue, KvRequest, LeaseGranted, LeaseRequest, Transaction, WatchPage,
};
use crate::transport::client::{Answer, CallError, HttpClient};

pub use self::backoff::backoff;
pub use self::error::{KvError, Refusal};
pub use self::health::KvHealth;
pub use self::latencies::Latencies;

mod backoff;
mod error;
mod health;
mod http;
mod latencies;

/// Time for which the client waits for the answer to a watch, in addition to the time for which the
/// store may wait for changes.
const WATCH_ANSWER_MARGIN: Duration = Duration::from_millis(1500);

/// The result of listing all keys with a prefix.
#[derive(Debug)]
pub struct KeyList {
    /// The keys with their values, in the order of the keys.
    pub items: Vec<KeyValue>,
    /// A store revision no later than that of any page read: a watch that starts after it misses
    /// no change.
    pub revision: u64,
}

/// The outcome of a transaction that the store has processed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All its mutations were applied.
    Committed {
        /// The revision of all its mutations.
        revision: u64,
    },
    /// A precondition did not hold: nothing was changed.
    Conflict,
}

/// A client of the key-value store. Lease requests and watches have connections of their own, so
/// that neither a burst of other requests nor a waiting watch delays a lease renewal.
pub struct KvClient {
    addr: SocketAddr,
    clock: Arc<dyn Clock>,
    requests: HttpClient,
    leases: HttpClient,
    watches: HttpClient,
    health: HealthMonitor,
    /// Latencies of all requests except watches, which wait on purpose.
    latencies: LatencyHistogram,
}

impl KvClient {
    /// A client for the store at this address.
    pub fn new(addr: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        Self {
            addr,
            clock,
            requests: HttpClient::new(),
            leases: HttpClient::new(),
            watches: HttpClient::new(),
            health: HealthMonitor::default(),
            latencies: LatencyHistogram::new(),
        }
    }

    /// Percentiles of the time that the store has taken to answer, since this client was created.
    pub fn latencies(&self) -> Latencies {
        self.latencies.percentiles()
    }

    /// When the store last served this controller, and when it last failed to serve it.
    pub fn health(&self) -> KvHealth {
        self.health.get()
    }

    /// Reads one key; None if it doesn't exist.
    pub async fn get(&self, key: &str, deadline: Duration) -> Result<Option<KeyValue>, KvError> {
        let request = KvRequest::Get {
            key: key.to_owned(),
        };
        let answer = self
            .call(&self.requests, &request, Vec::new(), deadline)
            .await?;
        match answer.status {
            StatusCode::OK => decode(request, &answer).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected_answer(request, &answer)),
        }
    }

    /// Reads all keys with a prefix in order, page by page. The deadline applies to each page.
    pub async fn list(&self, prefix: &str, deadline: Duration) -> Result<KeyList, KvError> {
        let mut items = Vec::new();
        let mut revision = None;
        let mut after = String::new();
        loop {
            let request = KvRequest::List {
                prefix: prefix.to_owned(),
                after,
            };
            let answer = self
                .call(&self.requests, &request, Vec::new(), deadline)
                .await?;
            if answer.status != StatusCode::OK {
                return Err(unexpected_answer(request, &answer));
            }
            let page: KeyPage = decode(request, &answer)?;
            let revision = *revision.get_or_insert(page.revision);
            let last = page.items.last().map(|item| item.key.clone());
            items.extend(page.items);
            match last {
                Some(last) if page.has_more => after = last,
                _ => return Ok(KeyList { items, revision }),
            }
        }
    }

    /// Runs one transaction.
    pub async fn txn(
        &self,
        transaction: &Transaction,
        deadline: Duration,
    ) -> Result<TransactionOutcome, KvError> {
        let request = KvRequest::Transaction;
        let body = encode(&request, transaction)?;
        let answer = self.call(&self.requests, &request, body, deadline).await?;
        match answer.status {
            StatusCode::OK => {
                let Committed { revision } = decode(request, &answer)?;
                Ok(TransactionOutcome::Committed { revision })
            }
            StatusCode::CONFLICT => Ok(TransactionOutcome::Conflict),
            StatusCode::BAD_REQUEST if says_no_such_lease(&answer) => {
                Err(KvError::LeaseEnded { request })
            }
            StatusCode::BAD_REQUEST => Err(KvError::TooLarge {
                request,
                answer: status_and_body(&answer),
            }),
            _ => Err(unexpected_answer(request, &answer)),
        }
    }

    /// Obtains a lease with this time to live, and returns its id.
    pub async fn grant_lease(&self, ttl: Duration, deadline: Duration) -> Result<u64, KvError> {
        let request = KvRequest::GrantLease;
        let body = LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let body = encode(&request, &body)?;
        let answer = self.call(&self.leases, &request, body, deadline).await?;
        if answer.status != StatusCode::OK {
            return Err(unexpected_answer(request, &answer));
        }
        decode::<LeaseGranted>(request, &answer).map(|granted| granted.lease)
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, lease: u64, deadline: Duration) -> Result<(), KvError> {
        let request = KvRequest::RenewLease { lease };
        let answer = self
            .call(&self.leases, &request, Vec::new(), deadline)
            .await?;
        match answer.status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => Err(KvError::LeaseEnded { request }),
            _ => Err(unexpected_answer(request, &answer)),
        }
    }

    /// Revokes a lease, which deletes the keys attached to it. If the lease has already ended, the
    /// call succeeds.
    pub async fn revoke_lease(&self, lease: u64, deadline: Duration) -> Result<(), KvError> {
        let request = KvRequest::RevokeLease { lease };
        let answer = self
            .call(&self.leases, &request, Vec::new(), deadline)
            .await?;
        if answer.status.is_success() || answer.status == StatusCode::NOT_FOUND {
            Ok(())
        } else {
            Err(unexpected_answer(request, &answer))
        }
    }

    /// Waits up to `hold` for changes of keys with a prefix after a revision.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        hold: Duration,
    ) -> Result<WatchPage, KvError> {
        let deadline = hold + WATCH_ANSWER_MARGIN;
        self.watch_once(&self.watches, prefix, after, hold, deadline)
            .await
    }

    /// Reads all changes of keys with a prefix after a revision, up to the store's current one.
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
        hold: Duration,
        deadline: Duration,
    ) -> Result<WatchPage, KvError> {
        let request = KvRequest::Watch {
            prefix: prefix.to_owned(),
            after,
            hold_ms: hold.as_millis(),
        };
        let answer = self.call(client, &request, Vec::new(), deadline).await?;
        match answer.status {
            StatusCode::OK => decode(request, &answer),
            StatusCode::GONE => Err(KvError::Compacted { request }),
            _ => Err(unexpected_answer(request, &answer)),
        }
    }

    /// Sends a request, and records its latency and whether the store served it.
    async fn call(
        &self,
        client: &HttpClient,
        request: &KvRequest,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Result<Answer, KvError> {
        let sent = self.clock.now();
        let result = client
            .call(
                http_method(request),
                self.addr,
                &request.path(),
                body,
                deadline,
            )
            .await;
        let answered = self.clock.now();
        if result.is_ok() && !matches!(request, KvRequest::Watch { .. }) {
            self.latencies.record(answered - sent);
        }
        self.health.record(is_served(&result), answered);
        let request = || request.clone();
        let refused = |reason| KvError::Refused {
            request: request(),
            reason,
        };
        match result {
            Ok(answer) => match answer.status {
                StatusCode::SERVICE_UNAVAILABLE => Err(refused(Refusal::Unavailable)),
                StatusCode::TOO_MANY_REQUESTS => Err(refused(Refusal::RateLimited)),
                _ => Ok(answer),
            },
            Err(CallError::NotSent) => Err(refused(Refusal::NotConnected)),
            Err(CallError::NoAnswer) => Err(KvError::NoAnswer { request: request() }),
            // Only the answer to a watch has no size limit of its own. As after a compaction, the
            // caller has to list the keys again.
            Err(CallError::TooLarge) => Err(KvError::Compacted { request: request() }),
        }
    }
}

#[cfg(test)]
mod tests;
