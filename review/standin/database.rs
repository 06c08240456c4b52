//! Stand-in of the instances of one service: one listener each, a log, replication,
//! slots and promotion, as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::Store;
use crate::record::Record;

/// Time from an order to promote until the instance leads.
const PROMOTE_TIME: Duration = Duration::from_millis(600);
/// Statements that may wait for a slot of an instance.
const QUEUE_LENGTH: usize = 16;
/// Interval of the pings of an instance. After three of them without a ping its entry
/// is removed.
const PING_INTERVAL: Duration = Duration::from_millis(1200);

#[derive(Clone, PartialEq)]
pub struct Entry {
    pub term: u64,
    pub item: String,
    pub data: String,
    received_at: Instant,
}

pub struct Instance {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    pub dead: bool,
    /// Answers nothing, but keeps its connections.
    dark: bool,
    /// Receives nothing from the primary.
    pub deaf: bool,
    paused: bool,
    /// Time from the receipt of an entry until reads see it.
    pub lag: Duration,
    /// Time that a read, write or commit occupies a slot.
    pub work: Duration,
    pub slots: usize,
    running: usize,
    queued: usize,
    sockets: Vec<TcpStream>,
}

impl Instance {
    fn applied(&self) -> usize {
        if self.primary {
            return self.log.len();
        }
        let now = Instant::now();
        let seen = self
            .log
            .iter()
            .take_while(|entry| entry.received_at + self.lag <= now);
        seen.count()
    }

    fn position(&self, length: usize) -> String {
        let term = match length {
            0 => 1,
            _ => self.log[length - 1].term,
        };
        format!("{}.{length}", if self.primary { self.term } else { term })
    }
}

/// A promotion that took effect.
pub struct Promotion {
    pub id: String,
    /// Items of the writes in its log at that moment.
    pub items: Vec<String>,
}

pub struct State {
    pub instances: Vec<Instance>,
    pub promotions: Vec<Promotion>,
}

pub struct Database {
    pub service: String,
    /// Replicas that must have received a commit before it is acknowledged.
    sync_replicas: usize,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    store: Mutex<Option<Arc<Store>>>,
    started_at: Instant,
}

#[derive(Default)]
struct Session {
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, (bool, String)>,
    /// Whether it only reads, and its writes.
    transaction: Option<(bool, Vec<(String, String)>)>,
    failed: bool,
}

impl Database {
    pub fn start(
        service: &str,
        zones: &[&str],
        sync_replicas: usize,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let mut instances = Vec::new();
        let mut listeners = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
            instances.push(Instance {
                id: format!("i-{service}-{index}"),
                zone: (*zone).to_owned(),
                address: listener.local_addr().expect("no address"),
                primary: index == 0,
                term: 1,
                log: Vec::new(),
                dead: false,
                dark: false,
                deaf: false,
                paused: false,
                lag: Duration::from_millis(20),
                work: Duration::from_millis(5),
                slots: 2,
                running: 0,
                queued: 0,
                sockets: Vec::new(),
            });
            listeners.push(listener);
        }
        let database = Arc::new(Self {
            service: service.to_owned(),
            sync_replicas,
            state: Mutex::new(State {
                instances,
                promotions: Vec::new(),
            }),
            changed: Condvar::new(),
            record,
            store: Mutex::new(None),
            started_at: Instant::now(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let database = database.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let database = database.clone();
                    thread::spawn(move || database.serve(index, stream));
                }
            });
        }
        database
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Registers the instances in the store, and keeps their entries up to date.
    pub fn register(&self, store: &Arc<Store>) {
        *self.store.lock().unwrap() = Some(store.clone());
        let count = self.state().instances.len();
        for index in 0..count {
            self.publish(index);
        }
    }

    fn publish(&self, index: usize) {
        let Some(store) = self.store.lock().unwrap().clone() else {
            return;
        };
        let state = self.state();
        let instance = &state.instances[index];
        let role = if instance.primary {
            "primary"
        } else {
            "replica"
        };
        let spec = format!(
            r#"{{"Service":"{}","Addr":"{}","Zone":"{}","Version":"v1","Capacity":{},"State":"ready","ColdLeftMs":0,"Seq":1,"DbRole":"{role}","born":1796000000000}}"#,
            self.service, instance.address, instance.zone, instance.slots
        );
        let id = instance.id.clone();
        drop(state);
        store.put("servers", &id, &spec);
    }

    /// Kills an instance: its connections break, it answers nothing more, and its
    /// entry lapses.
    pub fn kill(self: &Arc<Self>, index: usize) {
        let mut state = self.state();
        let instance = &mut state.instances[index];
        instance.dead = true;
        for socket in instance.sockets.drain(..) {
            socket.shutdown(Shutdown::Both).ok();
        }
        drop(state);
        self.record.line(&format!("instance {index} is killed"));
        self.let_entry_lapse(index);
    }

    /// Makes an instance dark for good: it accepts connections and statements, answers
    /// nothing and pings no more.
    pub fn darken(self: &Arc<Self>, index: usize) {
        let mut state = self.state();
        state.instances[index].dark = true;
        state.instances[index].dead = true;
        drop(state);
        self.record.line(&format!("instance {index} goes dark"));
        self.let_entry_lapse(index);
    }

    /// Time since the last ping of the instances.
    pub fn since_ping(&self) -> Duration {
        let since_ping = self.started_at.elapsed().as_millis() % PING_INTERVAL.as_millis();
        Duration::from_millis(since_ping as u64)
    }

    fn let_entry_lapse(self: &Arc<Self>, index: usize) {
        let database = self.clone();
        let expiry_time = PING_INTERVAL * 3 - self.since_ping();
        let id = self.state().instances[index].id.clone();
        thread::spawn(move || {
            thread::sleep(expiry_time);
            database
                .record
                .line(&format!("the entry of {id} has lapsed"));
            if let Some(store) = database.store.lock().unwrap().clone() {
                store.delete("servers", &id);
            }
        });
    }

    /// Replicas receive what the primary has committed, unless they are deaf, paused
    /// or dead.
    fn replicate(state: &mut State) {
        let now = Instant::now();
        let Some(primary) = state
            .instances
            .iter()
            .position(|one| one.primary && !one.dead)
        else {
            return;
        };
        let log = state.instances[primary].log.clone();
        for instance in &mut state.instances {
            if instance.primary || instance.dead || instance.deaf || instance.paused {
                continue;
            }
            for entry in log.iter().skip(instance.log.len()) {
                let mut entry = entry.clone();
                entry.received_at = now;
                instance.log.push(entry);
            }
        }
    }

    /// Handles an order to promote; the instance leads a moment later.
    pub fn promote(self: &Arc<Self>, id: &str, holder: &str, fence: u64) -> u16 {
        self.record.line(&format!(
            "order to promote {id} from {holder}, fence {fence}"
        ));
        let state = self.state();
        let Some(index) = state
            .instances
            .iter()
            .position(|one| one.id == id && !one.dead)
        else {
            return 409;
        };
        if state.instances[index].primary {
            return 200;
        }
        drop(state);
        let database = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            database.lead(index);
        });
        200
    }

    fn lead(&self, index: usize) {
        let mut state = self.state();
        if state.instances[index].primary || state.instances[index].dead {
            return;
        }
        let term = state
            .instances
            .iter()
            .map(|one| one.term)
            .max()
            .unwrap_or(0)
            + 1;
        let log = state.instances[index].log.clone();
        for (other, instance) in state.instances.iter_mut().enumerate() {
            instance.paused = false;
            instance.primary = other == index;
            if !instance.dead {
                instance.term = term;
            }
            let same = |(one, two): &(&Entry, &Entry)| one.item == two.item && one.data == two.data;
            let common = instance.log.iter().zip(&log).take_while(same).count();
            if !instance.dead {
                instance.log.truncate(common);
            }
        }
        let id = state.instances[index].id.clone();
        self.record.line(&format!(
            "instance {id} leads term {term} with {} commits",
            log.len()
        ));
        let items = log.into_iter().map(|entry| entry.item).collect();
        state.promotions.push(Promotion { id, items });
        drop(state);
        self.changed.notify_all();
        let alive: Vec<bool> = self.state().instances.iter().map(|one| !one.dead).collect();
        for (index, is_alive) in alive.into_iter().enumerate() {
            if is_alive {
                self.publish(index);
            }
        }
    }

    fn serve(&self, index: usize, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        {
            let mut state = self.state();
            if state.instances[index].dead && !state.instances[index].dark {
                return;
            }
            state.instances[index].sockets.extend(stream.try_clone());
        }
        let mut reader = BufReader::new(stream);
        let mut session = Session::default();
        let mut line = String::new();
        while matches!(reader.read_line(&mut line), Ok(count) if count > 0) {
            if self.state().instances[index].dark {
                line.clear();
                continue;
            }
            let answer = self.answer(index, line.trim_end(), &mut session);
            if self.state().instances[index].dead || writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            line.clear();
        }
    }

    fn answer(&self, index: usize, line: &str, session: &mut Session) -> String {
        let fields: Vec<&str> = line.splitn(3, ' ').collect();
        let body = match fields[..] {
            ["STARTUP", service, rest] => {
                let id = rest.split_once(' ').map(|(_, id)| id);
                let state = self.state();
                if service != self.service || id.is_some_and(|id| id != state.instances[index].id) {
                    return format!("ERR MISROUTED {}\r\n", state.instances[index].id);
                }
                String::new()
            }
            ["QUERY", id, text] => {
                let result = self.run(index, text, session);
                let is_command = ["PAUSE", "STATUS", "STEPDOWN"]
                    .iter()
                    .any(|word| text.starts_with(word));
                if id != "-" || is_command {
                    let outcome = result.as_ref().err().copied().unwrap_or("done");
                    self.record
                        .line(&format!("instance {index} ran {id} {text}: {outcome}"));
                }
                match result {
                    Ok(rows) => format!("{rows}DONE mac-{index}\r\n"),
                    Err(code) => {
                        session.failed |= session.transaction.is_some();
                        format!("ERR {code} i-{index}\r\n")
                    }
                }
            }
            _ => "ERR MALFORMED line\r\n".to_owned(),
        };
        let flag = match (&session.transaction, session.failed) {
            (None, _) => "I",
            (Some(_), true) => "E",
            (Some(_), false) => "T",
        };
        let state = self.state();
        let instance = &state.instances[index];
        format!(
            "{body}READY {flag} {}\r\n",
            instance.position(instance.applied())
        )
    }

    /// Occupies a slot for `time`. A statement waits in the queue for a slot; BUSY if
    /// the queue is full.
    fn occupy(&self, index: usize, time: Duration) -> Result<(), &'static str> {
        let mut state = self.state();
        if state.instances[index].queued >= QUEUE_LENGTH {
            return Err("BUSY");
        }
        state.instances[index].queued += 1;
        while state.instances[index].running >= state.instances[index].slots {
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(5))
                .unwrap()
                .0;
        }
        state.instances[index].queued -= 1;
        state.instances[index].running += 1;
        drop(state);
        thread::sleep(time);
        self.state().instances[index].running -= 1;
        self.changed.notify_all();
        Ok(())
    }

    fn run(&self, index: usize, text: &str, session: &mut Session) -> Result<String, &'static str> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ').ok_or("MALFORMED")?;
            let number = position
                .split_once('.')
                .and_then(|(_, number)| number.parse().ok());
            let state = self.state();
            if number.is_none_or(|number: usize| state.instances[index].applied() < number) {
                return Err("LAGGING");
            }
            text = rest;
        }
        let words: Vec<&str> = text.split(' ').collect();
        match words[..] {
            ["RESET"] => {
                session.values.clear();
                session.prepared.clear();
                return Ok(String::new());
            }
            ["ROLLBACK"] => {
                session.transaction = None;
                session.failed = false;
                return Ok(String::new());
            }
            ["STATUS"] | ["PAUSE", _] | ["RESUME"] | ["STEPDOWN", _] => {
                return self.command(index, &words);
            }
            _ if session.failed => return Err("MALFORMED"),
            ["SET", name, value] => {
                session.values.insert(name.into(), value.into());
                return Ok(String::new());
            }
            ["PREPARE", name, mode, shape] => {
                session
                    .prepared
                    .insert(name.into(), (mode == "WRITE", shape.into()));
                return Ok(String::new());
            }
            ["BEGIN"] if !self.state().instances[index].primary => return Err("READONLY"),
            ["BEGIN", ..] => {
                session.transaction = Some((words.len() > 1, Vec::new()));
                return Ok(String::new());
            }
            _ => {}
        }
        let work = self.state().instances[index].work;
        match words[..] {
            ["READ", item] => {
                self.occupy(index, work)?;
                self.read(index, item, session)
            }
            ["WRITE", item, data] => {
                if !self.state().instances[index].primary {
                    return Err("READONLY");
                }
                self.occupy(index, work)?;
                match &mut session.transaction {
                    Some((_, writes)) => writes.push((item.into(), data.into())),
                    None => self.commit(index, vec![(item.into(), data.into())])?,
                }
                Ok("ROW written\r\n".into())
            }
            ["COMMIT"] => {
                self.occupy(index, work)?;
                let writes = session.transaction.take().map(|(_, writes)| writes);
                self.commit(index, writes.unwrap_or_default())?;
                Ok(String::new())
            }
            ["EXEC", name, ..] => match session.prepared.get(name) {
                None => Err("NOSTMT"),
                Some(_) => Err("FAILED"),
            },
            _ => Err("MALFORMED"),
        }
    }

    fn read(&self, index: usize, item: &str, session: &Session) -> Result<String, &'static str> {
        let state = self.state();
        let instance = &state.instances[index];
        let plain = session
            .transaction
            .as_ref()
            .is_some_and(|(reads_only, _)| !reads_only);
        if plain && !instance.primary {
            return Err("READONLY");
        }
        let seen = &instance.log[..instance.applied()];
        let found = seen.iter().rev().find(|entry| entry.item == item);
        Ok(match found {
            Some(entry) => format!("ROW {}\r\n", entry.data),
            None => "ROW none\r\n".into(),
        })
    }

    /// Commits writes. With synchronous replicas it returns once enough of them have
    /// received the commit.
    fn commit(&self, index: usize, writes: Vec<(String, String)>) -> Result<(), &'static str> {
        if writes.is_empty() {
            return Ok(());
        }
        let mut state = self.state();
        if !state.instances[index].primary {
            return Err("READONLY");
        }
        let term = state.instances[index].term;
        for (item, data) in writes {
            let received_at = Instant::now();
            state.instances[index].log.push(Entry {
                term,
                item,
                data,
                received_at,
            });
        }
        let length = state.instances[index].log.len();
        loop {
            Self::replicate(&mut state);
            let others = state
                .instances
                .iter()
                .filter(|one| !one.primary && !one.dead);
            let received = others.filter(|one| one.log.len() >= length).count();
            if received >= self.sync_replicas {
                return Ok(());
            }
            state = self
                .changed
                .wait_timeout(state, Duration::from_millis(5))
                .unwrap()
                .0;
            if state.instances[index].dead || !state.instances[index].primary {
                return Err("FAILED");
            }
        }
    }

    fn command(&self, index: usize, words: &[&str]) -> Result<String, &'static str> {
        // Needs a free slot at once.
        let mut state = self.state();
        let instance = &mut state.instances[index];
        if instance.running >= instance.slots {
            return Err("BUSY");
        }
        let term = words
            .get(1)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0);
        match words[0] {
            "PAUSE" if !instance.primary && term > instance.term => instance.paused = true,
            "RESUME" => instance.paused = false,
            "STEPDOWN" if instance.term < term => instance.primary = false,
            _ => {}
        }
        let role = if instance.primary {
            "primary"
        } else {
            "replica"
        };
        let received = instance.position(instance.log.len());
        let busy = instance.running;
        Ok(format!(
            "ROW {role} {} {received} 0 20 {busy} 1\r\n",
            instance.term
        ))
    }
}
