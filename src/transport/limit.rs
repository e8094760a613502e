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
    /// Places for so many connections.
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
            last_read: Instant::now(),
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
    last_read: Instant,
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
            self.last_read = Instant::now();
            return Poll::Ready(result);
        }
        loop {
            ready!(self.check.as_mut().poll(cx));
            let left = self.idle.saturating_sub(self.last_read.elapsed());
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
mod tests;
