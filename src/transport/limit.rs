//! A listener that keeps a server's connections within their share of the
//! sockets. When all are taken it doesn't accept, so that the balancer goes on
//! to the next controller. Connections on which nothing comes for long are
//! closed: a machine that is gone says no goodbye, and each would keep its
//! socket for ever.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Sleep;

/// Share of a server's places, in percent, past which it is crowded.
const CROWDED: usize = 70;

/// The places for a server's connections; clones share them.
#[derive(Debug, Clone)]
pub struct Places {
    free: Arc<Semaphore>,
    most: usize,
}

impl Places {
    pub fn new(most: usize) -> Self {
        let most = most.max(1);
        Self {
            free: Arc::new(Semaphore::new(most)),
            most,
        }
    }

    /// Whether so many are taken that who comes again anyway had better not stay:
    /// there may be more workers than sockets, and users and the balancer need
    /// some as well.
    pub fn crowded(&self) -> bool {
        (self.most - self.free.available_permits()) * 100 > self.most * CROWDED
    }
}

/// Accepts at most a number of connections at a time.
pub struct Limited {
    listener: TcpListener,
    places: Places,
    idle: Duration,
}

impl Limited {
    /// As many connections as there are places, each closed after being idle for
    /// so long.
    pub fn new(listener: TcpListener, places: Places, idle: Duration) -> Self {
        Self {
            listener,
            idle,
            places,
        }
    }
}

impl Listener for Limited {
    type Io = Counted;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        // The semaphore is never closed; without a permit a connection would
        // only go uncounted.
        let permit = self.places.free.clone().acquire_owned().await.ok();
        let (stream, addr) = Listener::accept(&mut self.listener).await;
        // Small answers must not wait for one another.
        let _ = stream.set_nodelay(true);
        let counted = Counted {
            stream,
            idle: self.idle,
            heard: Instant::now(),
            check: Box::pin(tokio::time::sleep(self.idle)),
            _permit: permit,
        };
        (counted, addr)
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        self.listener.local_addr()
    }
}

/// A connection that counts until it is closed.
pub struct Counted {
    stream: TcpStream,
    idle: Duration,
    /// When something was last read.
    heard: Instant,
    /// When to look whether it has been idle for too long.
    check: Pin<Box<Sleep>>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(cx, buf) {
            self.heard = Instant::now();
            return Poll::Ready(result);
        }
        loop {
            ready!(self.check.as_mut().poll(cx));
            let left = self.idle.saturating_sub(self.heard.elapsed());
            if left.is_zero() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            self.check.set(tokio::time::sleep(left));
        }
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    use super::*;

    /// Found at full size: the connections of deleted machines took all sockets.
    #[tokio::test]
    async fn a_connection_on_which_nothing_comes_gives_its_place_back() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let idle = Duration::from_millis(80);
        let mut limited = Limited::new(listener, Places::new(1), idle);
        let mut gone = TcpStream::connect(addr).await.expect("connects");
        let (mut held, _) = limited.accept().await;
        let begun = Instant::now();
        gone.write_all(b"x").await.expect("writes");
        let mut byte = [0];
        held.read_exact(&mut byte).await.expect("reads");
        let error = held.read_exact(&mut byte).await.expect_err("idle");
        assert_eq!(error.kind(), io::ErrorKind::TimedOut);
        assert!(begun.elapsed() >= idle);
        drop(held);
        let _next = TcpStream::connect(addr).await.expect("connects");
        limited.accept().await;
    }

    #[tokio::test]
    async fn a_further_connection_waits_until_one_is_closed() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let mut limited = Limited::new(listener, Places::new(1), Duration::from_secs(60));
        let _first = TcpStream::connect(addr).await.expect("connects");
        let (held, _) = limited.accept().await;
        let _second = TcpStream::connect(addr)
            .await
            .expect("waits in the backlog");
        let blocked = tokio::time::timeout(Duration::from_millis(50), limited.accept()).await;
        assert!(blocked.is_err());
        drop(held);
        limited.accept().await;
    }

    /// Found with more machines than sockets: those that held a connection kept
    /// all others out until their leases ended.
    #[tokio::test]
    async fn places_are_crowded_before_they_are_full() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let places = Places::new(10);
        let mut limited = Limited::new(listener, places.clone(), Duration::from_secs(60));
        let mut held = Vec::new();
        for n in 1..=8 {
            let stream = TcpStream::connect(addr).await.expect("connects");
            held.push((limited.accept().await, stream));
            assert_eq!(places.crowded(), n > 7);
        }
        held.pop();
        assert!(!places.crowded());
    }
}
