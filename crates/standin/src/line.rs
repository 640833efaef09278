//! A server's side of one connection, which a handler can cut or make repeat its answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use axum::response::Response;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What a handler can do to the connection that its request came on.
#[derive(Debug, Default, Clone)]
pub(crate) struct Line(Arc<Orders>);

#[derive(Debug, Default)]
struct Orders {
    cut: Notify,
    twice: AtomicBool,
}

impl Line {
    /// Cuts the connection without an answer. The handler that awaits this is dropped with the connection.
    pub(crate) async fn cut(&self) -> Response {
        self.0.cut.notify_one();
        std::future::pending().await
    }

    /// Sends the answer that follows twice.
    pub(crate) fn repeat_answer(&self) {
        self.0.twice.store(true, Ordering::Relaxed);
    }

    /// Waits until the connection is to be cut.
    pub(crate) async fn to_be_cut(&self) {
        self.0.cut.notified().await;
    }
}

/// A connection that repeats what it wrote, when told to.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    line: Line,
    /// What was written since the order to repeat, and is still to be written again.
    again: Vec<u8>,
}

impl Stream {
    /// Wraps a connection.
    pub(crate) fn new(inner: TcpStream, line: Line) -> Self {
        Self {
            inner,
            line,
            again: Vec::new(),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let len = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        if self.line.0.twice.load(Ordering::Relaxed) {
            self.again.extend_from_slice(&buf[..len]);
        }
        Poll::Ready(Ok(len))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while !this.again.is_empty() {
            this.line.0.twice.store(false, Ordering::Relaxed);
            let len = ready!(Pin::new(&mut this.inner).poll_write(cx, &this.again))?;
            this.again.drain(..len);
        }
        Pin::new(&mut this.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
