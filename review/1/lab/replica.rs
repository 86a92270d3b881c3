//! Stand-in of a replica, run as a process of its own.

use std::{
    fs::{File, OpenOptions},
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Request, header};

/// Time that a plain request takes.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Of this many bookings, `FAILED_BOOKINGS` fail while the replica is in trouble: 0.45 of them.
const BOOKINGS_PER_ROUND: u64 = 20;
/// See [`BOOKINGS_PER_ROUND`].
const FAILED_BOOKINGS: u64 = 9;
/// Number of events that a run makes before it is preempted while memory is short.
const EVENTS_BEFORE_PREEMPTION: u64 = 3;
/// Time for which a preempted run pauses.
const PREEMPTION: Duration = Duration::from_millis(3_000);

/// How a replica is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Id under which it is registered.
    pub id: String,
    /// Address on which it listens.
    pub listen: String,
    /// File to which it appends what it does.
    pub log: PathBuf,
    /// It is in trouble while this file exists.
    pub trouble: PathBuf,
    /// Whether its streams have neither a length nor chunks and end with their channel.
    pub is_unframed: bool,
}

struct Replica {
    options: Options,
    log: Mutex<File>,
    bookings: AtomicU64,
}

/// Serves requests until the process is ended.
pub fn run(options: Options) -> io::Result<()> {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&options.log)?;
    let listener = TcpListener::bind(&options.listen)?;
    let replica = Arc::new(Replica {
        options,
        log: Mutex::new(log),
        bookings: AtomicU64::new(0),
    });
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        thread::spawn(move || replica.serve(stream));
    }
    Ok(())
}

impl Replica {
    /// Serves the requests of a channel, one at a time; errors are those of the other side.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let id = header(&req.headers, "request-id").to_owned();
            match self.answer(&req, &id, &mut stream) {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return self.record("dropped", &id, ""),
            }
        }
    }

    /// Answers a request; returns whether the channel is kept.
    fn answer(&self, req: &Request, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        if header(&req.headers, "expect-instance") != self.options.id {
            let headers = [("Request-Id", id), ("Replica-Id", &self.options.id)];
            http::write_response(stream, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if req.target.starts_with("/ask/") {
            return self.stream(req, id, stream);
        }
        self.record("ran", id, &format!("{} {}", req.method, req.target));
        thread::sleep(WORK_TIME);
        let seal = format!("seal-{id}");
        let headers = [("Request-Id", id), ("Response-Seal", &seal)];
        if req.method == "POST" && self.fails_booking() {
            self.record("failed", id, "503 without Not-Executed");
            http::write_response(stream, "503 Service Unavailable", &headers, b"failed")?;
            return Ok(true);
        }
        let body = format!("done {} {id}", req.target);
        http::write_response(stream, "200 OK", &headers, body.as_bytes())?;
        Ok(true)
    }

    /// Sends the events of a stream; their number is the last part of the path.
    fn stream(&self, req: &Request, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let last = req.target.rsplit('/').next().and_then(|n| n.parse().ok());
        let last: u64 = last.unwrap_or(10);
        let after: u64 = header(&req.headers, "last-event-id").parse().unwrap_or(0);
        self.record("ran", id, &format!("{} after={after}", req.target));
        let framing = match self.options.is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: seal-{id}\r\nConfidence: 95\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=last {
            if event == after + 1 + EVENTS_BEFORE_PREEMPTION && self.is_in_trouble() {
                self.record("preempted", id, &format!("before event {event}"));
                thread::sleep(PREEMPTION);
                self.record("goes_on", id, &format!("with event {event}"));
            }
            thread::sleep(EVENT_GAP);
            let text = format!("id: {event}\ndata: part {event} of {last} for {id}\n\n");
            match self.options.is_unframed {
                true => stream.write_all(text.as_bytes())?,
                false => stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?,
            }
        }
        if !self.options.is_unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        self.record("completed", id, &format!("events={last}"));
        Ok(!self.options.is_unframed)
    }

    fn is_in_trouble(&self) -> bool {
        self.options.trouble.exists()
    }

    fn fails_booking(&self) -> bool {
        if !self.is_in_trouble() {
            return false;
        }
        let n = self.bookings.fetch_add(1, Ordering::Relaxed);
        n * FAILED_BOOKINGS % BOOKINGS_PER_ROUND < FAILED_BOOKINGS
    }

    fn record(&self, event: &str, id: &str, details: &str) {
        let line = format!("{} {} {event} {id} {details}\n", unix_ms(), self.options.id);
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(e) = log.write_all(line.as_bytes()) {
            eprintln!("replica {}: log: {e}", self.options.id);
        }
    }
}

/// What a replica did, from its log.
#[derive(Clone, Debug)]
pub struct Entry {
    pub at_ms: u128,
    pub replica: String,
    pub event: String,
    pub request: String,
    pub details: String,
}

/// Reads the logs of replicas in the order of time.
pub fn read_log(path: &Path) -> io::Result<Vec<Entry>> {
    let text = std::fs::read_to_string(path)?;
    let entry = |line: &str| {
        let mut words = line.splitn(5, ' ');
        Some(Entry {
            at_ms: words.next()?.parse().ok()?,
            replica: words.next()?.into(),
            event: words.next()?.into(),
            request: words.next()?.into(),
            details: words.next()?.into(),
        })
    };
    Ok(text.lines().filter_map(entry).collect())
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}
