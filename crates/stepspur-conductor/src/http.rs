//! An HTTP client that uses a new connection for each request. It is used for health checks, endpoint lists
//! and reads of the status page.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection cannot be established.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The complete response did not arrive within the timeout.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The connection failed, or the peer sent invalid HTTP.
    #[error("the connection failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The response body is larger than this many bytes, or ended early.
    #[error("the response body ended early or is larger than {0} bytes")]
    Body(usize),
    /// The path is not valid in an HTTP request.
    #[error("invalid path: {0}")]
    Path(#[from] hyper::http::Error),
}

/// Sends a GET request, and returns the status and the complete body. The request may take at most
/// `total_timeout`, and the body may have at most `max_body_bytes`.
///
/// # Errors
/// See [`HttpError`]. An error status of the response is not an error here.
pub async fn get(
    host: SocketAddr,
    path: &str,
    total_timeout: Duration,
    max_body_bytes: usize,
) -> Result<(StatusCode, Bytes), HttpError> {
    let request = Request::get(path)
        .header(header::HOST, host.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::new())?;
    let exchange = exchange(host, request, max_body_bytes);
    timeout(total_timeout, exchange).await.map_err(|_| HttpError::Timeout(total_timeout))?
}

async fn exchange(
    host: SocketAddr,
    request: Request<Empty<Bytes>>,
    max_body_bytes: usize,
) -> Result<(StatusCode, Bytes), HttpError> {
    let socket = TcpStream::connect(host).await.map_err(HttpError::Connect)?;
    let (sender, connection) = handshake(TokioIo::new(socket)).await?;
    // The connection is driven here and not by a separate task, so that it ends with this call.
    let mut connection = pin!(connection);
    let mut response = pin!(send(sender, request, max_body_bytes));
    tokio::select! {
        response = &mut response => response,
        end = &mut connection => {
            end?;
            response.await
        }
    }
}

async fn send(
    mut sender: SendRequest<Empty<Bytes>>,
    request: Request<Empty<Bytes>>,
    max_body_bytes: usize,
) -> Result<(StatusCode, Bytes), HttpError> {
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), max_body_bytes).collect().await;
    let body = body.map_err(|_| HttpError::Body(max_body_bytes))?;
    Ok((status, body.to_bytes()))
}
