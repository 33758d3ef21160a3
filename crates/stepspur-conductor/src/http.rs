//! HTTP requests on connections of their own: enough for health checks, endpoint lists and the status page.

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

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection cannot be established.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The complete answer did not come in time.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
    /// The connection broke, or its peer does not speak HTTP.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer's body is larger than this many bytes, or was cut off.
    #[error("the answer broke off or is larger than {0} bytes")]
    Body(usize),
    /// The path makes no valid request.
    #[error("not a path: {0}")]
    Path(#[from] hyper::http::Error),
}

/// Gets a path from a host, and returns the status and the complete body. The request may take
/// `total_timeout`, and the body may have `max_body_bytes`.
///
/// # Errors
/// See [`HttpError`]. A status of a failure is not an error here.
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
    let call = call(host, request, max_body_bytes);
    timeout(total_timeout, call).await.map_err(|_| HttpError::Timeout(total_timeout))?
}

async fn call(
    host: SocketAddr,
    request: Request<Empty<Bytes>>,
    max_body_bytes: usize,
) -> Result<(StatusCode, Bytes), HttpError> {
    let socket = TcpStream::connect(host).await.map_err(HttpError::Connect)?;
    let (sender, connection) = handshake(TokioIo::new(socket)).await?;
    // The connection is driven here and not by a task, so that nothing outlives the call.
    let mut connection = pin!(connection);
    let mut answer = pin!(send(sender, request, max_body_bytes));
    tokio::select! {
        answer = &mut answer => answer,
        end = &mut connection => {
            end?;
            answer.await
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
