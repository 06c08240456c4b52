//! The network between the hosts and the platform's calls for duties, with a cut.
//!
//! While the link is cut, no bytes pass. What a host has sent meanwhile is held by its
//! kernel, which sends it again after 0.2 s, 0.4 s, 0.8 s and so on, also if the host
//! has closed the connection; a reset drops it. New connections pass once the cut is over.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::RunRecord;

/// First interval after which bytes without an acknowledgement are sent again.
const FIRST_RESEND: Duration = Duration::from_millis(200);
/// The same for the first packet of a connection.
const FIRST_CONNECT_RESEND: Duration = Duration::from_secs(1);

/// A link that can be cut.
pub struct Link {
    pub address: String,
    target: String,
    record: Arc<RunRecord>,
    cut: Mutex<Option<(Instant, Instant)>>,
    /// Requests that arrived while the link was cut.
    held: Mutex<Vec<String>>,
}

impl Link {
    pub fn open(target: &str, record: Arc<RunRecord>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Arc::new(Self {
            address: listener.local_addr()?.to_string(),
            target: target.to_owned(),
            record,
            cut: Mutex::new(None),
            held: Mutex::default(),
        });
        let serving = link.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = serving.clone();
                std::thread::spawn(move || link.serve(client));
            }
        });
        Ok(link)
    }

    /// Cuts the link for `time` from now on.
    pub fn cut(&self, time: Duration) {
        let now = Instant::now();
        *self.cut.lock().expect("no thread panics") = Some((now, now + time));
    }

    /// The requests that were held so far.
    pub fn held(&self) -> Vec<String> {
        self.held.lock().expect("no thread panics").clone()
    }

    /// When what is sent at `sent_at` arrives, if the link is cut then.
    fn arrival(&self, sent_at: Instant, first: Duration) -> Option<Instant> {
        let (from, to) = (*self.cut.lock().expect("no thread panics"))?;
        if sent_at < from || sent_at >= to {
            return None;
        }
        let (mut at, mut interval) = (sent_at, first);
        while at < to {
            at += interval;
            interval *= 2;
        }
        Some(at)
    }

    fn serve(&self, client: TcpStream) {
        if let Some(at) = self.arrival(Instant::now(), FIRST_CONNECT_RESEND) {
            std::thread::sleep(at - Instant::now());
        }
        let Ok(platform) = TcpStream::connect(&self.target) else {
            return;
        };
        let (Ok(answers), Ok(answered)) = (platform.try_clone(), client.try_clone()) else {
            return;
        };
        std::thread::scope(|scope| {
            scope.spawn(|| self.carry(answers, answered, false));
            self.carry(client, platform, true);
        });
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream, is_request: bool) {
        let mut bytes = vec![0; 64 << 10];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            let sent_at = Instant::now();
            if let Some(at) = self.arrival(sent_at, FIRST_RESEND) {
                if is_request {
                    let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
                    self.record.line(&format!("held by the cut: {text:?}"));
                    self.held.lock().expect("no thread panics").push(text);
                }
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                if is_request && was_reset(&from) {
                    self.record
                        .say("the host has reset the connection, the bytes are lost");
                    break;
                }
                if is_request {
                    self.record.say("the held bytes arrive at the platform");
                }
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        if is_request {
            // The platform runs what it has received whole, also for a caller that left.
            std::thread::sleep(Duration::from_secs(1));
        }
        to.shutdown(Shutdown::Write).ok();
    }
}

/// Whether the other side has reset a connection.
fn was_reset(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).ok();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).ok();
    peeked.is_err_and(|error| error.kind() != ErrorKind::WouldBlock)
}
