//! Stand-ins and checks for the scripts of the review: the platform's metadata store, model replicas, callers, and
//! the supervisor of the project's own processes. Uses the standard library only.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }
    pub fn num(&self) -> f64 {
        if let Json::Num(number) = self { *number } else { 0.0 }
    }
    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Num(value) if value.fract() == 0.0 => out.push_str(&format!("{}", *value as i64)),
            Json::Num(value) => out.push_str(&format!("{value}")),
            Json::Text(text) => write_text(text, out),
            Json::List(list) => {
                out.push('[');
                for (position, value) in list.iter().enumerate() {
                    if position > 0 {
                        out.push(',');
                    }
                    value.write(out);
                }
                out.push(']');
            }
            Json::Table(table) => {
                out.push('{');
                for (position, (key, value)) in table.iter().enumerate() {
                    if position > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            sign if (sign as u32) < 32 => out.push_str(&format!("\\u{:04x}", sign as u32)),
            sign => out.push(sign),
        }
    }
    out.push('"');
}

fn skip_blanks(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(|byte| byte.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(text, at)?;
                        skip_blanks(text, at);
                        if text.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(key, parse_value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => parse_text(text, at).map(Json::Text),
        b't' => take_word(text, at, "true", Json::Bool(true)),
        b'f' => take_word(text, at, "false", Json::Bool(false)),
        b'n' => take_word(text, at, "null", Json::Null),
        _ => {
            let begin = *at;
            while text.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&text[begin..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn take_word(text: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    if !text[*at..].starts_with(word.as_bytes()) {
        return None;
    }
    *at += word.len();
    Some(value)
}

fn parse_text(text: &[u8], at: &mut usize) -> Option<String> {
    if text.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out: Vec<u8> = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let sign = char::from_u32(code).unwrap_or('\u{fffd}');
                        out.extend(sign.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

pub fn table(fields: &[(&str, Json)]) -> Json {
    Json::Table(fields.iter().map(|(key, value)| ((*key).to_owned(), value.clone())).collect())
}
pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}
pub fn num(value: f64) -> Json {
    Json::Num(value)
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn read_message(reader: &mut BufReader<TcpStream>, is_answer: bool) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if fields.get("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let begin = body.len();
            body.resize(begin + size, 0);
            reader.read_exact(&mut body[begin..])?;
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = fields.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if is_answer {
        reader.read_to_end(&mut body)?;
    }
    Ok(Some(Message { first: first.trim_end().to_owned(), fields, body }))
}

/// A call of a client: its status (0 without an answer) and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> (u16, Vec<u8>) {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" || !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let run = || -> std::io::Result<(u16, Vec<u8>)> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let mut reader = BufReader::new(stream);
        let answer = read_message(&mut reader, true)?;
        let answer = answer.ok_or(std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        let status = answer.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Ok((status, answer.body))
    };
    run().unwrap_or((0, Vec::new()))
}

fn serve(listener: TcpListener, handle: impl Fn(&Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader, false) {
                    match handle(&request, &mut writer) {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
    });
}

fn answer(writer: &mut TcpStream, status: &str, fields: &str, body: &str) -> std::io::Result<bool> {
    let message = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
    writer.write_all(message.as_bytes())?;
    Ok(true)
}

fn query(path: &str, key: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let found = query.split('&').find_map(|pair| pair.split_once('=').filter(|(name, _)| *name == key))?;
    Some(unescape(found.1))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- the platform's metadata store

#[derive(Default)]
struct Objects {
    revision: u64,
    kinds: HashMap<String, BTreeMap<String, Json>>,
    /// Revision, whether removed, and the object, by kind.
    history: HashMap<String, Vec<(u64, bool, Json)>>,
}

pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<Objects>, Condvar)>,
}

fn object(name: &str, revision: u64, created: u64, spec: Json, status: Json, finalizers: Json) -> Json {
    let metadata = table(&[
        ("name", text(name)),
        ("rev", num(revision as f64)),
        ("create_rev", num(created as f64)),
        ("finalizers", finalizers),
        ("deleting", Json::Bool(false)),
    ]);
    table(&[("metadata", metadata), ("spec", spec), ("status", status)])
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        self.revision += 1;
        let revision = self.revision;
        let held = self.kinds.entry(kind.to_owned()).or_default().get(name).cloned();
        let created = held.as_ref().map_or(revision, |held| held.get("metadata").get("create_rev").num() as u64);
        let held = held.unwrap_or(Json::Null);
        let spec = spec.unwrap_or_else(|| held.get("spec").clone());
        let status = status.unwrap_or_else(|| held.get("status").clone());
        let made = object(name, revision, created, spec, status, Json::List(Vec::new()));
        self.kinds.entry(kind.to_owned()).or_default().insert(name.to_owned(), made.clone());
        self.history.entry(kind.to_owned()).or_default().push((revision, false, made.clone()));
        made
    }
    fn remove(&mut self, kind: &str, name: &str) -> Option<Json> {
        let held = self.kinds.get_mut(kind)?.remove(name)?;
        self.revision += 1;
        self.history.entry(kind.to_owned()).or_default().push((self.revision, true, held.clone()));
        Some(held)
    }
}

impl Platform {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state: Arc<(Mutex<Objects>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        serve(listener, move |request, writer| serve_objects(&shared, request, writer));
        Self { address, state }
    }
    /// State in the status of an object.
    pub fn state_of(&self, kind: &str, name: &str) -> String {
        let objects = self.state.0.lock().expect("state");
        let held = objects.kinds.get(kind).and_then(|kind| kind.get(name));
        held.map_or_else(String::new, |held| held.get("status").get("state").text().to_owned())
    }
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.state.0.lock().expect("state").put(kind, name, Some(spec), None);
        self.state.1.notify_all();
    }
}

fn to_text(value: &Json) -> String {
    let mut out = String::new();
    value.write(&mut out);
    out
}

fn serve_objects(
    state: &(Mutex<Objects>, Condvar),
    request: &Message,
    writer: &mut TcpStream,
) -> std::io::Result<bool> {
    let json = "Content-Type: application/json\r\n";
    let mut words = request.first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let path = target.split('?').next().unwrap_or("");
    let Some(rest) = path.strip_prefix("/-/objects/") else {
        return answer(writer, "404 Not Found", "", "");
    };
    let mut parts = rest.split('/');
    let kind = parts.next().unwrap_or("").to_owned();
    let name = parts.next().map(unescape);
    let is_status = parts.next() == Some("status");
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let mut objects = state.0.lock().expect("state");
    let wanted_rev = match body.get("metadata").get("rev") {
        Json::Num(rev) => Some(*rev as u64),
        _ => query(target, "rev").and_then(|rev| rev.parse().ok()),
    };
    match (method, name) {
        ("GET", None) => {
            if let Some(after) = query(target, "watch").and_then(|after| after.parse::<u64>().ok()) {
                let wait = query(target, "wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let history = objects.history.get(&kind);
                    let events: Vec<Json> = history
                        .into_iter()
                        .flatten()
                        .filter(|(revision, ..)| *revision > after)
                        .map(|(_, removed, object)| {
                            table(&[("compacted", Json::Bool(*removed)), ("object", object.clone())])
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let at = num(objects.revision as f64);
                        let answered = to_text(&table(&[("events", Json::List(events)), ("at", at)]));
                        drop(objects);
                        return answer(writer, "200 OK", json, &answered);
                    }
                    objects = state.1.wait_timeout(objects, left).expect("state").0;
                }
            }
            let after = query(target, "after_rev").unwrap_or_default();
            let items = objects.kinds.get(&kind).into_iter().flatten();
            let items = items.filter(|(name, _)| after.is_empty() || **name > after).map(|(_, object)| object.clone());
            let items = Json::List(items.collect());
            let list = table(&[("items", items), ("has_more", Json::Bool(false)), ("at", num(objects.revision as f64))]);
            drop(objects);
            answer(writer, "200 OK", json, &to_text(&list))
        }
        ("GET", Some(name)) => {
            let held = objects.kinds.get(&kind).and_then(|kind| kind.get(&name)).cloned();
            drop(objects);
            match held {
                Some(held) => answer(writer, "200 OK", json, &to_text(&held)),
                None => answer(writer, "404 Not Found", "", ""),
            }
        }
        ("POST", None) => {
            let name = body.get("metadata").get("name").text().to_owned();
            let held = objects.kinds.get(&kind).and_then(|kind| kind.get(&name)).cloned();
            if let Some(held) = held {
                drop(objects);
                return answer(writer, "409 Conflict", json, &to_text(&held));
            }
            let made = objects.put(&kind, &name, Some(body.get("spec").clone()), Some(body.get("status").clone()));
            drop(objects);
            state.1.notify_all();
            answer(writer, "200 OK", json, &to_text(&made))
        }
        ("PUT", Some(name)) => {
            let held = objects.kinds.get(&kind).and_then(|kind| kind.get(&name)).cloned();
            let Some(held) = held else {
                drop(objects);
                return answer(writer, "404 Not Found", "", "");
            };
            let rev = held.get("metadata").get("rev").num() as u64;
            if wanted_rev.is_some_and(|wanted| wanted != rev) {
                drop(objects);
                return answer(writer, "409 Conflict", json, &to_text(&held));
            }
            let made = if is_status {
                objects.put(&kind, &name, None, Some(body.get("status").clone()))
            } else {
                objects.put(&kind, &name, Some(body.get("spec").clone()), None)
            };
            drop(objects);
            state.1.notify_all();
            answer(writer, "200 OK", json, &to_text(&made))
        }
        ("DELETE", Some(name)) => {
            let removed = objects.remove(&kind, &name);
            drop(objects);
            state.1.notify_all();
            match removed {
                Some(_) => answer(writer, "200 OK", json, "{}"),
                None => answer(writer, "404 Not Found", "", ""),
            }
        }
        _ => {
            drop(objects);
            answer(writer, "405 Method Not Allowed", "", "")
        }
    }
}

// ---------------------------------------------------------------- model replicas

pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub replica: usize,
}

pub struct Replicas {
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub running: Arc<AtomicU64>,
    pub addresses: Vec<SocketAddr>,
}

/// Model of all items, and how they are made.
pub const MODEL: &str = "m0";
/// Events of an item; a scenario may change them before it starts.
pub static EVENTS: AtomicU64 = AtomicU64::new(10);
const EVENT_PAUSE: Duration = Duration::from_millis(10);
pub const SLOTS: u64 = 16;

struct Versions {
    version: u64,
    orders: u64,
    loading: Option<(Instant, u64)>,
}

impl Versions {
    fn settle(&mut self) {
        if let Some((_, version)) = self.loading.filter(|(until, _)| *until <= Instant::now()) {
            self.version = version;
            self.loading = None;
        }
    }
}

/// Text of an item's event.
pub fn event_text(id: &str, number: u64) -> String {
    format!("{id}+{number}")
}

/// The whole text of an item.
pub fn whole_text(id: &str) -> String {
    (1..=EVENTS.load(Ordering::Relaxed)).map(|number| event_text(id, number)).collect::<Vec<_>>().join("\n")
}

impl Replicas {
    pub fn start(count: usize, platform: &Platform, zones: &[&str]) -> Self {
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let running: Arc<AtomicU64> = Arc::default();
        let mut addresses = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            addresses.push(address);
            let name = format!("i-replica{number}");
            let (arrivals, running) = (Arc::clone(&arrivals), Arc::clone(&running));
            let versions = Arc::new(Mutex::new(Versions { version: 1, orders: 0, loading: None }));
            let busy = Arc::new(AtomicU64::new(0));
            let own_name = name.clone();
            serve(listener, move |request, writer| {
                serve_replica(number, &own_name, &arrivals, &running, &busy, &versions, request, writer)
            });
            let models = Json::List(vec![table(&[("name", text(MODEL)), ("version", num(1.0)), ("adapters", Json::List(Vec::new()))])]);
            let record = table(&[
                ("service", text("llm")),
                ("address", text(address.to_string())),
                ("zone", text(zones[number % zones.len()])),
                ("version", text("v1")),
                ("slots", num(SLOTS as f64)),
                ("state", text("ready")),
                ("cold_left_ms", num(0.0)),
                ("stage", text("both")),
                ("models", models),
                ("seq", num(1.0)),
            ]);
            platform.put("servers", &name, record);
        }
        Self { arrivals, running, addresses }
    }
}

#[allow(clippy::too_many_arguments)]
fn serve_replica(
    number: usize,
    name: &str,
    arrivals: &Mutex<Vec<Arrival>>,
    running: &AtomicU64,
    busy: &AtomicU64,
    versions: &Mutex<Versions>,
    request: &Message,
    writer: &mut TcpStream,
) -> std::io::Result<bool> {
    let mut words = request.first.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let expected = request.fields.get("expect-replica");
    if path == "/health" {
        return answer(writer, "200 OK", &format!("Replica-Id: {name}\r\n"), "");
    }
    if expected.is_some_and(|expected| expected != name) {
        return answer(writer, "421 Misdirected Request", &format!("Replica-Id: {name}\r\n"), "");
    }
    let mut held = versions.lock().expect("versions");
    held.settle();
    let version = held.version;
    if method == "GET" && path == "/-/report" {
        let models = Json::List(vec![table(&[
            ("name", text(MODEL)),
            ("version", num(version as f64)),
            ("adapters", Json::List(Vec::new())),
        ])]);
        let report = table(&[
            ("stage", text("both")),
            ("models", models),
            ("num_busy", Json::Bool(held.loading.is_some())),
            ("seq", num(held.orders as f64)),
            ("num_waiting", num(0.0)),
            ("num_running", num(busy.load(Ordering::Relaxed) as f64)),
            ("kv_used", num(0.0)),
            ("kv_total", num(52_385.0)),
            ("handles", num(0.0)),
        ]);
        return answer(writer, "200 OK", "Content-Type: application/json\r\n", &to_text(&report));
    }
    if method == "POST" && path == "/-/order" {
        let order = Json::parse(&request.body).unwrap_or(Json::Null);
        if held.loading.is_some() {
            return answer(writer, "409 Conflict", "", "");
        }
        held.orders += 1;
        held.loading = Some((Instant::now() + Duration::from_millis(900), order.get("version").num() as u64));
        return answer(writer, "202 Accepted", "", "");
    }
    drop(held);
    let id = request.fields.get("attempt-id").cloned().unwrap_or_default();
    let echo = format!("Attempt-Id: {id}\r\n");
    if busy.fetch_add(1, Ordering::SeqCst) >= SLOTS {
        busy.fetch_sub(1, Ordering::SeqCst);
        return answer(writer, "503 Service Unavailable", &format!("{echo}Not-Executed: 1\r\n"), "");
    }
    arrivals.lock().expect("arrivals").push(Arrival { at: Instant::now(), id: id.clone(), replica: number });
    running.fetch_add(1, Ordering::SeqCst);
    let from = request.fields.get("last-event-id").and_then(|last| last.parse::<u64>().ok()).unwrap_or(0);
    let result = send_events(writer, &id, from, version);
    running.fetch_sub(1, Ordering::SeqCst);
    busy.fetch_sub(1, Ordering::SeqCst);
    result.map(|()| true)
}

fn send_events(writer: &mut TcpStream, id: &str, from: u64, version: u64) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {id}\r\n\
         Server-Seal: 3e1b.{id}\r\nWeight-Versions: {version}\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in from + 1..=EVENTS.load(Ordering::Relaxed) {
        thread::sleep(EVENT_PAUSE);
        let event = format!("id: {number}\ndata: {}\n\n", event_text(id, number));
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}

// ---------------------------------------------------------------- the project's processes

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, value: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

pub fn free_port() -> u16 {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = tcp.local_addr().expect("an address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub struct Process {
    pub name: String,
    pub settings: PathBuf,
    pub data: Option<PathBuf>,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    pub child: Option<Child>,
    pub log: PathBuf,
}

pub struct Plan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub is_store: bool,
    pub memory_mb: u32,
    pub seeds: Vec<SocketAddr>,
    pub peers: SocketAddr,
}

impl Process {
    pub fn prepare(folder: &Path, platform: SocketAddr, zones: &[&str], plan: &Plan<'_>) -> Self {
        let loopback = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, operators) = (loopback(free_port()), loopback(free_port()));
        let readiness = loopback(free_port());
        let data = plan.is_store.then(|| folder.join(format!("data-{}", plan.name)));
        let zone_table: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\" = \"region\"")).collect();
        let seeds: Vec<String> = plan.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let roles = if plan.is_store { "[\"store\"]" } else { "[\"gateway\", \"coordinator\"]" };
        let mut settings = format!("node = \"{}\"\nzone = \"{}\"\nroles = {roles}\n", plan.name, plan.zone);
        if let Some(data) = &data {
            settings.push_str(&format!("data_folder = \"{}\"\n", data.display()));
        }
        settings.push_str(&format!(
            "[addresses]\ncallers = \"{callers}\"\noperators = \"{operators}\"\npeers = \"{}\"\n",
            plan.peers
        ));
        if !plan.is_store {
            settings.push_str(&format!("readiness = \"{readiness}\"\n"));
        }
        let share = if plan.is_store { "0.5" } else { "0.25" };
        settings.push_str(&format!(
            "[places]\nregion = \"region\"\nzones = {{ {} }}\n\
             [machine]\nprocessor_share = {share}\nprocessor_speed = 1\nmemory_mb = {}\nmax_descriptors = 4100\n\
             [peers]\nseeds = [{}]\nstall_timeout_ms = 2000\nconnect_timeout_ms = 300\n\
             [platform]\nmetadata_store = \"{platform}\"\n\
             [configuration]\nplatform_timeout_ms = 600\nwatch_hold_ms = 8000\n\
             [membership]\nprobe_interval_ms = 300\nprobe_timeout_ms = 120\nsuspicion_multiplier = 3\n\
             [gateway]\ntraffic_threads = 1\n[batch]\norder_lease_ms = 3000\n[store]\n",
            zone_table.join(","),
            plan.memory_mb,
            seeds.join(","),
        ));
        if plan.is_store {
            settings.push_str("capacity_bytes = 430000000\n");
        }
        settings.push_str(
            "call_timeout_ms = 500\nreplace_after_ms = 2000\ntolerated_losses = 1\ntolerated_zones = 0\n\
             tolerated_regions = 0\n[stop]\nnotice_ms = 2500\n",
        );
        let path = folder.join(format!("{}.toml", plan.name));
        fs::write(&path, settings).expect("settings");
        let log = folder.join(format!("{}.log", plan.name));
        Self { name: plan.name.to_owned(), settings: path, data, callers, peers: plan.peers, operators, child: None, log }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut command = Command::new("target/release/lichenpulleyd");
        command.arg("--settings").arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        // The process ends with this one, however this one ends.
        // SAFETY: `prctl` is a system call without memory arguments here.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("the program starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn wipe(&self) {
        if let Some(data) = &self.data {
            let _ = fs::remove_dir_all(data);
        }
    }

    /// Memory that belongs to the process alone, in megabytes.
    pub fn memory_mb(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1_024.0 / 1_000_000.0)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- record and batch jobs

pub struct Record {
    began: Instant,
    lines: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self { began: Instant::now(), lines: Mutex::new(fs::File::create(path).expect("the record")) }
    }
    pub fn write(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {line}\n");
        print!("{line}");
        let _ = self.lines.lock().expect("the record").write_all(line.as_bytes());
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let number = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(SIGNS[(number >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// A batch job of items in groups of four, each with a body of so many bytes.
pub fn job(id: &str, step: u64, items: usize, body_bytes: usize) -> Vec<u8> {
    let body = base64(&vec![b'x'; body_bytes]);
    let mut out = format!(
        "{{\"step\":{step},\"model\":\"{MODEL}\",\"min_version\":1,\"desired\":{},\"items\":[",
        items.div_ceil(4)
    );
    for number in 0..items {
        if number > 0 {
            out.push(',');
        }
        out.push_str(&format!(
            "{{\"id\":\"{}\",\"path\":\"/rollout/{number}\",\"headers\":{{\"Model\":\"{MODEL}\",\
             \"Token-Counts\":\"20,20\"}},\"body\":\"{body}\",\"tokens\":40,\"group\":\"g{}\"}}",
            item_id(id, number),
            number / 4
        ));
    }
    out.push_str("]}");
    out.into_bytes()
}

pub fn item_id(job: &str, number: usize) -> String {
    format!("{job}i{number}")
}

/// What a client has read of a job.
#[derive(Default, Clone)]
pub struct Reading {
    pub status: u16,
    pub total: usize,
    pub results: Vec<(String, String, String)>,
}

pub fn read_job(address: SocketAddr, id: &str, from: usize) -> Reading {
    let path = format!("/-/lots/{id}?after_rev={from}");
    let (status, body) = call(address, "GET", &path, &[("Wait-Ms", "300")], b"", Duration::from_millis(3_500));
    let parsed = Json::parse(&body).unwrap_or(Json::Null);
    let results = parsed.get("results").list().iter().map(|result| {
        let field = |name: &str| result.get(name).text().to_owned();
        (field("id"), field("state"), field("text"))
    });
    Reading { status, total: parsed.get("total").num() as usize, results: results.collect() }
}

pub fn configuration(max_queue_s: f64, due_ms: f64) -> Json {
    let route = table(&[
        ("name", text("r-rollout")),
        ("host", text("shop.example")),
        ("path_prefix", text("/rollout/")),
        ("kind", text("rollout")),
        ("timeout_ms", num(10_000.0)),
        ("target_ms", num(400.0)),
        ("priority", num(1.0)),
        ("service", text("llm")),
        ("max_attempts", num(3.0)),
        ("max_queue_s", num(max_queue_s)),
        ("due_ms", num(due_ms)),
        ("single_version", Json::Bool(false)),
        ("session_affinity", Json::Bool(true)),
        ("resumable", Json::Bool(true)),
    ]);
    let engine = table(&[
        ("slots", num(SLOTS as f64)),
        ("kv_cap_tokens", num(52_385.0)),
        ("models", Json::List(vec![table(&[("name", text(MODEL))])])),
    ]);
    let service = table(&[
        ("name", text("llm")),
        ("health_path", text("/health")),
        ("max_conns", num(170.0)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("engine", engine),
    ]);
    let limits = table(&[
        ("max_header_bytes", num(16_384.0)),
        ("max_body_bytes", num(33_554_432.0)),
        ("header_timeout_ms", num(3_000.0)),
        ("idle_timeout_ms", num(15_000.0)),
    ]);
    table(&[
        ("version", num(1.0)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}

// ---------------------------------------------------------------- scenarios

mod scenarios {
    include!("scenarios.rs");
}

/// Time within which a script has to end.
const TIME_LIMIT: Duration = Duration::from_secs(117);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(scenario), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig SCENARIO FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let work = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    fs::create_dir_all(&work).expect("a temporary folder");
    let record = Arc::new(Record::create(&Path::new(folder).join("record.txt")));
    let watchdog = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watchdog.write("the time is over");
        std::process::exit(2);
    });
    let code = std::panic::catch_unwind(|| scenarios::run(scenario, has_trouble, &work, &record)).unwrap_or(2);
    record.write(&format!("exit code {code}"));
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&work);
    }
    std::process::exit(code);
}
