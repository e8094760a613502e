//! A listener that limits its connections, so that a server keeps within its share of the
//! process's sockets.
//!
//! At the limit it doesn't accept, and the load balancer tries the next controller. A connection
//! on which nothing is received for long is closed: a deleted machine doesn't close its own.

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

/// Percentage of a limit above which its connections run short.
const NEAR_CAPACITY_PERCENT: usize = 70;

/// A limit on a server's connections; clones share it.
#[derive(Debug, Clone)]
pub struct ConnectionLimit {
    free: Arc<Semaphore>,
    max: usize,
}

impl ConnectionLimit {
    /// A limit of `max` connections, or of one if `max` is 0.
    pub fn new(max: usize) -> Self {
        let max = max.max(1);
        Self {
            free: Arc::new(Semaphore::new(max)),
            max,
        }
    }

    /// Whether clients that reconnect anyway should close their connections. There may be more
    /// workers than sockets, and users and the load balancer need some as well.
    pub fn near_capacity(&self) -> bool {
        let open = self.max - self.free.available_permits();
        open * 100 > self.max * NEAR_CAPACITY_PERCENT
    }
}

/// A listener that accepts connections within a limit.
pub struct LimitedListener {
    listener: TcpListener,
    limit: ConnectionLimit,
    idle_timeout: Duration,
}

impl LimitedListener {
    /// Closes each connection on which nothing has been received for `idle_timeout`.
    pub fn new(listener: TcpListener, limit: ConnectionLimit, idle_timeout: Duration) -> Self {
        Self {
            listener,
            limit,
            idle_timeout,
        }
    }
}

impl Listener for LimitedListener {
    type Io = LimitedConnection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        // The semaphore is never closed; without a permit a connection would only go uncounted.
        let permit = self.limit.free.clone().acquire_owned().await.ok();
        let (stream, addr) = Listener::accept(&mut self.listener).await;
        // Without Nagle's algorithm a small answer is sent at once.
        let _ = stream.set_nodelay(true);
        let connection = LimitedConnection {
            stream,
            idle_timeout: self.idle_timeout,
            last_read: Instant::now(),
            idle_check: Box::pin(tokio::time::sleep(self.idle_timeout)),
            _permit: permit,
        };
        (connection, addr)
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        self.listener.local_addr()
    }
}

/// A connection that counts against its listener's limit until it is closed.
pub struct LimitedConnection {
    stream: TcpStream,
    idle_timeout: Duration,
    /// When bytes were last received.
    last_read: Instant,
    /// Expires when the time since `last_read` has to be compared with `idle_timeout`.
    idle_check: Pin<Box<Sleep>>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsyncRead for LimitedConnection {
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
            ready!(self.idle_check.as_mut().poll(cx));
            let left = self.idle_timeout.saturating_sub(self.last_read.elapsed());
            if left.is_zero() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            self.idle_check.set(tokio::time::sleep(left));
        }
    }
}

impl AsyncWrite for LimitedConnection {
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
