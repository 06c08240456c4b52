//! The settings of one host.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde_json::Value;

use crate::error::DocumentError;
use crate::reader::ObjectReader;
use crate::text::parse_json;

/// Most threads for traffic.
const THREADS_MAX: u64 = 256;
/// Threads for traffic if none are set.
const THREADS_DEFAULT: u64 = 2;
/// Level of the log if none is set.
const LOG_LEVEL_DEFAULT: &str = "info";
/// Levels that the log knows.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// What a host learns from its settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, unique in the fleet.
    pub host: CompactString,
    /// Data centre that it stands in.
    pub data_centre: CompactString,
    /// Region of that data centre.
    pub region: CompactString,
    /// Address for callers, `IP:PORT`; port 0 lets the system pick one.
    pub caller_listen: CompactString,
    /// Address for other hosts.
    pub peer_listen: CompactString,
    /// Address for operators: console, metrics, state.
    pub operator_listen: CompactString,
    /// Address of the platform.
    pub platform: CompactString,
    /// Peer addresses of other hosts, for a start while the platform is down.
    pub peers: Vec<CompactString>,
    /// Addresses that are reached by way of another.
    pub routes: BTreeMap<CompactString, CompactString>,
    /// Threads for traffic.
    pub traffic_threads: u64,
    /// Level of the log.
    pub log_level: CompactString,
}

impl HostSettings {
    /// Settings with ports picked by the system, on the loopback interface.
    #[must_use]
    pub fn new(host: &str, data_centre: &str, region: &str, platform: &str) -> Self {
        let any = CompactString::from("127.0.0.1:0");
        Self {
            host: host.into(),
            data_centre: data_centre.into(),
            region: region.into(),
            caller_listen: any.clone(),
            peer_listen: any.clone(),
            operator_listen: any,
            platform: platform.into(),
            peers: Vec::new(),
            routes: BTreeMap::new(),
            traffic_threads: THREADS_DEFAULT,
            log_level: LOG_LEVEL_DEFAULT.into(),
        }
    }

    /// Reaches `address` by way of `through`.
    #[must_use]
    pub fn with_route(mut self, address: &str, through: &str) -> Self {
        self.routes.insert(address.into(), through.into());
        self
    }

    /// Adds a peer for a start while the platform is down.
    #[must_use]
    pub fn with_peer(mut self, address: &str) -> Self {
        self.peers.push(address.into());
        self
    }

    /// Reads settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Every fault, each with its path.
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
            peers: reader.texts("peers"),
            routes: reader.text_pairs("routes").into_iter().collect(),
            traffic_threads: reader.number("traffic_threads", 1..=THREADS_MAX, THREADS_DEFAULT),
            log_level: reader
                .optional_text("log_level")
                .unwrap_or(LOG_LEVEL_DEFAULT.into()),
        };
        settings.check(&mut reader);
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn check(&self, reader: &mut ObjectReader<'_>) {
        for (index, peer) in self.peers.iter().enumerate() {
            check_address(reader, &format!("peers[{index}]"), peer);
        }
        for (address, through) in &self.routes {
            check_address(reader, "routes", address);
            check_address(reader, &format!("routes.{address}"), through);
        }
        if !LOG_LEVELS.contains(&self.log_level.as_str()) {
            let message = format!("must be one of {}", LOG_LEVELS.join(", "));
            reader.fault("log_level", message);
        }
    }
}

fn read_address(reader: &mut ObjectReader<'_>, field: &'static str) -> CompactString {
    let address = reader.text(field);
    if !address.is_empty() {
        check_address(reader, field, &address);
    }
    address
}

fn check_address(reader: &mut ObjectReader<'_>, field: &str, address: &str) {
    if address.parse::<SocketAddr>().is_err() {
        reader.fault(field, format!("must be IP:PORT, is {address:?}"));
    }
}
