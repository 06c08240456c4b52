//! The settings file of a host.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde_json::Value;

use crate::error::DocumentError;
use crate::reader::ObjectReader;
use crate::text::parse_json;

/// Largest number of traffic threads.
const THREADS_MAX: u64 = 256;
/// Number of traffic threads if none is set.
const THREADS_DEFAULT: u64 = 2;
/// Log level if none is set.
const LOG_LEVEL_DEFAULT: &str = "info";
/// Valid log levels.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// The settings of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, unique in the fleet.
    pub host: CompactString,
    /// Data centre of the host.
    pub data_centre: CompactString,
    /// Region of that data centre.
    pub region: CompactString,
    /// Listen address for callers, `IP:PORT`; with port 0 the system assigns one.
    pub caller_listen: CompactString,
    /// Listen address for other hosts.
    pub peer_listen: CompactString,
    /// Listen address for operators: console, metrics and state.
    pub operator_listen: CompactString,
    /// Address of the platform.
    pub platform: CompactString,
    /// Peer addresses of other hosts. While the host knows no database group, it
    /// fetches the control state from them, so that it can start while the platform
    /// is down.
    pub peers: Vec<CompactString>,
    /// Addresses that are reached through another address, such as one behind
    /// address translation. Maps the address to the one to connect to.
    pub routes: BTreeMap<CompactString, CompactString>,
    /// Number of threads that serve connections and run background tasks.
    pub traffic_threads: u64,
    /// Log level.
    pub log_level: CompactString,
}

impl HostSettings {
    /// Creates settings with listen addresses on the loopback interface, whose ports
    /// the system assigns.
    #[must_use]
    pub fn new(host: &str, data_centre: &str, region: &str, platform: &str) -> Self {
        let listen_address = CompactString::from("127.0.0.1:0");
        Self {
            host: host.into(),
            data_centre: data_centre.into(),
            region: region.into(),
            caller_listen: listen_address.clone(),
            peer_listen: listen_address.clone(),
            operator_listen: listen_address,
            platform: platform.into(),
            peers: Vec::new(),
            routes: BTreeMap::new(),
            traffic_threads: THREADS_DEFAULT,
            log_level: LOG_LEVEL_DEFAULT.into(),
        }
    }

    /// Adds a route: `address` is reached through the address `through`.
    #[must_use]
    pub fn with_route(mut self, address: &str, through: &str) -> Self {
        self.routes.insert(address.into(), through.into());
        self
    }

    /// Adds the peer address of another host to [`HostSettings::peers`].
    #[must_use]
    pub fn with_peer(mut self, address: &str) -> Self {
        self.peers.push(address.into());
        self
    }

    /// Parses settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// All errors, each with its path.
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentError>> {
        Self::from_value(&parse_json(text)?)
    }

    fn from_value(value: &Value) -> Result<Self, Vec<DocumentError>> {
        let mut reader = ObjectReader::new("", value);
        let settings = Self {
            host: reader.name("host"),
            data_centre: reader.name("data_centre"),
            region: reader.name("region"),
            caller_listen: read_address(&mut reader, "caller_listen"),
            peer_listen: read_address(&mut reader, "peer_listen"),
            operator_listen: read_address(&mut reader, "operator_listen"),
            platform: read_address(&mut reader, "platform"),
            peers: reader.strings("peers"),
            routes: reader.string_pairs("routes").into_iter().collect(),
            traffic_threads: reader.number("traffic_threads", 1..=THREADS_MAX, THREADS_DEFAULT),
            log_level: reader
                .optional_string("log_level")
                .unwrap_or(LOG_LEVEL_DEFAULT.into()),
        };
        settings.validate(&mut reader);
        let errors = reader.finish();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    fn validate(&self, reader: &mut ObjectReader<'_>) {
        for (index, peer) in self.peers.iter().enumerate() {
            check_address(reader, &format!("peers[{index}]"), peer);
        }
        for (address, through) in &self.routes {
            check_address(reader, "routes", address);
            check_address(reader, &format!("routes.{address}"), through);
        }
        if !LOG_LEVELS.contains(&self.log_level.as_str()) {
            let message = format!("must be one of {}", LOG_LEVELS.join(", "));
            reader.add_error("log_level", message);
        }
    }
}

fn read_address(reader: &mut ObjectReader<'_>, field: &'static str) -> CompactString {
    let address = reader.string(field);
    if !address.is_empty() {
        check_address(reader, field, &address);
    }
    address
}

fn check_address(reader: &mut ObjectReader<'_>, field: &str, address: &str) {
    if address.parse::<SocketAddr>().is_err() {
        reader.add_error(field, format!("must be IP:PORT, is {address:?}"));
    }
}
