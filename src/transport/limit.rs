//! A listener that keeps a server's connections within their share of the
//! sockets. When all are taken it doesn't accept, so that the balancer goes on
//! to the next controller.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Accepts at most a number of connections at a time.
pub struct Limited {
    listener: TcpListener,
    free: Arc<Semaphore>,
}

impl Limited {
    pub fn new(listener: TcpListener, most: usize) -> Self {
        Self {
            listener,
            free: Arc::new(Semaphore::new(most.max(1))),
        }
    }
}

impl Listener for Limited {
    type Io = Counted;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        // The semaphore is never closed; without a permit a connection would
        // only go uncounted.
        let permit = self.free.clone().acquire_owned().await.ok();
        let (stream, addr) = Listener::accept(&mut self.listener).await;
        // Small answers must not wait for one another.
        let _ = stream.set_nodelay(true);
        let counted = Counted {
            stream,
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
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
    use std::time::Duration;

    use super::*;

    #[tokio::test]
    async fn a_further_connection_waits_until_one_is_closed() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let mut limited = Limited::new(listener, 1);
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
}
