//! The limit of the platform's store on the size of an object, which the project's
//! stand-in does not have.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;

use crate::record::RunRecord;

/// `ValueBytes` of the settings.
const VALUE_BYTES: usize = 1 << 20;
const REFUSAL: &[u8] = b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n";

/// Opens an address in front of the store that refuses larger objects with 413, and
/// passes on all other calls.
pub fn open_gate(store: &str, record: Arc<RunRecord>) -> std::io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let store = store.to_owned();
    std::thread::spawn(move || {
        for host in listener.incoming().flatten() {
            let (store, record) = (store.clone(), record.clone());
            std::thread::spawn(move || serve(host, &store, &record));
        }
    });
    Ok(address)
}

fn serve(mut host: TcpStream, store: &str, record: &RunRecord) -> Option<()> {
    host.set_nodelay(true).ok()?;
    let mut store = TcpStream::connect(store).ok()?;
    store.set_nodelay(true).ok()?;
    let (mut answers, mut answered) = (store.try_clone().ok()?, host.try_clone().ok()?);
    std::thread::spawn(move || {
        std::io::copy(&mut answers, &mut answered).ok();
        answered.shutdown(Shutdown::Both).ok();
    });
    let mut calls = BufReader::new(host.try_clone().ok()?);
    while let Some(call) = read_call(&mut calls) {
        if call.body_bytes > VALUE_BYTES {
            record.say(&format!(
                "the store refuses an object of {} bytes",
                call.body_bytes
            ));
            // A host sends its next call only after the answer to this one.
            host.write_all(REFUSAL).ok()?;
        } else {
            store.write_all(&call.bytes).ok()?;
        }
    }
    store.shutdown(Shutdown::Both).ok()
}

struct Call {
    bytes: Vec<u8>,
    body_bytes: usize,
}

fn read_call(calls: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut bytes = Vec::new();
    let mut body_bytes = 0;
    loop {
        let start = bytes.len();
        if calls.read_until(b'\n', &mut bytes).ok()? == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&bytes[start..]).to_ascii_lowercase();
        if let Some(length) = line.strip_prefix("content-length:") {
            body_bytes = length.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let start = bytes.len();
    bytes.resize(start + body_bytes, 0);
    calls.read_exact(&mut bytes[start..]).ok()?;
    Some(Call { bytes, body_bytes })
}
