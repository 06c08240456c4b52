//! Server side of links: hands calls to a handler and sends its replies.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use compact_str::CompactString;
use futures_lite::FutureExt;
use futures_util::StreamExt;
use smol::net::{TcpListener, TcpStream};
use smol::{Executor, Timer};
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::client::{LinkTiming, write_frames};
use crate::frame::{LinkFrame, LinkProtocol, decode_frame, encode_frame};
use crate::pieces::{PieceBuffer, QueuedFrame, ReceivedFrame};
use crate::stream::{LinkStream, MeteredStream, link_config, next_message};

/// Pause after a link could not be accepted, for example because the process has too
/// many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Connections that may wait for their first frame at the same time. Hosts send it with
/// the handshake, within a few round trips.
const HANDSHAKES_MAX: usize = 256;

/// Serves every link accepted on `listener` until the future is dropped.
/// `handler` gets each call with the name of the calling host; `on_close` gets
/// that name when its link ends.
pub async fn serve_links<P, H, F>(
    listener: TcpListener,
    timing: LinkTiming,
    handler: Arc<H>,
    on_close: Arc<dyn Fn(CompactString) + Send + Sync>,
) where
    P: LinkProtocol,
    H: Fn(CompactString, P::Call) -> F + Send + Sync + 'static,
    F: Future<Output = P::Reply> + Send + 'static,
{
    let executor = Executor::new();
    let handshakes = Arc::new(());
    executor
        .run(async {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        log::warn!("a link cannot be accepted: {error}");
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                let (handler, on_close) = (handler.clone(), on_close.clone());
                if Arc::strong_count(&handshakes) > HANDSHAKES_MAX {
                    log::debug!("a link is closed: too many wait for their first frame");
                    continue;
                }
                let handshake = handshakes.clone();
                executor
                    .spawn(serve_link::<P, H, F>(
                        stream, timing, handshake, handler, on_close,
                    ))
                    .detach();
            }
        })
        .await;
}

async fn serve_link<P, H, F>(
    stream: TcpStream,
    timing: LinkTiming,
    handshake: Arc<()>,
    handler: Arc<H>,
    on_close: Arc<dyn Fn(CompactString) + Send + Sync>,
) where
    P: LinkProtocol,
    H: Fn(CompactString, P::Call) -> F + Send + Sync + 'static,
    F: Future<Output = P::Reply> + Send + 'static,
{
    stream.set_nodelay(true).ok();
    let stream = MeteredStream::new(stream);
    let clock = stream.clock();
    let accepting = async {
        accept_async_with_config(stream.compat(), Some(link_config()))
            .await
            .ok()
    };
    let late = async {
        Timer::after(timing.receive_timeout).await;
        None
    };
    let Some(mut stream) = accepting.or(late).await else {
        return;
    };
    let Some(host) = read_hello::<P>(&mut stream, timing).await else {
        return;
    };
    drop(handshake);
    let (sink, mut source) = stream.split();
    // Each reply waits anyway, here or in the task that made it.
    let (outgoing, frames) = async_channel::unbounded();
    let reading = async {
        let mut pieces = PieceBuffer::default();
        loop {
            let receiving = next_message(&mut source, &clock, timing.receive_timeout);
            let Some(message) = receiving.await else {
                return;
            };
            let Message::Binary(bytes) = message else {
                continue;
            };
            match pieces.receive::<P>(&bytes) {
                Ok(ReceivedFrame::Whole(LinkFrame::Call { id, call })) => {
                    let work = handler(host.clone(), call.into());
                    fulmarrill_runtime::spawn(send_reply::<P>(id, work, outgoing.clone())).detach();
                }
                Ok(ReceivedFrame::Whole(_) | ReceivedFrame::Piece(_)) => {}
                Ok(ReceivedFrame::Unreadable(id, why)) => {
                    log::warn!("call {id} from {host} cannot be read: {why}");
                    if let Ok(bytes) = encode_frame::<P>(&LinkFrame::NoReply { id, why }) {
                        outgoing.send(QueuedFrame { id, bytes }).await.ok();
                    }
                }
                Err(error) => {
                    log::warn!("link from {host} closed: {error}");
                    return;
                }
            }
        }
    };
    // The pings of the other side show both that the link is alive.
    reading.or(write_frames(sink, frames, None)).await;
    on_close(host);
}

async fn read_hello<P: LinkProtocol>(
    stream: &mut LinkStream,
    timing: LinkTiming,
) -> Option<CompactString> {
    let receive_timeout = async {
        Timer::after(timing.receive_timeout).await;
        None
    };
    let Message::Binary(bytes) = stream.next().or(receive_timeout).await?.ok()? else {
        return None;
    };
    match decode_frame::<P>(&bytes) {
        Ok(LinkFrame::Hello { host, .. }) => Some(host),
        Ok(_) => None,
        Err(error) => {
            log::warn!("link refused: {error}");
            None
        }
    }
}

async fn send_reply<P: LinkProtocol>(
    id: u64,
    work: impl Future<Output = P::Reply>,
    outgoing: Sender<QueuedFrame>,
) {
    let reply = work.await.into();
    let frame = encode_frame::<P>(&LinkFrame::Reply { id, reply }).or_else(|error| {
        log::error!("reply to call {id} cannot be sent: {error}");
        let why = error.to_string().into();
        encode_frame::<P>(&LinkFrame::NoReply { id, why })
    });
    if let Ok(bytes) = frame {
        outgoing.send(QueuedFrame { id, bytes }).await.ok();
    }
}
