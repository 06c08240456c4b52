//! Flags of all commands and their help texts.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// A command with its flags.
#[derive(Debug, Clone)]
pub enum Command {
    /// Runs one host.
    Serve {
        /// Settings file.
        settings: PathBuf,
    },
    /// Runs one host on the users' platform.
    Front,
    /// Validates a file.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Puts an operators' document in force.
    Apply {
        /// Operator port of any host.
        host: String,
        /// Version that the change is based on; the current one if none is given.
        version: Option<u64>,
        /// The file.
        file: PathBuf,
    },
    /// Shows on how many hosts the document is in force.
    Status {
        /// Operator port of any host.
        host: String,
    },
    /// Shows one process's state.
    State {
        /// Operator port of the process.
        address: String,
    },
    /// Prints a customer's record of requests.
    Export {
        /// Where the record is read from.
        source: ExportSource,
        /// The customer.
        customer: String,
    },
    /// Replays recorded traces.
    Replay {
        /// The traces.
        traces: Vec<PathBuf>,
    },
    /// Runs the platform's stand-in.
    StandinPlatform {
        /// Address to listen on.
        listen: String,
    },
    /// Runs a database instance's stand-in.
    StandinDatabase {
        /// Name of the instance.
        name: String,
        /// Address to listen on.
        listen: String,
        /// Term in which it starts as the primary.
        primary: Option<u64>,
        /// Statements that it runs concurrently.
        slots: usize,
        /// Connections that it accepts.
        connections: usize,
        /// SQL statements that create the schema.
        schema: Vec<String>,
    },
    /// Measures scenarios.
    Measure {
        /// Whether to print JSON in place of tables.
        json: bool,
        /// Whether to measure the overhead of the proxy.
        cost: bool,
        /// The scenarios.
        scenarios: Vec<PathBuf>,
    },
    /// Injects faults around hosts that run as processes.
    Soak {
        /// First seed; random if none is given.
        seed: Option<u64>,
        /// Number of consecutive seeds to run.
        seeds: u64,
        /// Seconds of load for each seed.
        seconds: u64,
        /// Number of hosts.
        hosts: usize,
        /// Number of callers.
        callers: usize,
        /// Whether customers have rate limits.
        limits: bool,
        /// Whether the store comes back from older copies.
        drills: bool,
        /// Whether hosts are lost and orders held up.
        losses: bool,
        /// File for a page with plots of the last seed.
        page: Option<PathBuf>,
    },
    /// Starts a fleet on loopback and kills a primary under load.
    Demo {
        /// Seconds of load.
        seconds: u64,
        /// Whether to keep running for callers afterwards.
        listen: bool,
    },
}

/// Where a customer's record is read from.
#[derive(Debug, Clone)]
pub enum ExportSource {
    /// The platform's stand-in, for hosts that `serve` runs.
    Platform(String),
    /// The users' platform, for hosts that `front` runs.
    Store(String),
}

fn host_flag() -> impl Parser<String> {
    long("host")
        .help("Operator port of any host, IP:PORT")
        .argument("ADDRESS")
}

fn listen_flag() -> impl Parser<String> {
    long("listen")
        .help("Address to listen on; port 0 lets the system pick one")
        .argument("ADDRESS")
        .fallback("127.0.0.1:0".to_owned())
}

fn serve() -> impl Parser<Command> {
    let settings = long("settings")
        .help("Settings file, JSON with comments")
        .argument("FILE");
    construct!(Command::Serve { settings })
        .to_options()
        .descr("Runs one host, which accepts callers and owns instances")
        .footer("Example: fulmarrill serve --settings h1.json\nPrints one line of JSON with the addresses it listens on. Shuts down gracefully on SIGTERM.")
        .command("serve")
}

fn front() -> impl Parser<Command> {
    bpaf::pure(Command::Front)
        .to_options()
        .descr("Runs one host on the users' platform")
        .footer("Example: fulmarrill front\nThe platform passes the path of the settings file in the environment. Shuts down gracefully on SIGTERM.")
        .command("front")
}

fn check() -> impl Parser<Command> {
    let file = positional("FILE").help("Operators' document or settings file");
    construct!(Command::Check { file })
        .to_options()
        .descr("Validates an operators' document or a settings file")
        .footer("Example: fulmarrill check operators.json\nExit code 0 if it is valid; 2 if not, with the path of every fault.")
        .command("check")
}

fn apply() -> impl Parser<Command> {
    let host = host_flag();
    let version = long("version")
        .help("Version that the change is based on; default: the current version")
        .argument("N")
        .optional();
    let file = positional("FILE").help("Operators' document");
    construct!(Command::Apply { host, version, file })
        .to_options()
        .descr("Puts an operators' document in force")
        .footer("Example: fulmarrill apply --host 127.0.0.1:7103 operators.json\nExit code 2 if the document is refused, 3 if somebody else changed it first; nothing is changed then.")
        .command("apply")
}

fn status() -> impl Parser<Command> {
    let host = host_flag();
    construct!(Command::Status { host })
        .to_options()
        .descr("Shows the document's version and on how many hosts it is in force")
        .footer("Example: fulmarrill status --host 127.0.0.1:7103")
        .command("status")
}

fn state() -> impl Parser<Command> {
    let address = positional("ADDRESS").help("Operator port of the process, IP:PORT");
    construct!(Command::State { address })
        .to_options()
        .descr("Shows one process's state as JSON")
        .footer("Example: fulmarrill state 127.0.0.1:7103")
        .command("state")
}

fn export() -> impl Parser<Command> {
    let platform = long("platform")
        .help("Address of the platform, IP:PORT")
        .argument("ADDRESS")
        .map(ExportSource::Platform);
    let store = long("store")
        .help("Address of the object store of the users' platform, IP:PORT")
        .argument("ADDRESS")
        .map(ExportSource::Store);
    let source = construct!([platform, store]);
    let customer = positional("CUSTOMER").help("Name of the customer");
    construct!(Command::Export { source, customer })
        .to_options()
        .descr("Prints a customer's verified record of requests as JSON lines")
        .footer("Example: fulmarrill export --platform 127.0.0.1:7000 stall-7 > stall-7.jsonl\nExit code 2 if the record fails verification; the error says what is wrong.")
        .command("export")
}

fn replay() -> impl Parser<Command> {
    let traces = positional("TRACE")
        .help("Recorded traces, JSON lines")
        .some("at least one trace is required");
    construct!(Command::Replay { traces })
        .to_options()
        .descr("Replays recorded traces against their stated outcomes")
        .footer("Example: fulmarrill replay tests/traces/*.jsonl\nExit code 2 at the first outcome that differs.")
        .command("replay")
}

fn standin_platform() -> impl Parser<Command> {
    let listen = listen_flag();
    construct!(Command::StandinPlatform { listen })
        .to_options()
        .descr("Runs the platform's stand-in")
        .footer("Example: fulmarrill standin platform --listen 127.0.0.1:7000\nFaults are set with POST /v1/faults.")
        .command("platform")
}

fn standin_database() -> impl Parser<Command> {
    let name = long("name").help("Name of the instance").argument("NAME");
    let listen = listen_flag();
    let primary = long("primary")
        .help("Start as the primary in this term")
        .argument("TERM")
        .optional();
    let slots = long("slots")
        .help("Statements that run concurrently")
        .argument("N")
        .fallback(2);
    let connections = long("connections")
        .help("Connections accepted")
        .argument("N")
        .fallback(16);
    let schema = long("schema")
        .help("SQL statement that creates part of the schema; may be repeated")
        .argument("SQL")
        .many();
    construct!(Command::StandinDatabase { name, listen, primary, slots, connections, schema })
        .to_options()
        .descr("Runs a database instance's stand-in")
        .footer("Example: fulmarrill standin database --name registry-1-a --primary 1 --schema 'CREATE TABLE t (id bigint)'")
        .command("database")
}

fn standin() -> impl Parser<Command> {
    let platform = standin_platform();
    let database = standin_database();
    construct!([platform, database])
        .to_options()
        .descr("Runs a stand-in as a separate process")
        .footer("Example: fulmarrill standin platform --help")
        .command("standin")
}

fn measure() -> impl Parser<Command> {
    let json = long("json").help("Print JSON in place of tables").switch();
    let cost = long("cost")
        .help("Also measure the overhead of the proxy")
        .switch();
    let scenarios = positional("SCENARIO").help("Scenario files").many();
    construct!(Command::Measure { json, cost, scenarios })
        .to_options()
        .descr("Runs scenarios on a fleet on loopback and prints the results")
        .footer("Example: fulmarrill measure scenarios/flood-lowest.json\nExit code 2 if a write was lost, duplicated, or run after a refusal.")
        .command("measure")
}

fn soak() -> impl Parser<Command> {
    let seed = long("seed")
        .help("Seed of the injected faults; random by default")
        .argument("N")
        .optional();
    let seeds = long("seeds")
        .help("Number of consecutive seeds to run")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("Seconds of load for each seed")
        .argument("N")
        .fallback(30);
    let hosts = long("hosts")
        .help("Number of hosts, each a process")
        .argument("N")
        .fallback(5);
    let callers = long("callers")
        .help("Number of callers")
        .argument("N")
        .fallback(24);
    let page = long("page")
        .help("Write a page with plots of the last seed to this file")
        .argument("FILE")
        .optional();
    let limits = long("limits")
        .help("Declare rate limits of customers, and check them")
        .switch();
    let drills = long("drills")
        .help("Let the store come back from older copies, and primaries leave after that")
        .switch();
    let losses = long("losses")
        .help("Lose hosts for some seconds in series, and hold up orders to promote; not with --drills")
        .switch();
    construct!(Command::Soak { seed, seeds, seconds, hosts, callers, limits, drills, losses, page })
        .to_options()
        .descr("Injects random faults (kills, pauses, cuts, delays) around hosts that run as processes, and checks what callers were told")
        .footer("Example: fulmarrill soak --seed 7 --seconds 30\nExit code 2 if a guarantee to callers was violated; the output names the folder with the hosts' settings and logs.")
        .command("soak")
}

fn demo() -> impl Parser<Command> {
    let seconds = long("seconds")
        .help("Seconds of load")
        .argument("N")
        .fallback(12);
    let listen = long("listen")
        .help("Keep running afterwards, so that a driver can connect")
        .switch();
    construct!(Command::Demo { seconds, listen })
        .to_options()
        .descr("Starts a fleet on loopback and kills a primary under load")
        .footer("Example: fulmarrill demo --listen\nExit code 1 if a write was lost, duplicated, or run after a refusal.")
        .command("demo")
}

/// Returns the parser of the command line.
pub fn command() -> OptionParser<Command> {
    let (serve, front, check, apply, status) = (serve(), front(), check(), apply(), status());
    let (state, export, replay) = (state(), export(), replay());
    let (standin, measure, soak, demo) = (standin(), measure(), soak(), demo());
    construct!([
        serve, front, check, apply, status, state, export, replay, standin, measure, soak, demo
    ])
    .to_options()
    .descr("A database proxy with session consistency")
    .version(env!("CARGO_PKG_VERSION"))
}
