//! A listener that limits the number of its open connections, so that a server stays within its
//! share of the process's sockets.
//!
//! While the limit is reached, the listener accepts no connection, and the load balancer tries the
//! next controller. A connection on which nothing is received for the idle timeout is closed,
//! because a machine that is deleted doesn't close its connections.

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

/// Percentage of the limit above which the number of open connections is near capacity.
const NEAR_CAPACITY_PERCENT: usize = 70;

/// A limit on the number of a server's open connections. Clones share the same limit.
#[derive(Debug, Clone)]
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
    max: usize,
}

impl ConnectionLimit {
    /// Creates a limit of `max` connections, or of one connection if `max` is 0.
    pub fn new(max: usize) -> Self {
        let max = max.max(1);
        Self {
            permits: Arc::new(Semaphore::new(max)),
            max,
        }
    }

    /// Whether so many connections are open that clients which reconnect anyway should close
    /// theirs. There may be more workers than sockets, and users and the load balancer need
    /// sockets as well.
    pub fn is_near_capacity(&self) -> bool {
        let open_connections = self.max - self.permits.available_permits();
        open_connections * 100 > self.max * NEAR_CAPACITY_PERCENT
    }
}

/// A listener that accepts a connection only while the limit is not reached.
pub struct LimitedListener {
    listener: TcpListener,
    limit: ConnectionLimit,
    idle_timeout: Duration,
}

impl LimitedListener {
    /// Creates a listener that closes a connection once nothing has been received on it for
    /// `idle_timeout`.
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
        // The semaphore is never closed, so this always returns a permit in the end. Without one
        // the connection would merely not be counted.
        let permit = self.limit.permits.clone().acquire_owned().await.ok();
        let (stream, addr) = Listener::accept(&mut self.listener).await;
        // Disables Nagle's algorithm, so that small answers are sent without delay.
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
    /// When bytes were last received on the connection.
    last_read: Instant,
    /// The timer for the next comparison of the time since `last_read` with `idle_timeout`.
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
            let remaining = self.idle_timeout.saturating_sub(self.last_read.elapsed());
            if remaining.is_zero() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            self.idle_check.set(tokio::time::sleep(remaining));
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
