//! JSON, HTTP and the record of a run, on the standard library alone.

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        spaces(text, &mut at);
        (at == text.len()).then_some(value)
    }
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
    pub fn count(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(true) => out.push_str("true"),
            Json::Bool(false) => out.push_str("false"),
            Json::Number(text) => out.push_str(text),
            Json::Text(text) => quote(text, out),
            Json::List(items) => {
                out.push('[');
                for (n, item) in items.iter().enumerate() {
                    if n > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (n, (name, item)) in fields.iter().enumerate() {
                    if n > 0 {
                        out.push(',');
                    }
                    quote(name, out);
                    out.push(':');
                    item.write(out);
                }
                out.push('}');
            }
        }
    }
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
}

fn quote(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

fn spaces(text: &[u8], at: &mut usize) {
    while *at < text.len() && text[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    spaces(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            spaces(text, at);
            if *text.get(*at)? == b'}' {
                *at += 1;
                return Some(Json::Object(fields));
            }
            loop {
                spaces(text, at);
                let name = string(text, at)?;
                spaces(text, at);
                if *text.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, value(text, at)?));
                spaces(text, at);
                match *text.get(*at)? {
                    b',' => *at += 1,
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            spaces(text, at);
            if *text.get(*at)? == b']' {
                *at += 1;
                return Some(Json::List(items));
            }
            loop {
                items.push(value(text, at)?);
                spaces(text, at);
                match *text.get(*at)? {
                    b',' => *at += 1,
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    _ => return None,
                }
            }
        }
        b'"' => string(text, at).map(Json::Text),
        b't' => word(text, at, "true", Json::Bool(true)),
        b'f' => word(text, at, "false", Json::Bool(false)),
        b'n' => word(text, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < text.len() && b"+-0123456789.eE".contains(&text[*at]) {
                *at += 1;
            }
            (*at > from).then(|| Json::Number(String::from_utf8_lossy(&text[from..*at]).into()))
        }
    }
}

fn word(text: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    text[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let c = *text.get(*at)?;
                *at += 1;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend(c.to_string().as_bytes());
                    }
                    c => out.push(c),
                }
            }
            c => out.push(c),
        }
    }
}

/// The record of a run: what was sent, answered and run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {}\n", self.seconds(), text);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A request as a server sees it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: Vec<u8>,
}

fn head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    let mut part = [0; 16384];
    loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            return Some(at + 4);
        }
        let n = stream.read(&mut part).ok().filter(|n| *n > 0)?;
        buffer.extend_from_slice(&part[..n]);
    }
}

fn body(stream: &mut TcpStream, buffer: &mut Vec<u8>, from: usize, length: usize) -> Option<Vec<u8>> {
    let mut part = [0; 16384];
    while buffer.len() < from + length {
        let n = stream.read(&mut part).ok().filter(|n| *n > 0)?;
        buffer.extend_from_slice(&part[..n]);
    }
    let rest = buffer.split_off(from + length);
    let body = buffer[from..].to_vec();
    *buffer = rest;
    Some(body)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (n, v) = line.split_once(':')?;
        n.eq_ignore_ascii_case(name).then(|| v.trim())
    })
}

/// Returns a loopback address of this run, one of the stand-ins or one of the controllers. So neither
/// other runs nor outgoing connections, which start at 127.0.0.1, take a port that was free before.
pub fn host(is_controller: bool) -> Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let first = if is_controller { 160 } else { 64 };
    Ipv4Addr::new(127, first + a % 64, b, c.clamp(1, 254))
}

/// Serves HTTP/1.1 on a free port of the loopback address. Returns the address.
pub fn serve(handler: impl Fn(Request) -> (u16, String) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((host(false), 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || connection(stream, &*handler));
        }
    });
    address
}

fn connection(mut stream: TcpStream, handler: &(dyn Fn(Request) -> (u16, String) + Send + Sync)) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let end = head(&mut stream, &mut buffer)?;
        let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let length = header(&text, "content-length").map_or(Some(0), |l| l.parse().ok())?;
        let body = body(&mut stream, &mut buffer, end, length)?;
        let mut words = text.split_whitespace();
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|p| p.split_once('='));
        let query = query.map(|(k, v)| (k.to_string(), v.to_string())).collect();
        let path = path.to_string();
        let (status, answer) = handler(Request { method, path, query, body });
        if status == 0 {
            return None;
        }
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
    }
}

/// A client with one persistent connection.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: f64,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }
    /// Sends a request; `None` without an answer in time.
    pub fn call(&mut self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Response> {
        let reused = self.stream.is_some();
        let answer = self.try_call(method, path, body, limit);
        if answer.is_none() {
            self.stream = None;
            if reused {
                // The server may have closed the idle connection.
                let answer = self.try_call(method, path, body, limit);
                if answer.is_none() {
                    self.stream = None;
                }
                return answer;
            }
        }
        answer
    }
    fn try_call(&mut self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Response> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_millis(500)).ok()?;
            let _ = stream.set_nodelay(true);
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        let mut buffer = Vec::new();
        let end = head(stream, &mut buffer)?;
        let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let length = header(&text, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let retry = header(&text, "retry-after").and_then(|l| l.parse().ok()).unwrap_or(0.0);
        let status = text.split_whitespace().nth(1)?.parse().ok()?;
        let answer = self::body(stream, &mut buffer, end, length)?;
        if header(&text, "connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
            self.stream = None;
        }
        Some(Response { status, body: answer, retry_after_s: retry })
    }
}

/// A limit of a rate, with a burst.
pub struct Bucket {
    rate: f64,
    size: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, burst_s: f64) -> Bucket {
        Bucket { rate, size: rate * burst_s, level: rate * burst_s, at: Instant::now() }
    }
    pub fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + (now - self.at).as_secs_f64() * self.rate).min(self.size);
        self.at = now;
        if self.level < n {
            return false;
        }
        self.level -= n;
        true
    }
}
