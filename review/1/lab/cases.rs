//! The cases.

use std::{
    collections::BTreeMap,
    fs::File,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Deployment, HOST, KEY, Options, Record, ZONES},
    http::{self, End, Response, header},
    replica::{self, Entry},
};

/// Runs a case; the flag tells whether there is a disruption.
pub type Case = fn(&Record, bool) -> io::Result<Verdict>;

/// Returns the case with a name.
pub fn find(name: &str) -> Option<Case> {
    match name {
        "refused" => Some(refused),
        "order" => Some(order),
        "lost" => Some(lost),
        "hang" => Some(hang),
        _ => None,
    }
}

/// An answer that a requester got.
struct Answer {
    request: String,
    /// What was asked for, which is the same for a repeat.
    subject: String,
    response: Response,
    gateway: SocketAddr,
    /// Time of day at which it was sent, in milliseconds.
    sent_ms: u128,
    /// Time from the start of the attempt to its end.
    took: Duration,
}

/// The answers of all requesters.
type Answers = Arc<Mutex<Vec<Answer>>>;

/// Sends one attempt of a request and records it.
fn send(
    record: &Record,
    answers: &Answers,
    gateway: SocketAddr,
    request: &str,
    method: &str,
    path: &str,
    timeout: Duration,
) -> (u16, Option<Duration>) {
    let deadline_ms = timeout.as_millis().to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", request),
        ("Deadline-Ms", &deadline_ms),
        ("X-Api-Key", KEY),
    ];
    if path.starts_with("/ask/") {
        headers.push(("Model", "*"));
        headers.push(("Token-Usage", "640,52"));
        headers.push(("Prompt-Prefix", "5c1e07a2:100,91bd3f06:70,e4402b7d:470"));
    }
    let body = match method {
        "POST" => path.as_bytes(),
        _ => b"",
    };
    record.line(&format!("sent {request} {method} {path} to {gateway}"));
    let (started, sent_ms) = (Instant::now(), replica::unix_ms());
    let response = http::call(gateway, method, path, &headers, body, started + timeout);
    let took = started.elapsed();
    let seal = header(&response.headers, "response-seal").to_owned();
    let retry_after = header(&response.headers, "retry-after").parse::<f64>();
    record.line(&format!(
        "answered {request} status={} end={:?} bytes={} seal={seal} body={:?}",
        response.status,
        response.end,
        response.body.len(),
        String::from_utf8_lossy(&response.body[..response.body.len().min(60)]),
    ));
    let status = response.status;
    answers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(Answer {
            request: request.into(),
            subject: path.into(),
            response,
            gateway,
            sent_ms,
            took,
        });
    (status, retry_after.ok().map(Duration::from_secs_f64))
}

fn join_all(threads: Vec<JoinHandle<()>>) -> io::Result<()> {
    for thread in threads {
        thread
            .join()
            .map_err(|_| io::Error::other("a requester panicked"))?;
    }
    Ok(())
}

/// Writes what the replicas did to the record and returns it.
fn replica_entries(deployment: &Deployment) -> io::Result<Vec<Entry>> {
    let entries = replica::read_log(&deployment.runs())?;
    for entry in &entries {
        let Entry {
            at_ms,
            replica,
            event,
            request,
            details,
        } = entry;
        let line = format!("replica {replica} {event} {request} {details}");
        deployment.record.line_at(*at_ms, &line);
    }
    Ok(entries)
}

/// One of three replicas fails some of its bookings with status 503 after it has run them.
///
/// Requesters take 503 for the promise that the booking has not run, and send it once more.
fn refused(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    const LENGTH: Duration = Duration::from_secs(20);
    const BOOKINGS_PER_SECOND: f64 = 12.8;
    const TROUBLE_AT: Duration = Duration::from_secs(5);
    const TROUBLE_FOR: Duration = Duration::from_millis(6_500);
    const TIMEOUT: Duration = Duration::from_millis(4_000);
    let deployment = Deployment::start(record, Options::default())?;
    let answers = Answers::default();
    let started = Instant::now();
    let trouble = deployment.trouble_of("desk", ZONES[0]);
    let mut threads = Vec::new();
    let mut n = 0_u32;
    let mut is_in_trouble = false;
    while started.elapsed() < LENGTH {
        let must_be =
            has_trouble && (TROUBLE_AT..TROUBLE_AT + TROUBLE_FOR).contains(&started.elapsed());
        if must_be != is_in_trouble {
            is_in_trouble = must_be;
            record.line(&format!("trouble {is_in_trouble}"));
            match is_in_trouble {
                true => drop(File::create(&trouble)?),
                false => std::fs::remove_file(&trouble)?,
            }
        }
        n += 1;
        let fronts: Vec<_> = (0..ZONES.len()).map(|i| deployment.front(i)).collect();
        let (record, answers) = (record.clone(), answers.clone());
        threads.push(thread::spawn(move || {
            let path = format!("/book/{n}");
            let first = fronts[n as usize % fronts.len()];
            let request = format!("b{n:04}-1");
            let (status, wait) = send(&record, &answers, first, &request, "POST", &path, TIMEOUT);
            if matches!(status, 408 | 421 | 429 | 503) {
                thread::sleep(wait.unwrap_or(Duration::from_millis(100)));
                let other = fronts[(n as usize + 1) % fronts.len()];
                let request = format!("b{n:04}-2");
                send(&record, &answers, other, &request, "POST", &path, TIMEOUT);
            }
        }));
        thread::sleep(Duration::from_secs_f64(1.0 / BOOKINGS_PER_SECOND));
    }
    join_all(threads)?;
    let entries = replica_entries(&deployment)?;
    let runs = |request: &str| {
        let ran = entries.iter().filter(|e| e.event == "ran");
        ran.filter(|e| e.request == request).count()
    };
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let served = answers.iter().filter(|a| a.response.status == 200).count();
    if served * 2 < n as usize {
        return Err(io::Error::other(format!(
            "only {served} of {n} bookings were served"
        )));
    }
    let promised = |a: &&Answer| matches!(a.response.status, 408 | 421 | 429 | 503);
    let mut broken = 0;
    for answer in answers.iter().filter(promised) {
        if runs(&answer.request) > 0 {
            broken += 1;
            let status = answer.response.status;
            record.line(&format!(
                "REFUSED {} was answered {status} and has run",
                answer.request
            ));
        }
    }
    let mut applied: BTreeMap<&str, usize> = BTreeMap::new();
    for answer in answers.iter() {
        *applied.entry(&answer.subject).or_default() += runs(&answer.request);
    }
    let doubled = applied.values().filter(|count| **count > 1).count();
    record.line(&format!(
        "bookings={n} served={served} refused_and_ran={broken} bookings_applied_twice={doubled}"
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Returns the ids of the events in a stream.
fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.filter_map(|id| id.trim().parse().ok()).collect()
}

/// Sends streams at a steady rate; `between` is called before each and gets the time since the start.
fn send_streams(
    deployment: &mut Deployment,
    answers: &Answers,
    load: StreamLoad,
    mut between: impl FnMut(&mut Deployment, Duration) -> io::Result<()>,
) -> io::Result<()> {
    let started = Instant::now();
    let mut threads = Vec::new();
    let mut n = 0_usize;
    while started.elapsed() < load.length {
        between(deployment, started.elapsed())?;
        n += 1;
        let gateway = deployment.front(n % ZONES.len());
        let (record, answers) = (deployment.record.clone(), answers.clone());
        threads.push(thread::spawn(move || {
            let (request, path) = (format!("s{n:04}"), format!("/ask/{n}/{}", load.events));
            send(
                &record,
                &answers,
                gateway,
                &request,
                "POST",
                &path,
                load.timeout,
            );
        }));
        thread::sleep(Duration::from_secs_f64(1.0 / load.per_second));
    }
    join_all(threads)
}

#[derive(Clone, Copy)]
struct StreamLoad {
    length: Duration,
    per_second: f64,
    events: u64,
    timeout: Duration,
}

/// A replica whose streams have neither a length nor chunks is killed; the kernel closes its channels.
fn order(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    const KILL_AT: Duration = Duration::from_secs(6);
    const DOWN_FOR: Duration = Duration::from_millis(4_500);
    /// Three heartbeat intervals of silence.
    const REMOVED_AFTER: Duration = Duration::from_millis(3_600);
    let load = StreamLoad {
        length: Duration::from_secs(16),
        per_second: 12.3,
        events: 20,
        timeout: Duration::from_secs(25),
    };
    let mut deployment = Deployment::start(
        record,
        Options {
            is_unframed: true,
            ..Options::default()
        },
    )?;
    let answers = Answers::default();
    let (mut killed, mut removed, mut restarted) = (false, false, false);
    send_streams(&mut deployment, &answers, load, |deployment, at| {
        if has_trouble && at >= KILL_AT && !killed {
            killed = true;
            deployment
                .record
                .line(&format!("kill {}", deployment.replicas[0].id));
            deployment.replicas[0].process.kill();
        }
        if killed && at >= KILL_AT + REMOVED_AFTER && !removed {
            removed = true;
            deployment
                .record
                .line(&format!("store removes {}", deployment.replicas[0].id));
            deployment
                .store
                .remove("servers", &deployment.replicas[0].id);
        }
        if killed && at >= KILL_AT + DOWN_FOR && !restarted {
            restarted = true;
            deployment.start_replica("pool", ZONES[0], 128)?;
        }
        Ok(())
    })?;
    replica_entries(&deployment)?;
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let all: Vec<u64> = (1..=load.events).collect();
    let whole = |a: &&Answer| a.response.end == End::Complete && event_ids(&a.response.body) == all;
    let served = answers.iter().filter(whole).count();
    if served * 2 < answers.len() {
        let sent = answers.len();
        return Err(io::Error::other(format!(
            "only {served} of {sent} streams were served"
        )));
    }
    let mut broken = 0;
    for answer in answers.iter().filter(|a| a.response.status == 200) {
        let ids = event_ids(&answer.response.body);
        if answer.response.end == End::Complete && ids != all {
            broken += 1;
            let last = ids.last().copied().unwrap_or(0);
            record.line(&format!(
                "ORDER {} ended as complete after event {last} of {}",
                answer.request, load.events
            ));
        }
    }
    record.line(&format!(
        "streams={} whole={served} ended_early={broken}",
        answers.len()
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// All replicas are short of memory and preempt each run for 3 s, in the middle of its stream, while gateways are told
/// that their settings files have changed.
fn lost(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    const TROUBLE_AT: Duration = Duration::from_secs(3);
    /// When each of the gateways gets SIGHUP: two of three, 2 s apart.
    const HANGUPS_AT: [Duration; 2] = [Duration::from_secs(6), Duration::from_secs(8)];
    /// `config_apply_ms`: requests that are sent up to this time after SIGHUP count.
    const CONFIG_APPLY_MS: u128 = 2_000;
    /// `timeout_ms` of the route.
    const ROUTE_TIMEOUT: Duration = Duration::from_secs(25);
    let load = StreamLoad {
        length: Duration::from_secs(14),
        per_second: 12.3,
        events: 13,
        timeout: ROUTE_TIMEOUT,
    };
    let mut deployment = Deployment::start(record, Options::default())?;
    let answers = Answers::default();
    let mut is_in_trouble = false;
    let mut hangups = Vec::new();
    send_streams(&mut deployment, &answers, load, |deployment, at| {
        if has_trouble && at >= TROUBLE_AT && !is_in_trouble {
            is_in_trouble = true;
            deployment
                .record
                .line("all replicas are short of memory from now on");
            for zone in ZONES {
                File::create(deployment.trouble_of("pool", zone))?;
            }
        }
        let next = hangups.len();
        if HANGUPS_AT.get(next).is_some_and(|due| at >= *due) {
            deployment
                .record
                .line(&format!("SIGHUP to {}", deployment.front(next)));
            deployment.gateways[next].signal("HUP")?;
            hangups.push((deployment.front(next), replica::unix_ms()));
        }
        Ok(())
    })?;
    let entries = replica_entries(&deployment)?;
    let has_run = |a: &Answer| {
        entries
            .iter()
            .any(|e| e.event == "ran" && e.request == a.request)
    };
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let is_cut = |a: &&Answer| a.response.end == End::Cut && a.took < ROUTE_TIMEOUT;
    let is_planned = |a: &&Answer| {
        hangups.iter().any(|(gateway, hangup_ms)| {
            let ended_ms = a.sent_ms + a.took.as_millis();
            *gateway == a.gateway
                && a.sent_ms <= hangup_ms + CONFIG_APPLY_MS
                && ended_ms > *hangup_ms
        })
    };
    let served = answers
        .iter()
        .filter(|a| a.response.end == End::Complete)
        .count();
    if !has_trouble && served < answers.len() {
        return Err(io::Error::other("streams were cut without any trouble"));
    }
    let lost: Vec<&Answer> = answers
        .iter()
        .filter(is_cut)
        .filter(is_planned)
        .filter(|a| has_run(a))
        .collect();
    for answer in &lost {
        let last = event_ids(&answer.response.body)
            .last()
            .copied()
            .unwrap_or(0);
        record.line(&format!(
            "LOST {} was cut after event {last} of {}, {:.1} s after it was sent",
            answer.request,
            load.events,
            answer.took.as_secs_f64()
        ));
    }
    let cut = answers.iter().filter(is_cut).count();
    record.line(&format!(
        "streams={} whole={served} cut={cut} cut_around_sighup={}",
        answers.len(),
        lost.len()
    ));
    Ok(if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// The process that reads a gateway's log stops reading for some time.
fn hang(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    const LENGTH: Duration = Duration::from_secs(40);
    const REQUESTS_PER_SECOND: f64 = 60.0;
    const TROUBLE_AT: Duration = Duration::from_secs(5);
    const TROUBLE_FOR: Duration = Duration::from_secs(30);
    /// The requesters' time budget.
    const TIMEOUT: Duration = Duration::from_millis(4_000);
    /// `timeout_ms` of the routes.
    const ROUTE_TIMEOUT: Duration = Duration::from_millis(2_000);
    /// Time after the route's timeout in which a request must be answered.
    const SLACK: Duration = Duration::from_millis(500);
    let options = Options {
        has_log_readers: true,
        ..Options::default()
    };
    let deployment = Deployment::start(record, options)?;
    let answers = Answers::default();
    let started = Instant::now();
    let (mut has_stopped, mut has_resumed) = (!has_trouble, !has_trouble);
    let mut threads = Vec::new();
    let mut n = 0_usize;
    while started.elapsed() < LENGTH {
        if started.elapsed() >= TROUBLE_AT && !has_stopped {
            has_stopped = true;
            record.line("the reader of the first gateway's log stops");
            deployment.log_readers[0].signal("STOP")?;
        }
        if started.elapsed() >= TROUBLE_AT + TROUBLE_FOR && !has_resumed {
            has_resumed = true;
            for index in 0..ZONES.len() {
                let status = deployment.readiness(index);
                record.line(&format!("ready check of gateway {index}: status={status}"));
            }
            record.line("the reader of the first gateway's log reads on");
            deployment.log_readers[0].signal("CONT")?;
        }
        n += 1;
        let gateway = deployment.front(n % ZONES.len());
        let (record, answers) = (record.clone(), answers.clone());
        threads.push(thread::spawn(move || {
            let (method, path) = match n % 2 {
                0 => ("POST", format!("/book/{n}")),
                _ => ("GET", format!("/look/{n}")),
            };
            let request = format!("r{n:04}");
            send(&record, &answers, gateway, &request, method, &path, TIMEOUT);
        }));
        thread::sleep(Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND));
    }
    join_all(threads)?;
    replica_entries(&deployment)?;
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let served = answers.iter().filter(|a| a.response.status == 200).count();
    if served * 2 < n {
        return Err(io::Error::other(format!(
            "only {served} of {n} requests were served"
        )));
    }
    for index in 0..ZONES.len() {
        let gateway = deployment.front(index);
        let own = answers.iter().filter(|a| a.gateway == gateway);
        let (sent, late) = (
            own.clone().count(),
            own.filter(|a| a.took >= ROUTE_TIMEOUT).count(),
        );
        record.line(&format!(
            "gateway {gateway}: sent={sent} unanswered_at_timeout={late}"
        ));
    }
    let unanswered = answers.iter().filter(|a| a.took >= ROUTE_TIMEOUT).count();
    let left = answers
        .iter()
        .filter(|a| a.took >= ROUTE_TIMEOUT + SLACK)
        .count();
    record.line(&format!(
        "requests={n} served={served} unanswered_at_timeout={unanswered} \
         unanswered_half_a_second_later={left}"
    ));
    Ok(match left * 2 > unanswered {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
