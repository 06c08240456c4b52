//! Overhead of the proxy: latency per request, memory per idle session, and the
//! CPU time and network traffic of hosts without callers.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fulmarrill_fleet::{FleetLayout, HostLayout, LocalFleet};
use fulmarrill_load::{CallerPool, RequestOutcome, StreamReport};
use fulmarrill_pg::{ConnectTarget, DatabaseConnection, PgError};
use serde_json::{Value, json};
use smol::Timer;

use crate::run::MeasureError;

/// Requests measured in each series.
const MEASURED_REQUESTS: u64 = 1500;
/// Requests run before the measured ones, to open connections.
const WARM_UP_REQUESTS: u64 = 100;
/// Idle sessions over which the memory per session is averaged.
const IDLE_SESSIONS: u64 = 2000;
/// Time over which an idle fleet is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);
/// Timeout for one request, or for opening one session.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Clock ticks per second (`USER_HZ`) in `/proc`; 100 on common Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;

/// A series of sequential requests.
#[derive(Debug)]
pub struct CostSeries {
    /// Label of the series in reports.
    pub name: &'static str,
    /// Latencies of the requests.
    pub report: StreamReport,
}

/// Resources that a fleet of one size uses without callers.
#[derive(Debug, Clone, Copy)]
pub struct FleetCost {
    /// Number of hosts.
    pub hosts: usize,
    /// CPU cores used per host, including its share of the stand-ins.
    pub core_share: f64,
    /// Bytes per second per host, both ways, on paths to other hosts, instances and
    /// the platform, in this order.
    pub bytes_per_second: [f64; 3],
    /// Calls per second to the platform by the whole fleet.
    pub store_calls: f64,
}

/// A series to measure; `statements` returns the statements of the n-th request.
struct SeriesPlan<'a> {
    name: &'static str,
    addresses: &'a [CompactString],
    statements: &'a dyn Fn(u64) -> Vec<CompactString>,
}

/// Results of all cost measurements.
#[derive(Debug, Default)]
pub struct CostReport {
    /// Latencies through the proxy and on direct connections.
    pub series: Vec<CostSeries>,
    /// Resident bytes per idle session, both ends included.
    pub idle_session_bytes: f64,
    /// Resources used by idle fleets, one entry per size.
    pub idle_fleets: Vec<FleetCost>,
}

impl CostReport {
    /// Formats the report as text tables.
    #[must_use]
    pub fn show(&self) -> String {
        let mut text = format!("{:<28}{:>10}{:>10}\n", "sequential", "p50 ms", "p99 ms");
        for series in &self.series {
            let (p50, p99) = (
                series.report.latency_ms(0.5),
                series.report.latency_ms(0.99),
            );
            let _ = writeln!(text, "{:<28}{p50:>10.3}{p99:>10.3}", series.name);
        }
        let _ = writeln!(
            text,
            "bytes per idle session {:.0}",
            self.idle_session_bytes
        );
        let _ = writeln!(
            text,
            "hosts  core share  peers B/s  instances B/s  platform B/s  calls/s"
        );
        for cost in &self.idle_fleets {
            let [peers, instances, platform] = cost.bytes_per_second;
            let _ = writeln!(
                text,
                "{:>5}{:>12.4}{peers:>11.0}{instances:>15.0}{platform:>14.0}{:>9.1}",
                cost.hosts, cost.core_share, cost.store_calls
            );
        }
        text
    }

    /// Returns the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut series = serde_json::Map::new();
        for measured in &self.series {
            let times = json!({
                "p50_ms": measured.report.latency_ms(0.5),
                "p99_ms": measured.report.latency_ms(0.99),
            });
            series.insert(measured.name.to_owned(), times);
        }
        let mut idle_fleets = Vec::new();
        for cost in &self.idle_fleets {
            idle_fleets.push(json!({
                "hosts": cost.hosts,
                "core_share": cost.core_share,
                "bytes_per_second": cost.bytes_per_second,
                "store_calls": cost.store_calls,
            }));
        }
        json!({
            "series": series,
            "idle_session_bytes": self.idle_session_bytes,
            "control": idle_fleets,
        })
    }
}

/// Runs all cost measurements in sequence.
///
/// # Errors
///
/// When a fleet does not start or a statement fails.
pub async fn measure_cost() -> Result<CostReport, MeasureError> {
    let mut report = CostReport::default();
    measure_requests(&mut report).await?;
    for hosts_per_site in [1, 3, 6, 12] {
        report
            .idle_fleets
            .push(measure_idle_fleet(hosts_per_site).await?);
    }
    Ok(report)
}

/// A layout of one database without network latency or statement time.
fn zero_latency_layout() -> FleetLayout {
    FleetLayout::odznak()
        .with_databases(1)
        .with_one_host_per_site()
        .with_latencies_us(0, 0)
        .with_statement_us(0)
}

async fn measure_requests(report: &mut CostReport) -> Result<(), MeasureError> {
    let mut fleet = LocalFleet::start(zero_latency_layout()).await?;
    let instances = fleet.open_instance_paths("direct", "kosice-a").await?;
    let direct: Vec<CompactString> = instances
        .iter()
        .map(|address| address.to_string().into())
        .collect();
    let host = vec![fleet.caller_address("h1")];
    let read = |_| vec!["SELECT count(*) FROM badges WHERE id = 1".into()];
    let write = |number| vec![insert_statement(number)];
    let keyed = |number| vec![request_key_statement(number), insert_statement(number)];
    let plans: [SeriesPlan<'_>; 5] = [
        SeriesPlan {
            name: "read, direct",
            addresses: &direct[1..2],
            statements: &read,
        },
        SeriesPlan {
            name: "read, by proxy",
            addresses: &host,
            statements: &read,
        },
        SeriesPlan {
            name: "write, direct",
            addresses: &direct[..1],
            statements: &write,
        },
        SeriesPlan {
            name: "write, by proxy",
            addresses: &host,
            statements: &write,
        },
        SeriesPlan {
            name: "keyed write, by proxy",
            addresses: &host,
            statements: &keyed,
        },
    ];
    for plan in plans {
        let times = time_requests(plan.addresses, plan.statements).await?;
        report.series.push(CostSeries {
            name: plan.name,
            report: times,
        });
    }
    report.idle_session_bytes = measure_idle_session(&host[0]).await?;
    Ok(())
}

fn insert_statement(number: u64) -> CompactString {
    format!("INSERT INTO renewals (id, badge) VALUES ('cost-{number}', 1)").into()
}

fn request_key_statement(number: u64) -> CompactString {
    let since_epoch =
        std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    format!("SET fulmarrill.request_key = '{millis}-{number}'").into()
}

async fn time_requests(
    addresses: &[CompactString],
    statements: &dyn Fn(u64) -> Vec<CompactString>,
) -> Result<StreamReport, MeasureError> {
    let pool = CallerPool::new(addresses, "registry-1", "renewals", "city");
    let mut report = StreamReport::new();
    for number in 0..MEASURED_REQUESTS + WARM_UP_REQUESTS {
        let started_at = Instant::now();
        let outcome = pool
            .run(&statements(number), None, started_at + REQUEST_TIMEOUT)
            .await;
        if !matches!(outcome, RequestOutcome::Served(_)) {
            return Err(MeasureError::Statement(format!("{outcome:?}")));
        }
        if number >= WARM_UP_REQUESTS {
            report.record(&outcome, started_at.elapsed(), REQUEST_TIMEOUT);
        }
    }
    Ok(report)
}

/// Measures the memory of one idle session; both of its ends are in this process.
async fn measure_idle_session(address: &str) -> Result<f64, MeasureError> {
    let failed = |error: PgError| MeasureError::Statement(error.to_string());
    let before = resident_bytes();
    let mut sessions = Vec::new();
    for _ in 0..IDLE_SESSIONS {
        let target = ConnectTarget::new(address, "city", "registry-1");
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        sessions.push(
            DatabaseConnection::connect(&target, deadline)
                .await
                .map_err(failed)?,
        );
    }
    let growth = resident_bytes() - before;
    drop(sessions);
    #[allow(clippy::cast_precision_loss)]
    Ok(growth / IDLE_SESSIONS as f64)
}

/// Returns the resident memory of this process, 0 if it cannot be read.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    1024.0 * kilobytes.unwrap_or(0.0)
}

/// Returns the user and system CPU time of this process, in seconds.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

/// Measures an idle fleet of all databases with `hosts_per_site` hosts in each data
/// centre.
async fn measure_idle_fleet(hosts_per_site: usize) -> Result<FleetCost, MeasureError> {
    let mut layout = FleetLayout::odznak().with_latencies_us(0, 0);
    layout.hosts.clear();
    for site in &layout.sites {
        for number in 0..hosts_per_site {
            let name = format!("h-{}-{number}", site.data_centre).into();
            layout.hosts.push(HostLayout {
                name,
                data_centre: site.data_centre.clone(),
            });
        }
    }
    let hosts = layout.hosts.len();
    let fleet = LocalFleet::start(layout).await?;
    Timer::after(Duration::from_secs(2)).await;
    let prefixes = ["h-", "registry", "platform"];
    let bytes = |prefix: &str| {
        fleet.bytes_on_paths(|from, to| from.starts_with("h-") && to.starts_with(prefix))
    };
    let before = prefixes.map(bytes);
    let (cpu_before, calls_before, observed_from) =
        (cpu_seconds(), fleet.platform().calls(), Instant::now());
    Timer::after(OBSERVATION_TIME).await;
    let seconds = observed_from.elapsed().as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let count = hosts as f64;
    let after = prefixes.map(bytes);
    #[allow(clippy::cast_precision_loss)]
    let per_host = |index: usize| (after[index] - before[index]) as f64 / seconds / count;
    #[allow(clippy::cast_precision_loss)]
    let store_calls = (fleet.platform().calls() - calls_before) as f64 / seconds;
    Ok(FleetCost {
        hosts,
        core_share: (cpu_seconds() - cpu_before) / seconds / count,
        bytes_per_second: [per_host(0), per_host(1), per_host(2)],
        store_calls,
    })
}
